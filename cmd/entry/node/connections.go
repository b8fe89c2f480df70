package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedTime is the time after the listener has closed for which an instance that leaves waits for
// the first request of a connection.
const unusedTime = 500 * time.Millisecond

// newConnections tracks the connections of a server that have not sent a whole header yet. The
// server's Shutdown waits for them longer than most grace periods last.
type newConnections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

// watch makes the server report its connections.
func (c *newConnections) watch(s *http.Server) {
	c.open = map[net.Conn]bool{}
	s.ConnState = c.onState
}

func (c *newConnections) onState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew {
		c.open[conn] = true
		return
	}
	delete(c.open, conn)
}

// close closes the connections.
func (c *newConnections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close() // nothing has been sent on it
	}
}
