package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is the fault that a proxy injects into its connections.
type mode uint8

const (
	modePass mode = iota
	// modeDelay delays each read by a fixed time.
	modeDelay
	// modeSilent reads and discards the data of both directions.
	modeSilent
	// modeOneWay forwards requests and discards responses.
	modeOneWay
	// modeRefuse resets new connections.
	modeRefuse
)

var modeNames = [...]string{"Pass", "Delay", "Silent", "OneWay", "Refuse"}

func (m mode) String() string { return modeNames[m] }

// readDelay is the delay of modeDelay.
const readDelay = 60 * time.Millisecond

// proxy is a TCP proxy on loopback in front of one address.
type proxy struct {
	listener        net.Listener
	ownAddress      string
	upstreamAddress string
	// hole replaces the listener during a cut with hanging connections.
	hole       *blackHole
	goroutines sync.WaitGroup

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(upstreamAddress string) (*proxy, error) {
	return newProxyAt("127.0.0.1:0", upstreamAddress)
}

// newProxyAt starts a proxy at an address.
func newProxyAt(address, upstreamAddress string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, ownAddress: listener.Addr().String(), upstreamAddress: upstreamAddress, conns: map[net.Conn]bool{}}
	p.goroutines.Go(func() { p.runAccept(listener) })
	return p, nil
}

func (p *proxy) address() string { return p.ownAddress }

// setMode changes the mode, also of open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a failure closes without a reset
	}
	_ = c.Close() // the connection may be closed already
}

// closeQuietly closes a connection that may already be closed.
func closeQuietly(c net.Conn) { _ = c.Close() }

func (p *proxy) close() {
	_ = p.listener.Close() // ends runAccept
	p.resetAll()
	p.goroutines.Wait()
}

func (p *proxy) runAccept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeRefuse {
			resetConn(c)
			continue
		}
		p.goroutines.Go(func() { p.runConn(c) })
	}
}

// track adds a connection to the open ones, or removes it.
func (p *proxy) track(c net.Conn, isOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isOpen {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) runConn(c net.Conn) {
	defer closeQuietly(c)
	upstream, err := net.DialTimeout("tcp4", p.upstreamAddress, time.Second)
	if err != nil {
		resetConn(c)
		return
	}
	defer closeQuietly(upstream)
	p.track(c, true)
	p.track(upstream, true)
	defer p.track(c, false)
	defer p.track(upstream, false)
	var responses sync.WaitGroup
	responses.Go(func() { p.pump(c, upstream, true) })
	p.pump(upstream, c, false)
	responses.Wait()
}

// pump copies one direction until it ends or fails, and then closes the destination. If the
// destination fails it closes the source.
func (p *proxy) pump(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch m := p.currentMode(); {
		case m == modeSilent, m == modeOneWay && isResponse:
			n = 0
		case m == modeDelay:
			time.Sleep(readDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close() // the destination can't be written to
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				closeQuietly(to) // propagates the end of the stream
				return
			}
			resetConn(to)
			return
		}
	}
}
