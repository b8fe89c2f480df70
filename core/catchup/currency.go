package catchup

import (
	"sync"
	"time"

	"gorseline/core"
)

// Currency tracks when the configuration in force was last known to be the newest, from reads of the
// store and from what peers state. It is safe for concurrent use.
type Currency struct {
	clock core.ClockProvider

	mu     sync.Mutex
	stalls stallDetector
	// maxAge is the age up to which a confirmation makes the configuration current.
	maxAge time.Duration
	// version is the version in force, newest the highest that a peer has stated.
	version, newest uint64
	// confirmedAt is when the version in force was known to be the newest, if isConfirmed.
	isConfirmed bool
	confirmedAt core.Instant
}

var _ core.CurrencyProvider = (*Currency)(nil)

// NewCurrency returns a currency without a confirmation. clock must go on while the machine is suspended.
// maxAge is the time in which a new configuration must come into force.
func NewCurrency(clock core.ClockProvider, maxAge time.Duration) *Currency {
	return &Currency{clock: clock, maxAge: maxAge}
}

// SetMaxAge replaces the time in which a new configuration must come into force.
func (c *Currency) SetMaxAge(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxAge = d
}

// SetVersion records the version in force. Lower versions are ignored.
func (c *Currency) SetVersion(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = max(c.version, version)
}

// Tick notes that the process runs. It is called about ten times a second.
func (c *Currency) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalls.tick(c.clock.Now())
}

// Now returns the time of the clock that confirmations refer to.
func (c *Currency) Now() core.Instant { return c.clock.Now() }

// Confirm records that the version in force includes all that the store had acknowledged at a time.
func (c *Currency) Confirm(at core.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(at)
}

// confirm records a confirmation. The lock must be held.
func (c *Currency) confirm(at core.Instant) {
	if !c.isConfirmed || at > c.confirmedAt {
		c.isConfirmed, c.confirmedAt = true, at
	}
}

// Reject records that the newest version in the store can't be used, so that the version in force is not
// the newest.
func (c *Currency) Reject() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isConfirmed = false
}

// ObservePeer records the version that a peer has in force, and how long ago it was known to be the newest.
// isConfirmed is false if the peer doesn't know that.
func (c *Currency) ObservePeer(version uint64, age time.Duration, isConfirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.stalls.tick(now)
	c.newest = max(c.newest, version)
	if isConfirmed && version > 0 && version <= c.version {
		c.confirm(c.stalls.arrivedAfter(now).Add(-age))
	}
}

// Age returns how long ago the configuration in force was last known to be the newest. It returns false if
// that isn't known.
func (c *Currency) Age() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.confirmedAt), c.isConfirmed
}

// IsCurrent reports whether the configuration in force was known to be the newest within the time in which
// a new one must come into force, and no peer has a newer one.
func (c *Currency) IsCurrent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isConfirmed && c.version >= c.newest && c.clock.Now().Sub(c.confirmedAt) <= c.maxAge
}
