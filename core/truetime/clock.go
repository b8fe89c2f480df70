// Package truetime derives the time of day from the clocks of all instances, so that shifted clocks of some
// machines don't move it.
package truetime

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core"
)

const (
	// statementLife is how long a statement counts. Instances announce every 400 ms, so that a running peer
	// stays known if several of its announcements are lost in a row.
	statementLife = 3 * time.Second
	// holdTime is how long a statement isn't replaced by an earlier time, at least. Delay only makes a
	// statement appear too early, so the latest of three announcements or more is the most accurate.
	holdTime = 1200 * time.Millisecond
	// gatherTime is the time from the first statement until a new clock settles: three announcements of each
	// peer, so that most peers are heard and late datagrams are outvoted. Without it, new clocks were off by
	// 0.8 s in a simulation with 10% of the datagrams lost and 10% late; 0.5 s is enough for many peers.
	gatherTime = holdTime
	// soloTime is the time without three statements after which a new clock settles on what it has.
	soloTime = 2 * time.Second
	// minStatements is the number of peers that settle a new clock and that can move a settled one.
	minStatements = 3
	// maxWallLead and maxWallLag are the differences from the peers up to which a new clock keeps its own
	// wall clock. Statements are late by the network's delay, which would otherwise add up from restart to
	// restart; delay doesn't explain a wall clock that is behind.
	maxWallLead = 50 * time.Millisecond
	maxWallLag  = 10 * time.Millisecond
	// maxSpread is the difference from the median up to which statements agree with it.
	maxSpread = 100 * time.Millisecond
	// minAdvance is the smallest difference by which a settled clock moves forward.
	minAdvance = 20 * time.Millisecond
	// minReturn is the smallest difference by which a settled clock moves back. It allows for 40 ms of
	// delay between data centres: with 20 ms, all clocks would follow each other back without end.
	minReturn = 60 * time.Millisecond
	// confirmTime is how long a difference must last before a settled clock moves. After a suspension, old
	// statements that waited in the socket are read within a fraction of it.
	confirmTime = time.Second
	// compareInterval is the time between two comparisons of a settled clock with its peers. One with 60 peers
	// takes about 3 us.
	compareInterval = 100 * time.Millisecond
	// stallTime is the time between two calls from which the process stood still meanwhile, so that
	// statements which are handled now may have waited.
	stallTime = time.Second
	// maxSenders bounds the memory for statements. It is far above the number of instances.
	maxSenders = 1024
)

// minStated and maxStated (2001 to 2128) bound statements. Times outside are malformed.
var minStated, maxStated = time.Unix(1_000_000_000, 0), time.Unix(5_000_000_000, 0)

// offset is a time of day in nanoseconds since 1970, less the steady clock's time.
type offset int64

func (o offset) at(now core.Instant) time.Time { return time.Unix(0, int64(o)+int64(now)) }

func (o offset) sub(earlier offset) time.Duration { return time.Duration(o - earlier) }

// statement is what a peer has stated recently. It holds the latest time of the current period of holdTime,
// which began at since, and of the one before.
type statement struct {
	current, previous offset
	hasPrevious       bool
	since, receivedAt core.Instant
}

// with returns the statement with another announcement. The sender must be known.
func (s statement) with(o offset, now core.Instant) statement {
	s.receivedAt = now
	if now.Sub(s.since) >= holdTime {
		s.previous, s.hasPrevious = s.current, true
		s.current, s.since = o, now
		return s
	}
	s.current = max(s.current, o)
	return s
}

// latest returns the latest time that was stated.
func (s statement) latest() offset {
	if s.hasPrevious {
		return max(s.previous, s.current)
	}
	return s.current
}

// Clock holds the believed true time. A new clock is unsettled; Now or Stated must be called at least twice
// a second. It is safe for concurrent use.
type Clock struct {
	steady core.ClockProvider
	// believed is the offset of the true time, if isSettled. It is written with the lock held.
	believed  atomic.Int64
	isSettled atomic.Bool

	mu sync.Mutex
	// wall is the offset of the wall clock at startup.
	wall offset
	// waitsSince is when an unsettled clock began to listen, calledAt the time of the last call.
	waitsSince, calledAt core.Instant
	statements           map[uint32]statement
	// firstAt is when the first of the statements arrived, if there are any.
	firstAt core.Instant
	// comparedAt is when a settled clock was last compared with its peers.
	comparedAt core.Instant
	// differsSince is since when a settled clock differs from its peers, if differs.
	differs      bool
	differsSince core.Instant
	// sorted is reused for medians.
	sorted []offset
}

// New returns an unsettled clock. steady must go on while the machine is suspended. wall is read once: later
// jumps of the wall clock have no effect.
func New(steady core.ClockProvider, wall func() time.Time) *Clock {
	now := steady.Now()
	return &Clock{
		steady: steady, wall: offset(wall().UnixNano() - int64(now)),
		waitsSince: now, calledAt: now, comparedAt: now, statements: make(map[uint32]statement),
	}
}

