package target

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection that serves one request at a time. It tracks whether the current
// request has written a byte, and checks the header of its answer before net/http reads it.
type conn struct {
	net.Conn
	transport *Transport
	address   string

	mu       sync.Mutex
	started  bool // the current request has written a byte
	sealed   bool // no further byte may be written
	idle     bool
	deadline time.Time   // zero: no write deadline
	guard    func() bool // nil: writes are always allowed
	header   headScanner // of the answer to the current request
	failure  error       // why the bytes read are no answer to the current request, or nil

	closeOnce sync.Once
}

// begin marks the start of a request. A zero deadline and a nil guard don't restrict its
// writes.
func (c *conn) begin(deadline time.Time, guard func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.idle = false, false
	c.deadline, c.guard = deadline, guard
	c.header = headScanner{}
	if !deadline.IsZero() {
		// If this fails, so does the write.
		_ = c.SetWriteDeadline(deadline)
	}
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// seal closes the connection if the current request has written nothing, and reports
// whether it did so.
func (c *conn) seal() bool {
	c.mu.Lock()
	started := c.started
	c.sealed = !started
	c.mu.Unlock()
	if !started {
		_ = c.Close() // the connection is not used again
	}
	return !started
}

// Read reads from the connection. It returns no byte of a malformed answer, and fails from then on.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	if _, c.failure = c.header.scan(b[:n]); c.failure != nil {
		return 0, c.failure
	}
	if isBody := c.header.isDone && c.header.size > 0; isBody {
		err = checkEnd(c.Conn, err)
	}
	return n, err
}

// beginAnswer is called when net/http begins to read an answer. One that was read before its request
// began is left from an earlier exchange.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.header.size == 0 && c.failure == nil {
		c.failure = errors.New("answer belongs to another request")
	}
}

// answerFailure returns why the bytes read are no answer to the current request, or nil.
func (c *conn) answerFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write writes b. The error is net.ErrClosed, and nothing is written, if the connection is
// sealed, its write deadline has passed or its guard returns false.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	refused := c.sealed || !c.deadline.IsZero() && !time.Now().Before(c.deadline) || c.guard != nil && !c.guard()
	if !refused {
		c.started = true
	}
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close closes the connection. After the write deadline it also discards the bytes in the
// socket's send buffer, which could otherwise still arrive when a partition heals.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.transport.untrack(c) })
	c.mu.Lock()
	expired := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
	c.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && expired {
		_ = tcp.SetLinger(0) // the connection is closed even if this fails
	}
	return c.Conn.Close()
}
