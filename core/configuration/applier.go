package configuration

import (
	"sync"
	"sync/atomic"

	"gorseline/core"
)

// ApplyResult says what became of an update.
type ApplyResult uint8

// Results of applying an update.
const (
	ApplyDone ApplyResult = iota
	// ApplyStale means that the update is not newer than what is in force.
	ApplyStale
	// ApplyGap means that revisions before the update are missing.
	ApplyGap
	// ApplyMalformed means that a document could not be decoded.
	ApplyMalformed
)

// ApplyCounts count what an applier did with updates.
type ApplyCounts struct{ Applied, Stale, Gap, Malformed uint64 }

// Applier holds the configuration in force on this instance and applies only
// greater revisions. It is safe for concurrent use.
type Applier struct {
	current atomic.Pointer[core.Configuration]

	mu          sync.Mutex
	counts      ApplyCounts
	subscribers map[int]chan core.Revision
	nextID      int
	// trust skips the comparison of revisions.
	trust bool
}

var _ core.ConfigurationProvider = (*Applier)(nil)

// NewApplier returns an applier with no configuration, which has revision 0.
func NewApplier() *Applier {
	a := &Applier{subscribers: make(map[int]chan core.Revision)}
	a.current.Store(&core.Configuration{})
	return a
}

// Configuration returns the configuration in force. A request keeps the value it
// was admitted under.
func (a *Applier) Configuration() core.Configuration { return *a.current.Load() }

// Revision returns the revision in force, 0 before the first one.
func (a *Applier) Revision() core.Revision { return a.current.Load().Revision }

// Counts returns what happened to updates so far.
func (a *Applier) Counts() ApplyCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// ApplyConfiguration puts a whole configuration in force if it is newer.
func (a *Applier) ApplyConfiguration(c core.Configuration) ApplyResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.newer(c.Revision) {
		a.counts.Stale++
		return ApplyStale
	}
	a.put(c)
	return ApplyDone
}

// Apply applies an update. A full update may skip revisions; another one must
// start at or before the revision in force.
func (a *Applier) Apply(u Update) ApplyResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := *a.current.Load()
	if !a.newer(u.Revision) {
		a.counts.Stale++
		return ApplyStale
	}
	if !u.IsFull() && u.From > current.Revision {
		a.counts.Gap++
		return ApplyGap
	}
	next, err := with(current, u)
	if err != nil {
		a.counts.Malformed++
		return ApplyMalformed
	}
	a.put(next)
	return ApplyDone
}

func (a *Applier) newer(r core.Revision) bool { return r > a.Revision() || a.trust }

// DisableRevisionCheck makes the applier put old revisions in force too. It exists for
// mutation checks, which must report the revert.
func (a *Applier) DisableRevisionCheck() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trust = true
}

func (a *Applier) put(c core.Configuration) {
	a.counts.Applied++
	a.current.Store(&c)
	for _, ch := range a.subscribers {
		// The newest revision replaces one that the subscriber has not read.
		select {
		case <-ch:
		default:
		}
		ch <- c.Revision
	}
}

// Subscribe returns a channel with the newest revision applied, and a function
// that ends the subscription. A slow subscriber misses revisions in between.
func (a *Applier) Subscribe() (<-chan core.Revision, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := a.nextID
	a.nextID++
	ch := make(chan core.Revision, 1)
	a.subscribers[id] = ch
	return ch, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.subscribers, id)
	}
}
