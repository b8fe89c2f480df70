package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/intake"
)

// connectionsFixture are bounded connections whose other ends the test holds.
type connectionsFixture struct {
	t *testing.T
	connections
}

func newConnectionsFixture(t *testing.T, limit int) *connectionsFixture {
	f := &connectionsFixture{t: t}
	f.limit, f.budget = limit, intake.NewBudget(1<<20, core.NewProcessClock())
	f.watch(&http.Server{})
	return f
}

// add reports a new connection and then its further states.
func (f *connectionsFixture) add(states ...http.ConnState) (conn, caller net.Conn) {
	conn, caller = net.Pipe()
	f.t.Cleanup(func() { _ = caller.Close() }) // no longer in use
	f.onState(conn, http.StateNew)
	for _, s := range states {
		f.onState(conn, s)
	}
	return conn, caller
}

// isClosed reports whether the instance has closed a connection.
func (f *connectionsFixture) isClosed(caller net.Conn) bool {
	if err := caller.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		return true // as a pipe states it
	}
	_, err := caller.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// Guards against connections that are closed during a request, or before others that wait longer.
func TestConnectionsMakeRoomInOrder(t *testing.T) {
	f := newConnectionsFixture(t, 5)
	_, busy := f.add(http.StateActive)
	_, idle := f.add(http.StateActive, http.StateIdle)
	_, fresh := f.add()
	_, later := f.add() // five sockets are in use
	if f.isClosed(fresh) {
		t.Fatal("closed with room left")
	}
	_, first := f.add()
	if !f.isClosed(fresh) || f.isClosed(later) || f.isClosed(idle) {
		t.Error("not the oldest connection without a request was closed")
	}
	firstConn, _ := f.add(http.StateActive)
	if !f.isClosed(later) || !f.isClosed(first) {
		t.Error("a request took a socket that isn't there")
	}
	f.add()
	if !f.isClosed(idle) {
		t.Error("the idle connection was not closed")
	}
	second, _ := f.add(http.StateActive)
	if _, refused := f.add(); !f.isClosed(refused) || f.isClosed(busy) {
		t.Error("a connection without room was taken, or a request was closed")
	}
	f.onState(firstConn, http.StateClosed)
	f.onState(second, http.StateClosed)
	if sockets, _, _ := f.stats(); sockets != 2 {
		t.Errorf("%d sockets in use", sockets)
	}
	if _, again := f.add(); f.isClosed(again) {
		t.Error("closed although there is room again")
	}
}
