package configuration

import (
	"sync"
	"sync/atomic"

	"gorseline/core"
)

// ApplyResult is the outcome of applying an update.
type ApplyResult uint8

// Results of applying an update.
const (
	// ApplyDone means that the update is in force.
	ApplyDone ApplyResult = iota
	// ApplyStale means that the update is not newer than the configuration in force.
	ApplyStale
	// ApplyGap means that revisions between the one in force and the update are missing.
	ApplyGap
	// ApplyMalformed means that a document could not be decoded.
	ApplyMalformed
)

// ApplyCounts counts updates by their ApplyResult.
type ApplyCounts struct{ Applied, Stale, Gap, Malformed uint64 }

// Applier holds the configuration in force on this instance and replaces it only by newer
// revisions. It is safe for concurrent use.
type Applier struct {
	current atomic.Pointer[core.Configuration]

	mu          sync.Mutex
	counts      ApplyCounts
	subscribers map[int]chan core.Revision
	nextID      int
	// skipRevisionCheck disables the comparison of revisions.
	skipRevisionCheck bool
}

var _ core.ConfigurationProvider = (*Applier)(nil)

// NewApplier returns an applier with no configuration, which has revision 0.
func NewApplier() *Applier {
	a := &Applier{subscribers: make(map[int]chan core.Revision)}
	a.current.Store(&core.Configuration{})
	return a
}

// Configuration returns the configuration in force. A request uses the value that it was
// admitted with until it ends.
func (a *Applier) Configuration() core.Configuration { return *a.current.Load() }

// Revision returns the revision in force, 0 before the first one.
func (a *Applier) Revision() core.Revision { return a.current.Load().Revision }

// Counts returns the number of updates by result.
func (a *Applier) Counts() ApplyCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// ApplyConfiguration puts a whole configuration in force if it is newer.
func (a *Applier) ApplyConfiguration(c core.Configuration) ApplyResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isNewer(c.Revision) {
		a.counts.Stale++
		return ApplyStale
	}
	a.store(c)
	return ApplyDone
}

// Apply applies an update. A full update applies to any older revision; any other update
// must start at or before the revision in force.
func (a *Applier) Apply(u Update) ApplyResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := *a.current.Load()
	if !a.isNewer(u.Revision) {
		a.counts.Stale++
		return ApplyStale
	}
	if !u.IsFull() && u.From > current.Revision {
		a.counts.Gap++
		return ApplyGap
	}
	next, err := withUpdate(current, u)
	if err != nil {
		a.counts.Malformed++
		return ApplyMalformed
	}
	a.store(next)
	return ApplyDone
}

func (a *Applier) isNewer(r core.Revision) bool { return r > a.Revision() || a.skipRevisionCheck }

// DisableRevisionCheck makes the applier accept old revisions too. Mutation checks use it
// to verify that they detect a revert.
func (a *Applier) DisableRevisionCheck() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.skipRevisionCheck = true
}

func (a *Applier) store(c core.Configuration) {
	a.counts.Applied++
	a.current.Store(&c)
	for _, ch := range a.subscribers {
		// The newest revision replaces an unread one.
		select {
		case <-ch:
		default:
		}
		ch <- c.Revision
	}
}

// Subscribe returns a channel that receives the newest applied revision, and a function
// that cancels the subscription. A slow subscriber misses intermediate revisions.
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
