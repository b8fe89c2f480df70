package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"gorseline/core/intake"
)

// unusedTime is the time after the listener has closed for which an instance that leaves waits for
// the first request of a connection.
const unusedTime = 500 * time.Millisecond

const (
	// fixedSockets is the number of sockets that an instance of a small fleet needs beside those of callers and targets:
	// listeners, the store and other instances.
	fixedSockets = 16
	// spareShare is the share of the sockets that callers never get: idle connections to targets, other instances, and callers
	// that ask the directory.
	spareShare = 1.0 / 8
	// connectionShare is the share of the memory for callers' requests that connections without requests may use.
	connectionShare = 0.5
)

// callerSockets returns the number of sockets for callers and for the targets of their requests, from the number of sockets of
// the machine, which is 0 without a limit, and the memory for callers' requests in bytes.
func callerSockets(sockets int, memory int64) int {
	byMemory := int(connectionShare * float64(memory) / connectionMemory)
	if sockets <= 0 {
		return max(1, byMemory)
	}
	return max(1, min(byMemory, sockets-fixedSockets-int(spareShare*float64(sockets))))
}

// connections bounds the connections of callers. A connection without a request in progress takes one socket, others
// take two, because a request needs a connection to a target. When there is no room, the connection that waits longest for a first
// request makes it, then the one that is idle for longest. If all have requests in progress, a new one is closed.
type connections struct {
	// limit is the number of sockets; 0 means no limit.
	limit  int
	budget *intake.Budget

	mu    sync.Mutex
	open  map[net.Conn]*callerConnection
	fresh list.List // of net.Conn without a whole header so far, the oldest first
	idle  list.List // of net.Conn between two requests, the longest idle first
	// sockets is the number of sockets in use. evicted and refused count the connections that were closed to make room and
	// those that found none.
	sockets          int
	evicted, refused int64
}

// callerConnection is the state of an open connection.
type callerConnection struct {
	// list is the one that has the connection, nil during a request.
	list    *list.List
	element *list.Element
	// sockets is the number of sockets that it takes.
	sockets int
}

// watch makes the server report its connections.
func (c *connections) watch(s *http.Server) {
	c.open = map[net.Conn]*callerConnection{}
	s.ConnState = c.onState
}

func (c *connections) onState(conn net.Conn, state http.ConnState) {
	if counted, ok := conn.(*callerConn); ok {
		counted.onState(state)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew {
		c.admit(conn)
		return
	}
	open := c.open[conn]
	if open == nil {
		return // it was closed to make room
	}
	c.unlist(open)
	switch state {
	case http.StateActive:
		c.take(open, 2)
		if c.limit > 0 && c.sockets > c.limit {
			c.evict()
		}
	case http.StateIdle:
		c.take(open, 1)
		c.enlist(conn, open, &c.idle)
	default:
		c.forget(conn)
	}
}

// take sets the number of sockets that a connection takes. The lock must be held.
func (c *connections) take(open *callerConnection, sockets int) {
	c.sockets += sockets - open.sockets
	open.sockets = sockets
}

// forget removes a connection. The lock must be held.
func (c *connections) forget(conn net.Conn) {
	c.take(c.open[conn], 0)
	delete(c.open, conn)
}

// admit takes a new connection or closes it. The lock must be held.
func (c *connections) admit(conn net.Conn) {
	if c.limit > 0 && c.sockets >= c.limit && !c.evict() {
		// A request whose body doesn't arrive makes room for later ones; closing it takes a moment.
		c.budget.CutSlow()
		c.refused++
		_ = conn.Close() // nothing has been read from it
		return
	}
	open := &callerConnection{}
	c.take(open, 1)
	c.open[conn] = open
	c.enlist(conn, open, &c.fresh)
}

// evict closes the connection that has waited longest without a request. It returns false if there is none. The lock must be
// held.
func (c *connections) evict() bool {
	for _, from := range []*list.List{&c.fresh, &c.idle} {
		front := from.Front()
		if front == nil {
			continue
		}
		conn, ok := front.Value.(net.Conn)
		if !ok {
			continue // unreachable: the lists hold connections
		}
		c.unlist(c.open[conn])
		c.forget(conn)
		c.evicted++
		_ = conn.Close() // no request is in progress
		return true
	}
	return false
}

// enlist adds a connection to a list. The lock must be held.
func (c *connections) enlist(conn net.Conn, open *callerConnection, to *list.List) {
	open.list, open.element = to, to.PushBack(conn)
}

// unlist removes a connection from its list. The lock must be held.
func (c *connections) unlist(open *callerConnection) {
	if open.list != nil {
		open.list.Remove(open.element)
		open.list = nil
	}
}

// stats returns the sockets in use, and how many connections were evicted and refused.
func (c *connections) stats() (sockets int, evicted, refused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sockets, c.evicted, c.refused
}

// close closes the connections that have not sent a whole header yet. The server's Shutdown waits for them
// longer than most grace periods last.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.fresh.Front(); e != nil; e = e.Next() {
		if conn, ok := e.Value.(net.Conn); ok {
			_ = conn.Close() // nothing has been sent on it
		}
	}
}
