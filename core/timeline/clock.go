// Package timeline stamps, holds and merges the events of the time line.
package timeline

import (
	"sync"
	"time"

	"gorseline/core"
)

// Clock is a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks",
// 2014). It never goes backwards, and a reading taken after Observe(t) orders
// after t. It is safe for concurrent use.
type Clock struct {
	wall func() time.Duration

	mu   sync.Mutex
	last core.Timestamp
}

// NewClock returns a clock over wall, which gives the time since the Unix epoch.
func NewClock(wall func() time.Duration) *Clock { return &Clock{wall: wall} }

// WallTime returns the system's time since the Unix epoch.
func WallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Now returns a timestamp later than all earlier ones of this clock.
func (c *Clock) Now() core.Timestamp {
	wall := c.wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = core.Timestamp{Wall: wall}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// maxAhead bounds how far a received timestamp may push the clock, so that one
// process with a wrong wall clock can't move the whole fleet's time line.
const maxAhead = time.Minute

// Observe moves the clock past a timestamp received from another process. It
// ignores timestamps more than a minute ahead and reports whether it applied t.
func (c *Clock) Observe(t core.Timestamp) bool {
	if t.Wall > c.wall()+maxAhead {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(t) {
		c.last = t
	}
	return true
}
