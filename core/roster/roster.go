// Package roster keeps the targets that the platform's registry lists.
//
// The registry removes the entry of a target that left or fell silent. While the
// registry is out of reach, entries may lapse that belong to live targets; they come
// back shortly after its return. Roster therefore keeps an entry for a while that
// disappears just after an outage, and uses it only where too few others are left.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core"
)

// ReturnGrace is how long an entry that lapsed during an outage of the registry may
// take to come back after it, as the platform promises.
const ReturnGrace = 2 * time.Second

// lapsedShare is the share of a service's entries above which lapsed ones are used: that
// many targets hardly left together, while a single one probably did.
const lapsedShare = 1.0 / 3

// Entry is one target of a view.
type Entry struct {
	core.Registration
	// Lapsed entries disappeared just after an outage of the registry.
	Lapsed bool
}

// View is an immutable list of the targets at one moment.
type View struct {
	// Version is the registry's version that the view includes.
	Version  uint64
	entries  map[core.TargetID]*Entry
	services map[core.Service][]*Entry
}

// Find returns the entry of a target.
func (v *View) Find(id core.TargetID) (*Entry, bool) {
	e, ok := v.entries[id]
	return e, ok
}

// Ready returns the targets of a service that take new work. The slice is shared.
func (v *View) Ready(service core.Service) []*Entry { return v.services[service] }

// Len returns the number of entries, leaving ones included.
func (v *View) Len() int { return len(v.entries) }

// All calls yield for each entry, in no order.
func (v *View) All(yield func(*Entry) bool) {
	for _, e := range v.entries {
		if !yield(e) {
			return
		}
	}
}

// Change is one difference between two views.
type Change struct {
	Registration core.Registration
	// Kind names the difference.
	Kind ChangeKind
}

// ChangeKind names how an entry changed.
type ChangeKind string

// Kinds of changes.
const (
	Added       ChangeKind = "Added"
	Restarted   ChangeKind = "Restarted"
	Moved       ChangeKind = "Moved"
	Leaving     ChangeKind = "Leaving"
	Returned    ChangeKind = "Returned"
	RoleChanged ChangeKind = "RoleChanged"
	Lapsed      ChangeKind = "Lapsed"
	Removed     ChangeKind = "Removed"
)

// Update is one row of the registry. A nil Registration removes the target.
type Update struct {
	ID           core.TargetID
	Registration *core.Registration
}

// Roster holds the current view. Its methods are safe for concurrent use.
type Roster struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// lapsed holds when entries disappeared that may still come back.
	lapsed map[core.TargetID]core.Instant
	// backAt is when the registry was reached again after an outage.
	backAt core.Instant
	// lostAt is when an outage began that has not ended.
	lostAt core.Instant
	isLost bool
	lapse  time.Duration
}

