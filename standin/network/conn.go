package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBuffer is the capacity of one direction of a connection, in bytes. It models the
// kernel's socket buffers, which fill up when the reader is slow.
const pipeBuffer = 16 << 10

// pipe is one direction of a connection. changed is signalled after every change of the
// other fields.
type pipe struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	closed  bool
	// blackholed discards all writes.
	blackholed bool
}

func newPipe() *pipe {
	p := &pipe{}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// update runs a function under the lock and wakes all waiters.
func (p *pipe) update(set func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set()
	p.changed.Broadcast()
}

// deadline ends reads or writes on a pipe with os.ErrDeadlineExceeded. It is guarded by
// the pipe's mutex.
type deadline struct {
	pipe    *pipe
	timer   *time.Timer
	expired bool
	version int // identifies the last call of set, so that earlier timers have no effect
}

// set arms the deadline; the zero time disarms it.
func (d *deadline) set(t time.Time) {
	d.pipe.mu.Lock()
	defer d.pipe.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.version++
	d.expired = false
	if !t.IsZero() {
		wait, version := time.Until(t), d.version
		if wait <= 0 {
			d.expired = true
		} else {
			d.timer = time.AfterFunc(wait, func() {
				d.pipe.update(func() {
					if d.version == version {
						d.expired = true
					}
				})
			})
		}
	}
	d.pipe.changed.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	address       address
	readDeadline  deadline
	writeDeadline deadline
}

// newPair returns the two ends of a connection to the address of a listener.
func newPair(a string) (dialled, accepted *conn) {
	x, y := newPipe(), newPipe()
	dialled = &conn{in: x, out: y, address: address(a)}
	accepted = &conn{in: y, out: x, address: address(a)}
	for _, c := range []*conn{dialled, accepted} {
		c.readDeadline.pipe, c.writeDeadline.pipe = c.in, c.out
	}
	return dialled, accepted
}

func (c *conn) Read(b []byte) (int, error) {
	p := c.in
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.data) == 0 {
		switch {
		case c.readDeadline.expired:
			return 0, os.ErrDeadlineExceeded
		case p.closed:
			return 0, io.EOF
		case len(b) == 0:
			return 0, nil
		}
		p.changed.Wait()
	}
	n := copy(b, p.data)
	p.data = p.data[n:]
	if len(p.data) == 0 {
		p.data = nil
	}
	p.changed.Broadcast()
	return n, nil
}

func (c *conn) Write(b []byte) (int, error) {
	p := c.out
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for {
		switch {
		case c.writeDeadline.expired:
			return written, os.ErrDeadlineExceeded
		case p.blackholed:
			return len(b), nil
		case p.closed:
			return written, io.ErrClosedPipe
		}
		n := min(len(b)-written, pipeBuffer-len(p.data))
		if n > 0 {
			p.data = append(p.data, b[written:written+n]...)
			written += n
			p.changed.Broadcast()
		}
		if written == len(b) {
			return written, nil
		}
		p.changed.Wait()
	}
}

// blackhole discards all later writes of this end without an error, and hides a later
// close from the other end.
func (c *conn) blackhole() { c.out.update(func() { c.out.blackholed = true }) }

func (c *conn) Close() error {
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() {
		// A black hole also discards the packet that closes the connection.
		if !c.out.blackholed {
			c.out.closed = true
		}
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.address }
func (c *conn) RemoteAddr() net.Addr { return c.address }

func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}
