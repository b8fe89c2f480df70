// Package timeline timestamps, buffers and merges events.
package timeline

import (
	"sync"
	"time"

	"gorseline/core"
)

// Clock is a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks",
// 2014). Its readings strictly increase, and a reading taken after Observe(t) returned
// true orders after t. It is safe for concurrent use.
type Clock struct {
	wall func() time.Duration

	mu   sync.Mutex
	last core.Timestamp
}

// NewClock returns a clock based on wall, which returns the time since the Unix epoch.
func NewClock(wall func() time.Duration) *Clock { return &Clock{wall: wall} }

// WallTime returns the system clock's time since the Unix epoch.
func WallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Now returns a timestamp that orders after all earlier readings of this clock.
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

// maxSkew limits how far a received timestamp may advance the clock, so that one process
// with a wrong wall clock can't advance the clocks of the whole fleet.
const maxSkew = time.Minute

// Observe advances the clock to a timestamp received from another process. It ignores
// timestamps more than maxSkew ahead of the wall clock and reports whether it accepted t.
func (c *Clock) Observe(t core.Timestamp) bool {
	if t.Wall > c.wall()+maxSkew {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(t) {
		c.last = t
	}
	return true
}