// New returns an empty roster. Entries can lapse in outages of the registry that last
// for at least lapse.
func New(lapse time.Duration) *Roster {
	r := &Roster{lapsed: map[core.TargetID]core.Instant{}, backAt: -core.Instant(time.Hour), lapse: lapse}
	r.view.Store(&View{entries: map[core.TargetID]*Entry{}, services: map[core.Service][]*Entry{}})
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// MarkUnreachable notes that the registry could not be read.
func (r *Roster) MarkUnreachable(now core.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLost {
		r.isLost, r.lostAt = true, now
	}
}

// MarkReachable notes that the registry was read.
func (r *Roster) MarkReachable(now core.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLost && now.Sub(r.lostAt) >= r.lapse {
		r.backAt = now
	}
	r.isLost = false
}

// Apply takes in rows that changed up to a version and returns what is different.
// Versions that are not newer than the view's are ignored.
func (r *Roster) Apply(now core.Instant, version uint64, updates []Update) []Change {
	return r.change(version, func(entries map[core.TargetID]*Entry) []Change {
		var changes []Change
		for _, u := range updates {
			changes = r.put(now, entries, u, changes)
		}
		return changes
	})
}

// Replace takes in the whole registry as of a version.
func (r *Roster) Replace(now core.Instant, version uint64, list []core.Registration) []Change {
	return r.change(version, func(entries map[core.TargetID]*Entry) []Change {
		listed := make(map[core.TargetID]bool, len(list))
		var changes []Change
		for i := range list {
			listed[list[i].ID] = true
			changes = r.put(now, entries, Update{list[i].ID, &list[i]}, changes)
		}
		for id := range entries {
			if !listed[id] {
				changes = r.put(now, entries, Update{ID: id}, changes)
			}
		}
		return changes
	})
}

// Expire removes the lapsed entries whose grace is over. It is called about ten times
// a second.
func (r *Roster) Expire(now core.Instant) []Change {
	r.mu.Lock()
	due := 0
	for _, at := range r.lapsed {
		if now.Sub(at) >= ReturnGrace {
			due++
		}
	}
	r.mu.Unlock()
	if due == 0 {
		return nil
	}
	return r.change(r.View().Version, func(entries map[core.TargetID]*Entry) []Change {
		var changes []Change
		for id, at := range r.lapsed {
			if now.Sub(at) < ReturnGrace {
				continue
			}
			delete(r.lapsed, id)
			if e, ok := entries[id]; ok {
				delete(entries, id)
				changes = append(changes, Change{e.Registration, Removed})
			}
		}
		return changes
	})
}

// change applies edit to a copy of the entries and publishes the result.
func (r *Roster) change(version uint64, edit func(map[core.TargetID]*Entry) []Change) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	if version < old.Version {
		return nil
	}
	entries := make(map[core.TargetID]*Entry, len(old.entries)+1)
	for id, e := range old.entries {
		entries[id] = e
	}
	changes := edit(entries)
	r.view.Store(newView(version, entries))
	return changes
}

func newView(version uint64, entries map[core.TargetID]*Entry) *View {
	v := &View{Version: version, entries: entries, services: map[core.Service][]*Entry{}}
	all, lapsed := map[core.Service]int{}, map[core.Service]int{}
	for _, e := range entries {
		all[e.Service]++
		if e.Lapsed {
			lapsed[e.Service]++
		}
	}
	for _, e := range entries {
		isMissing := e.Lapsed && float64(lapsed[e.Service]) <= lapsedShare*float64(all[e.Service])
		if !e.Leaving && !isMissing {
			v.services[e.Service] = append(v.services[e.Service], e)
		}
	}
	for _, list := range v.services {
		// The order by ID makes decisions depend only on their inputs.
		slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// put applies one update to entries.
func (r *Roster) put(now core.Instant, entries map[core.TargetID]*Entry, u Update, changes []Change) []Change {
	old, known := entries[u.ID]
	if u.Registration == nil {
		if !known {
			return changes
		}
		if now.Sub(r.backAt) < ReturnGrace && !old.Leaving {
			if _, lapsed := r.lapsed[u.ID]; !lapsed {
				r.lapsed[u.ID] = r.backAt
				entries[u.ID] = &Entry{Registration: old.Registration, Lapsed: true}
				changes = append(changes, Change{old.Registration, Lapsed})
			}
			return changes
		}
		delete(entries, u.ID)
		delete(r.lapsed, u.ID)
		return append(changes, Change{old.Registration, Removed})
	}
	if known && isOlder(u.Registration, &old.Registration) {
		return changes
	}
	delete(r.lapsed, u.ID)
	entries[u.ID] = &Entry{Registration: *u.Registration}
	if kind, changed := difference(old, u.Registration); changed {
		changes = append(changes, Change{*u.Registration, kind})
	}
	return changes
}

// isOlder reports whether an entry was written before the one known, by the same start of
// the target.
func isOlder(r, known *core.Registration) bool {
	return r.Started < known.Started || r.Started == known.Started && r.Started != 0 && r.Sequence < known.Sequence
}

func difference(old *Entry, now *core.Registration) (kind ChangeKind, changed bool) {
	switch {
	case old == nil:
		return Added, true
	case old.Started != now.Started:
		return Restarted, true
	case old.Address != now.Address || old.Service != now.Service:
		return Moved, true
	case !old.Leaving && now.Leaving:
		return Leaving, true
	case old.Leaving && !now.Leaving:
		return Returned, true
	case old.Role != now.Role:
		return RoleChanged, true
	}
	return "", false
}