// Now returns the true time, or false while the clock is unsettled.
func (c *Clock) Now() (at time.Time, ok bool) {
	now := c.steady.Now()
	if !c.isSettled.Load() && !c.tryToSettle(now) {
		return time.Time{}, false
	}
	return offset(c.believed.Load()).at(now), true
}

// Stated returns the time for an announcement, which is zero while the clock is unsettled.
func (c *Clock) Stated() time.Time {
	at, _ := c.Now()
	return at
}

// Observe records the time that a peer states in an announcement, and moves the clock if most peers have
// stated another time for a second. The zero time and times that no clock can have are ignored.
func (c *Clock) Observe(sender uint32, stated time.Time) {
	if stated.Before(minStated) || stated.After(maxStated) {
		return
	}
	now := c.steady.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteCall(now)
	c.record(sender, offset(stated.UnixNano()-int64(now)), now)
	if !c.isSettled.Load() {
		c.expire(now)
		c.settle(now)
		return
	}
	if now.Sub(c.comparedAt) >= compareInterval {
		c.comparedAt = now
		c.expire(now)
		c.follow(now)
	}
}

// record adds an announcement of a sender. The lock must be held.
func (c *Clock) record(sender uint32, o offset, now core.Instant) {
	s, isKnown := c.statements[sender]
	if !isKnown && len(c.statements) >= maxSenders {
		return
	}
	if len(c.statements) == 0 {
		c.firstAt = now
	}
	if !isKnown {
		s = statement{current: o, since: now}
	}
	c.statements[sender] = s.with(o, now)
}

// noteCall discards what was concluded before the process stood still. The lock must be held.
func (c *Clock) noteCall(now core.Instant) {
	if now.Sub(c.calledAt) >= stallTime {
		c.differs = false
		c.waitsSince = now
		clear(c.statements)
	}
	c.calledAt = now
}

// expire removes old statements. The lock must be held.
func (c *Clock) expire(now core.Instant) {
	for sender, s := range c.statements {
		if now.Sub(s.receivedAt) > statementLife {
			delete(c.statements, sender)
		}
	}
}

// tryToSettle settles the clock if it can, and reports whether it is settled.
func (c *Clock) tryToSettle(now core.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSettled.Load() {
		return true
	}
	c.noteCall(now)
	c.expire(now)
	return c.settle(now)
}

// settle settles an unsettled clock on its peers, or on its wall clock if it has waited in vain. It reports
// whether the clock is settled. The lock must be held.
func (c *Clock) settle(now core.Instant) bool {
	if len(c.statements) > 0 && now.Sub(c.firstAt) < gatherTime {
		return false
	}
	if len(c.statements) < minStatements && now.Sub(c.waitsSince) < soloTime {
		return false
	}
	c.believed.Store(int64(c.settledOffset()))
	c.isSettled.Store(true)
	return true
}

// settledOffset returns the offset that a new clock settles on. The lock must be held.
func (c *Clock) settledOffset() offset {
	if len(c.statements) == 0 {
		return c.wall
	}
	o := c.agreed(c.median(c.sorted[:0], c.wall))
	if d := c.wall.sub(o); d <= maxWallLead && d >= -maxWallLag {
		return c.wall
	}
	return o
}

// follow moves a settled clock if it has differed from the median of its own and its peers' statements for
// confirmTime. The lock must be held.
func (c *Clock) follow(now core.Instant) {
	if len(c.statements) < minStatements {
		c.differs = false
		return
	}
	own := offset(c.believed.Load())
	m := c.median(append(c.sorted[:0], own), own)
	if d := m.sub(own); d < minAdvance && d > -minReturn {
		c.differs = false
		return
	}
	if !c.differs {
		c.differs, c.differsSince = true, now
	}
	if now.Sub(c.differsSince) < confirmTime {
		return
	}
	c.differs = false
	c.believed.Store(int64(c.agreed(m)))
}

// median returns the median of the list and all statements. Of two middle values, it returns the one closer
// to preferred: their mean would lie between a right clock and a wrong one. The lock must be held.
func (c *Clock) median(list []offset, preferred offset) offset {
	for _, s := range c.statements {
		list = append(list, s.latest())
	}
	slices.Sort(list)
	c.sorted = list
	lower, upper := list[(len(list)-1)/2], list[len(list)/2]
	if preferred.sub(lower).Abs() < preferred.sub(upper).Abs() {
		return lower
	}
	return upper
}

// agreed returns the upper quartile of the statements that agree with the median m, which median has returned
// last. The lower ones are those with the longest delay, which would otherwise add up from clock to clock.
// The lock must be held.
func (c *Clock) agreed(m offset) offset {
	first, _ := slices.BinarySearch(c.sorted, m-offset(maxSpread))
	end, _ := slices.BinarySearch(c.sorted, m+offset(maxSpread)+1)
	list := c.sorted[first:end]
	return list[len(list)-1-len(list)/4]
}
