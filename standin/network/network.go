// Package network is an in-memory stand-in for a TCP network, for tests in virtual time.
// Its faults are refused dials, closed connections, and connections that silently discard
// all data while new ones work.
package network

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Network connects dials to listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	refusing  map[string]bool
	conns     map[string][]*conn // both ends of each connection, by listener address
	dials     map[string]int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{}, refusing: map[string]bool{},
		conns: map[string][]*conn{}, dials: map[string]int{},
	}
}

// Listen opens a listener on an address and replaces an earlier one. Closing the
// listener frees the address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to a listener. Its signature is that of net.Dialer.DialContext; the
// network argument is ignored.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, refusing := n.listeners[address], n.refusing[address]
	n.dials[address]++
	n.mu.Unlock()
	if l == nil || refusing {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	dialled, accepted := newPair(address)
	select {
	case l.accepted <- accepted:
	case <-l.closed:
		return nil, errors.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], dialled, accepted)
	return dialled, nil
}

// SetRefusing makes dials to an address fail, or work again.
func (n *Network) SetRefusing(address string, refusing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[address] = refusing
}

// Blackhole makes the open connections to an address discard all later writes, in both
// directions and without an error. New connections work.
func (n *Network) Blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.blackhole()
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
		_ = c.Close() // it never fails
	}
}

// DialCount returns the number of dials to an address, including failed ones.
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
