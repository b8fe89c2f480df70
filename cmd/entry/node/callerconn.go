package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"gorseline/core"
)

const (
	// connectionMemory is the memory in bytes that the server needs for an open connection: two buffers of 4 KiB, a goroutine and
	// its bookkeeping.
	connectionMemory = 16 << 10
	// bufferedHeader is the number of bytes of a header that fit into the buffer of its connection.
	bufferedHeader = 4 << 10
	// headerFactor is the memory that a longer header takes per byte: its lines are joined in a buffer that grows.
	headerFactor = 2
)

var errMemoryShort = errors.New("memory is short")

// callerListener counts the memory of the connections that it accepts.
type callerListener struct {
	net.Listener
	budget core.IntakeBudget
}

// Accept waits for a connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		c := &callerConn{TCPConn: tcp, budget: l.budget}
		c.isHeader.Store(true)
		return c, nil
	}
	return conn, err
}

// callerConn is a connection whose memory and whose headers count in the budget. The bodies of its requests are counted where
// they are read.
type callerConn struct {
	*net.TCPConn
	budget core.IntakeBudget
	// isHeader is set while the header of a request is read or awaited.
	isHeader atomic.Bool

	mu       sync.Mutex
	isClosed bool
	// base is the memory of the connection, header that of a long header; nil if there is none. headerBytes is the length of
	// the header so far.
	base, header core.IntakeHold
	headerBytes  int64
}

// Read reads from the connection. It closes it if there is no memory for what it reads.
func (c *callerConn) Read(b []byte) (int, error) {
	if !c.isHeader.Load() {
		return c.TCPConn.Read(b)
	}
	if !c.reserveBase() {
		_ = c.Close() // the error is returned
		return 0, errMemoryShort
	}
	n, err := c.TCPConn.Read(b)
	if c.isHeader.Load() && !c.reserveHeader(int64(n)) {
		_ = c.Close() // the error is returned
		return 0, errMemoryShort
	}
	return n, err
}

// reserveBase reserves the memory of the connection once.
func (c *callerConn) reserveBase() bool {
	hold := c.newHold(&c.base)
	if hold == nil {
		return true // it has been reserved
	}
	return hold.Reserve(connectionMemory) && hold.Finish()
}

// newHold sets a hold that is nil and returns it, or nil.
func (c *callerConn) newHold(to *core.IntakeHold) core.IntakeHold {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *to != nil || c.isClosed {
		return nil
	}
	*to = c.budget.NewHold(func() { _ = c.TCPConn.Close() }) // the reader sees that it is closed
	return *to
}

// reserveHeader reserves the memory for more bytes of a header.
func (c *callerConn) reserveHeader(bytes int64) bool {
	if c.headerBytes += bytes; c.headerBytes <= bufferedHeader || bytes == 0 {
		return true
	}
	c.newHold(&c.header)
	c.mu.Lock()
	hold := c.header
	c.mu.Unlock()
	if hold == nil || !hold.Reserve(headerFactor*bytes) {
		return false
	}
	hold.RecordArrival(bytes)
	return true
}

// onState follows the state of the connection's requests.
func (c *callerConn) onState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.isHeader.Store(false)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.header != nil {
			c.header.Finish() // if it has been cut, the request ends with its connection
		}
	case http.StateIdle:
		c.headerBytes = 0
		c.release(&c.header)
		c.isHeader.Store(true)
	}
}

// release gives a hold back.
func (c *callerConn) release(hold *core.IntakeHold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *hold != nil {
		(*hold).Close()
		*hold = nil
	}
}

// Close closes the connection and gives its memory back.
func (c *callerConn) Close() error {
	err := c.TCPConn.Close()
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	c.release(&c.header)
	c.release(&c.base)
	return err
}
