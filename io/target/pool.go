package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// PoolOptions configure a Pool. Zero fields get defaults.
type PoolOptions struct {
	// Dial opens connections; nil uses TCP with the settings of NewDialer.
	Dial DialFunc
	// DialTimeout bounds one dial; the default is 120 ms, a few round trips between data centres.
	// A dial whose first packet is lost would take a second because of TCP's retransmission
	// timeout; it is faster to try another target.
	DialTimeout time.Duration
	// IdleTimeout bounds the time that an idle connection is kept, unless the target states
	// a shorter one; the default is 8 s.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections per target; the default is 16.
	MaxIdle int
}

// Pool is a connection pool for HTTP/1.1 requests to targets. Unlike Transport, it reads
// answers on the goroutine of the request, so that it knows for every failure whether a
// byte of the request may have been sent. It is safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu   sync.Mutex
	idle map[string][]*pooledConn // by address
}

// pooledConn is one connection of the pool.
type pooledConn struct {
	net.Conn
	reader  *reader
	address string
	// names holds hashes of the names of the latest requests on the connection.
	names []uint64
	// isUsed is set if the connection had a request, also one without a name.
	isUsed bool
	// expires is the time from which the idle connection is not used again.
	expires time.Time
}

// maxNames bounds the names that a connection remembers. A target may repeat an answer until then.
const maxNames = 32

// addName remembers the name of a request; 0 is none.
func (c *pooledConn) addName(name uint64) {
	c.isUsed = true
	if name == 0 {
		return
	}
	if len(c.names) == maxNames {
		c.names = slices.Delete(c.names, 0, 1)
	}
	c.names = append(c.names, name)
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
	return &Pool{opts: o, idle: map[string][]*pooledConn{}}
}

// TCP settings with which a connection fails if its peer is unreachable, as during a
// network partition.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// acknowledgementTimeout bounds the time that sent data may stay unacknowledged.
	acknowledgementTimeout = 3 * time.Second
	// tcpUserTimeout is the number of the option TCP_USER_TIMEOUT on Linux, see tcp(7).
	tcpUserTimeout = 0x12
)

// NewDialer returns a dialer whose connections fail within seconds if their peer becomes
// unreachable.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// If the option can't be set, keep-alive probes still detect an unreachable
				// peer.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(acknowledgementTimeout.Milliseconds()))
			})
		},
	}
}

// get returns a connection to an address for the request with a name: an idle one that is still open and
// had no request of that name, or a new one. isNew is set if it had no request at all.
func (p *Pool) get(ctx context.Context, address, request string) (c *pooledConn, isNew bool, err error) {
	name := uint64(0)
	if request != "" {
		name = xxhash.Sum64String(request)
	}
	for {
		c := p.take(address, name)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.isOpen() {
			isNew = !c.isUsed
			c.addName(name)
			return c, isNew, nil
		}
		_ = c.Close() // the connection is not used again
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	conn.addName(name)
	return conn, true, nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	return &pooledConn{Conn: raw, reader: newReader(raw), address: address}, nil
}

// Probe opens a connection to an address and keeps it idle for the next request. The error tells that the
// address accepts none. maxIdle is as in a Request.
func (p *Pool) Probe(ctx context.Context, address string, maxIdle int) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(c, 0, maxIdle)
	return nil
}

// take removes and returns the most recently used idle connection, which is the least
// likely to have been closed by the target, or nil. It leaves out those that had a request of the name.
func (p *Pool) take(address string, name uint64) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !slices.Contains(c.names, name) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool for at most idleTimeout, or closes it if the pool
// already has maxIdle idle ones to its address. The bounds of the pool replace values that
// are 0 or above them.
func (p *Pool) put(c *pooledConn, idleTimeout time.Duration, maxIdle int) {
	if maxIdle <= 0 || maxIdle > p.opts.MaxIdle {
		maxIdle = p.opts.MaxIdle
	}
	if idleTimeout <= 0 || idleTimeout > p.opts.IdleTimeout {
		idleTimeout = p.opts.IdleTimeout
	}
	c.expires = time.Now().Add(idleTimeout)
	p.mu.Lock()
	list := p.idle[c.address]
	isFull := len(list) >= maxIdle
	if !isFull {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if isFull {
		_ = c.Close() // the connection is not used again
	}
}

// DiscardIdle closes the idle connections to an address. It is called, for example, when a
// connection to the address got no answer or when the address belongs to another target.
func (p *Pool) DiscardIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // the connection is not used again
	}
}

// CloseExpired closes the idle connections that have expired. It is called about once a
// second.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*pooledConn
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
		_ = c.Close() // the connection is not used again
	}
}

// isOpen reports whether an idle connection can be used: the target has neither closed it
// nor sent bytes that belong to no request. It reads without blocking.
func (c *pooledConn) isOpen() bool {
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
