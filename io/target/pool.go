package target

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// PoolOptions configure a Pool. Zero fields get the defaults that are stated.
type PoolOptions struct {
	// Dial opens connections; nil uses TCP with the settings of NewDialer.
	Dial DialFunc
	// DialTimeout bounds one dial; the default is 120 ms, some round trips between regions. A
	// dial whose first packet was lost would take a second, and another target can be tried
	// instead.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept if the target states nothing
	// shorter; the default is 8 s.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections per target; the default is 16.
	MaxIdle int
}

// Pool keeps connections to targets for single requests. Unlike Transport it reads
// answers on the goroutine of the request, which lets it tell for every failure whether
// the target can have seen the request.
type Pool struct {
	opts PoolOptions

	mu   sync.Mutex
	idle map[string][]*pooled
}

// pooled is one connection of the pool.
type pooled struct {
	net.Conn
	reader  *reader
	address string
	// expires is when the unused connection is closed.
	expires time.Time
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = 120 * time.Millisecond
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 8 * time.Second
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = 16
	}
	if o.Dial == nil {
		o.Dial = NewDialer().DialContext
	}
	return &Pool{opts: o, idle: map[string][]*pooled{}}
}

// Settings of TCP that make a connection fail which is silent or whose data is not
// acknowledged, as behind a partition.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unacknowledged bounds how long sent data may stay without acknowledgement.
	unacknowledged = 3 * time.Second
	// tcpUserTimeout is the option's number on Linux (tcp(7)).
	tcpUserTimeout = 0x12
)

// NewDialer returns a dialer of connections that notice a silent peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option the keep-alive probes alone find a silent peer.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
			})
		},
	}
}

// get returns a connection to an address: an unused one that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*pooled, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.isOpen() {
			return c, nil
		}
		_ = c.Close() // the peer sees the end in any case
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	return &pooled{Conn: raw, reader: newReader(raw), address: address}, nil
}

// take removes the connection that was used last; it is the least likely to be closed.
func (p *Pool) take(address string) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for another request, for at most the given time and among at most
// a number of others; 0 takes the pool's bounds.
func (p *Pool) put(c *pooled, idle time.Duration, maxIdle int) {
	if maxIdle <= 0 || maxIdle > p.opts.MaxIdle {
		maxIdle = p.opts.MaxIdle
	}
	if idle <= 0 || idle > p.opts.IdleTimeout {
		idle = p.opts.IdleTimeout
	}
	c.expires = time.Now().Add(idle)
	p.mu.Lock()
	list := p.idle[c.address]
	isFull := len(list) >= maxIdle
	if !isFull {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if isFull {
		_ = c.Close() // the peer sees the end in any case
	}
}

// DiscardIdle closes the unused connections to an address, as after one of its
// connections was silent or its target has changed.
func (p *Pool) DiscardIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // the peer sees the end in any case
	}
}

// CloseExpired closes unused connections whose time is over. It is called about once a
// second.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*pooled
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close() // the peer sees the end in any case
	}
}

// isOpen reports whether an unused connection is neither closed by the target nor holds
// bytes that belong to no request. It reads without blocking.
func (c *pooled) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, err := syscall.Read(int(fd), buffer[:])
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}
