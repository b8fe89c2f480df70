package soak

import (
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// cutKind is how the links of an instance that is cut off fail.
type cutKind uint8

const (
	// cutHang makes open connections and new ones hang.
	cutHang cutKind = iota
	// cutReset resets open connections and refuses new ones.
	cutReset
	// cutNew refuses new connections.
	cutNew
)

var cutNames = [...]string{"Hang", "Reset", "New"}

// cut begins a cut of the link.
func (p *proxy) cut(kind cutKind) error {
	_ = p.listener.Close() // ends runAccept
	switch kind {
	case cutReset:
		p.resetAll()
	case cutHang:
		p.setMode(modeSilent)
		hole, err := retryInUse(func() (*blackHole, error) { return newBlackHole(p.address()) })
		if err != nil {
			return errors.Wrap(err, "cut link")
		}
		p.hole = hole
	case cutNew:
	}
	return nil
}

// heal ends a cut, or the downtime of the target behind the link. Connections that were silent have
// lost data, so they are reset.
func (p *proxy) heal() error {
	if p.hole != nil {
		p.hole.close()
		p.hole = nil
	}
	if p.currentMode() != modePass {
		p.setMode(modePass)
		p.resetAll()
	}
	listener, err := retryInUse(func() (net.Listener, error) { return net.Listen("tcp4", p.address()) })
	if err != nil {
		return errors.Wrap(err, "heal link")
	}
	p.listener = listener
	p.goroutines.Go(func() { p.runAccept(listener) })
	return nil
}

// maxInUse is the number of milliseconds for which an address may stay in use after its listener was
// closed.
const maxInUse = 500

// retryInUse repeats a call until the address that it listens on is free.
func retryInUse[T any](listen func() (T, error)) (T, error) {
	for tries := 0; ; tries++ {
		value, err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || tries == maxInUse {
			return value, err
		}
		time.Sleep(time.Millisecond)
	}
}

// blackHole is an address at which connections hang, as behind a network partition: the queue of a
// listener that accepts none is full, so that the kernel drops their first packets.
type blackHole struct {
	fd    int
	conns []net.Conn
}

// holeTimeout is the time after which a connection counts as hanging.
const holeTimeout = 30 * time.Millisecond

func newBlackHole(address string) (*blackHole, error) {
	_, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	h := &blackHole{fd: fd}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		h.close()
		return nil, err
	}
	for h.fill(address) {
	}
	return h, nil
}

// fill returns false once the queue is full.
func (h *blackHole) fill(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, holeTimeout)
	if err == nil {
		h.conns = append(h.conns, conn)
	}
	return err == nil
}

func (h *blackHole) close() {
	for _, c := range h.conns {
		_ = c.Close() // nothing was sent
	}
	_ = syscall.Close(h.fd)
}
