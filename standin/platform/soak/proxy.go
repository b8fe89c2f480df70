package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does to the connections through it.
type mode uint8

const (
	modePass mode = iota
	// modeDelay adds a pause to each piece of data.
	modeDelay
	// modeSilent takes data and passes nothing on, in both directions.
	modeSilent
	// modeOneWay passes requests on and swallows the answers.
	modeOneWay
	// modeRefuse resets new connections.
	modeRefuse
)

var modeNames = [...]string{"Pass", "Delay", "Silent", "OneWay", "Refuse"}

func (m mode) String() string { return modeNames[m] }

// delay is the pause of modeDelay.
const delay = 60 * time.Millisecond

// proxy is a loopback proxy before one address.
type proxy struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.wait.Go(p.runAccept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode, also for open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() mode {
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
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = c.Close() // that is the fault
}

// shut closes a connection that may be closed already.
func shut(c net.Conn) { _ = c.Close() }

func (p *proxy) close() {
	_ = p.listener.Close() // ends runAccept
	p.resetAll()
	p.wait.Wait()
}

func (p *proxy) runAccept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == modeRefuse {
			resetConn(c)
			continue
		}
		p.wait.Go(func() { p.runConn(c) })
	}
}

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
	defer shut(c)
	up, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		resetConn(c)
		return
	}
	defer shut(up)
	p.track(c, true)
	p.track(up, true)
	defer p.track(c, false)
	defer p.track(up, false)
	var back sync.WaitGroup
	back.Go(func() { p.pump(c, up, true) })
	p.pump(up, c, false)
	back.Wait()
}

// pump copies one direction and closes both ends with it.
func (p *proxy) pump(to, from net.Conn, isAnswer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch m := p.current(); {
		case m == modeSilent, m == modeOneWay && isAnswer:
			n = 0
		case m == modeDelay:
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close() // the other end is gone
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				shut(to) // passes the end on
				return
			}
			resetConn(to)
			return
		}
	}
}
