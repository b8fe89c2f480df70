// Package network is a stand-in of a TCP network in memory, for tests in virtual
// time: listeners and dials by address, with refused dials and with connections
// that go silent for good while new ones work.
package network

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Network connects listeners and dials by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	refused   map[string]bool
	conns     map[string][]*conn // dialled and accepted ends by listener address
	dials     map[string]int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{}, refused: map[string]bool{},
		conns: map[string][]*conn{}, dials: map[string]int{},
	}
}

// Listen opens a listener. Closing it frees the address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to a listener. It has the form of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, refused := n.listeners[address], n.refused[address]
	n.dials[address]++
	n.mu.Unlock()
	if l == nil || refused {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	a, b := newPair(address)
	select {
	case l.accepted <- b:
	case <-l.closed:
		return nil, errors.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], a, b)
	return a, nil
}

// SetRefusing makes dials to an address fail, or succeed again.
func (n *Network) SetRefusing(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[address] = on
}

// Blackhole makes the open connections to an address lose everything that is
// written from now on, in both directions, without an error. New connections work.
func (n *Network) Blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.silence()
	}
	n.conns[address] = nil
}

// CloseConnections closes the open connections to an address.
func (n *Network) CloseConnections(address string) {
	n.mu.Lock()
	conns := n.conns[address]
	n.conns[address] = nil
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // the peer sees the end in any case
	}
}

// DialCount returns the number of dials to an address.
func (n *Network) DialCount(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }
