package target

import (
	"net"
	"sync"
	"time"
)

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	transport *Transport
	address   string

	mu       sync.Mutex
	started  bool // the current request's first byte was handed to Write
	sealed   bool // no further byte may be written
	idle     bool
	deadline time.Time
	guard    func() bool
	once     sync.Once
}

// begin marks the start of a request.
func (c *conn) begin(deadline time.Time, guard func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.idle = false, false
	c.deadline, c.guard = deadline, guard
	if !deadline.IsZero() {
		// A failure shows in the write itself.
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

// seal closes the connection if the current request has written nothing, and
// reports whether that was so.
func (c *conn) seal() bool {
	c.mu.Lock()
	started := c.started
	c.sealed = !started
	c.mu.Unlock()
	if !started {
		_ = c.Close() // the peer sees the end in any case
	}
	return !started
}

// Write writes b unless the connection is sealed, its write deadline is over or its
// guard refuses.
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

// Close closes the connection and forgets it. A request that reached its deadline must
// not arrive later: bytes that wait in the socket, as in a partition, are discarded.
func (c *conn) Close() error {
	c.once.Do(func() { c.transport.forget(c) })
	c.mu.Lock()
	late := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
	c.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && late {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	return c.Conn.Close()
}
