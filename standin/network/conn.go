package network

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBuffer is the capacity of one direction of a connection, in bytes: about
// what a slow reader leaves in the kernel's buffers.
const pipeBuffer = 16 << 10

// pipe is one direction of a connection.
type pipe struct {
	mu     sync.Mutex
	change *sync.Cond
	data   []byte
	closed bool
	silent bool
}

func newPipe() *pipe {
	p := &pipe{}
	p.change = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) update(set func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set()
	p.change.Broadcast()
}

// deadline ends waits on a pipe.
type deadline struct {
	pipe    *pipe
	timer   *time.Timer
	expired bool
	version int
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
	d.pipe.change.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	in, out     *pipe
	address     address
	readBefore  deadline
	writeBefore deadline
}

func newPair(a string) (dialled, accepted *conn) {
	x, y := newPipe(), newPipe()
	dialled = &conn{in: x, out: y, address: address(a)}
	accepted = &conn{in: y, out: x, address: address(a)}
	for _, c := range []*conn{dialled, accepted} {
		c.readBefore.pipe, c.writeBefore.pipe = c.in, c.out
	}
	return dialled, accepted
}

func (c *conn) Read(b []byte) (int, error) {
	p := c.in
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.data) == 0 {
		switch {
		case c.readBefore.expired:
			return 0, os.ErrDeadlineExceeded
		case p.closed:
			return 0, io.EOF
		case len(b) == 0:
			return 0, nil
		}
		p.change.Wait()
	}
	n := copy(b, p.data)
	p.data = p.data[n:]
	if len(p.data) == 0 {
		p.data = nil
	}
	p.change.Broadcast()
	return n, nil
}

func (c *conn) Write(b []byte) (int, error) {
	p := c.out
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for {
		switch {
		case c.writeBefore.expired:
			return written, os.ErrDeadlineExceeded
		case p.silent:
			return len(b), nil
		case p.closed:
			return written, io.ErrClosedPipe
		}
		n := min(len(b)-written, pipeBuffer-len(p.data))
		if n > 0 {
			p.data = append(p.data, b[written:written+n]...)
			written += n
			p.change.Broadcast()
		}
		if written == len(b) {
			return written, nil
		}
		p.change.Wait()
	}
}

// silence loses what is written from now on and hides a later close.
func (c *conn) silence() { c.out.update(func() { c.out.silent = true }) }

func (c *conn) Close() error {
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() {
		// The other end of a silent connection never learns that it was closed.
		if !c.out.silent {
			c.out.closed = true
		}
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.address }
func (c *conn) RemoteAddr() net.Addr { return c.address }

func (c *conn) SetDeadline(t time.Time) error {
	c.readBefore.set(t)
	c.writeBefore.set(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.readBefore.set(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBefore.set(t)
	return nil
}
