// Package roster keeps a local copy of the targets in the platform's registry.
//
// The registry removes the entry of a target that left or stopped sending heartbeats. During
// an outage of the registry, entries of live targets may lapse; they are registered again
// shortly after the outage. The roster therefore retains an entry that disappears just after
// an outage for ReturnGrace, and uses it only if a large part of its service lapsed.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core"
)

// ReturnGrace is the time within which the platform guarantees that an entry that lapsed
// during an outage of the registry is registered again after it.
const ReturnGrace = 2 * time.Second

// lapsedUseThreshold is the share of a service's entries above which lapsed ones are used:
// that many targets are unlikely to have left together, while a single one probably did.
const lapsedUseThreshold = 1.0 / 3

// Entry is one target of a view.
type Entry struct {
	core.Registration
	// Lapsed is set for an entry that disappeared just after an outage of the registry.
	Lapsed bool
}

// View is an immutable snapshot of the targets.
type View struct {
	// Version is the registry's version that the view reflects.
	Version  uint64
	entries  map[core.TargetID]*Entry
	services map[core.Service][]*Entry
}

// Find returns the entry of a target.
func (v *View) Find(id core.TargetID) (*Entry, bool) {
	e, ok := v.entries[id]
	return e, ok
}

// Ready returns the targets of a service that accept new work, ordered by ID. It leaves out
// lapsed ones unless a large part of the service lapsed. The slice is shared and must not be
// modified.
func (v *View) Ready(service core.Service) []*Entry { return v.services[service] }

// Len returns the number of entries, including leaving and lapsed ones.
func (v *View) Len() int { return len(v.entries) }

// All calls yield for each entry, in no particular order.
func (v *View) All(yield func(*Entry) bool) {
	for _, e := range v.entries {
		if !yield(e) {
			return
		}
	}
}

// Change describes how one entry differs between two views.
type Change struct {
	Registration core.Registration
	Kind         ChangeKind
}

// ChangeKind names how an entry changed.
type ChangeKind string

// Kinds of changes.
const (
	Added       ChangeKind = "Added"
	Restarted   ChangeKind = "Restarted"
	Moved       ChangeKind = "Moved" // The address or service changed.
	Leaving     ChangeKind = "Leaving"
	Returned    ChangeKind = "Returned" // A leaving target accepts work again.
	RoleChanged ChangeKind = "RoleChanged"
	Lapsed      ChangeKind = "Lapsed" // See Entry.Lapsed.
	Removed     ChangeKind = "Removed"
)

// Update is a changed row of the registry. A nil Registration removes the target.
type Update struct {
	ID           core.TargetID
	Registration *core.Registration
}

// Roster maintains the current view. Its methods are safe for concurrent use.
type Roster struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// lapsedAt holds the start of the grace period of each entry that is no longer listed but
	// may be listed again.
	lapsedAt map[core.TargetID]core.Instant
	// recoveredAt is when the registry became reachable again after the last outage.
	recoveredAt core.Instant
	// unreachableSince is when the current outage began; it is valid if isUnreachable.
	unreachableSince core.Instant
	isUnreachable    bool
	// minOutage is the shortest outage in which entries can lapse.
	minOutage time.Duration
	// restoredAt is when the registry last came back from an older copy, if hasRestored.
	restoredAt  core.Instant
	hasRestored bool
	// removed holds the entries that were removed within removedMemory.
	removed map[core.TargetID]removedEntry
	// older holds the latest entry of each target that was ignored as older than the known one.
	older map[core.TargetID]olderEntry
	// leaving holds the start of the processes that have stated that they leave, by target.
	leaving map[core.TargetID]int64
}

// removedEntry is an entry that was removed at a time.
type removedEntry struct {
	core.Registration
	at core.Instant
}

// removedMemory is how long a removed entry is remembered. A registry that comes back from an
// older copy, some seconds old, may list it again.
const removedMemory = time.Minute

// New returns an empty roster. Entries can lapse in outages of the registry that last
// for at least minOutage.
func New(minOutage time.Duration) *Roster {
	r := &Roster{
		lapsedAt: map[core.TargetID]core.Instant{}, recoveredAt: -core.Instant(time.Hour), minOutage: minOutage,
		removed: map[core.TargetID]removedEntry{}, older: map[core.TargetID]olderEntry{}, leaving: map[core.TargetID]int64{},
	}
	r.view.Store(&View{entries: map[core.TargetID]*Entry{}, services: map[core.Service][]*Entry{}})
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// MarkUnreachable records a failed read of the registry.
func (r *Roster) MarkUnreachable(now core.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isUnreachable {
		r.isUnreachable, r.unreachableSince = true, now
	}
}

// MarkReachable records a successful read of the registry. It ends an outage.
func (r *Roster) MarkReachable(now core.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isUnreachable && now.Sub(r.unreachableSince) >= r.minOutage {
		r.recoveredAt = now
	}
	r.isUnreachable = false
}

// Apply applies the rows that changed up to a version and returns the changes. A version
// older than the view's is ignored.
func (r *Roster) Apply(now core.Instant, version uint64, updates []Update) []Change {
	return r.update(version, func(entries map[core.TargetID]*Entry) []Change {
		var changes []Change
		for _, u := range updates {
			changes = r.applyUpdate(now, entries, u, changes)
		}
		return changes
	})
}

// Replace applies the complete registry as of a version and returns the changes. A version
// older than the view's is ignored. The first list of a later era, and those of the ReturnGrace
// after it, are applied as by a registry that came back from an older copy: see restore.
func (r *Roster) Replace(now core.Instant, version uint64, list []core.Registration) []Change {
	return r.ReplaceFromPeer(now, version, list, nil)
}

// ReplaceFromPeer is like Replace for a list that a peer has read. lapsed names the entries that
// are not listed and that the peer retains; they are retained here too, as lapsed, if they are
// known.
func (r *Roster) ReplaceFromPeer(now core.Instant, version uint64, list []core.Registration, lapsed []core.TargetID) []Change {
	if r.isRestored(now, version) {
		return r.restore(now, version, list)
	}
	return r.update(version, func(entries map[core.TargetID]*Entry) []Change {
		var changes []Change
		for _, id := range lapsed {
			if old, known := entries[id]; known && !old.Leaving {
				changes = r.markLapsed(now, entries, old, changes)
			}
		}
		retained := make(map[core.TargetID]bool, len(list)+len(lapsed))
		for _, id := range lapsed {
			retained[id] = true
		}
		for i := range list {
			retained[list[i].ID] = true
			changes = r.applyUpdate(now, entries, Update{list[i].ID, &list[i]}, changes)
		}
		for id := range entries {
			if !retained[id] {
				changes = r.applyUpdate(now, entries, Update{ID: id}, changes)
			}
		}
		return changes
	})
}

// isRestored reports whether a list is of a registry that has just come back from an older copy.
func (r *Roster) isRestored(now core.Instant, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.view.Load().Version
	if known > 0 && core.EraOf(version) > core.EraOf(known) {
		r.restoredAt, r.hasRestored = now, true
	}
	return r.hasRestored && now.Sub(r.restoredAt) < ReturnGrace
}

// restore applies the complete registry after it came back from an older copy, and returns the
// changes. The registry lists what it had some seconds ago until targets write their entries
// again: entries that are older than the known ones change nothing, removed ones stay removed,
// and known ones that are missing are used for ReturnGrace.
func (r *Roster) restore(now core.Instant, version uint64, list []core.Registration) []Change {
	return r.update(version, func(entries map[core.TargetID]*Entry) []Change {
		var changes []Change
		listed := make(map[core.TargetID]bool, len(list))
		for i := range list {
			entry := &list[i]
			listed[entry.ID] = true
			if old, known := entries[entry.ID]; known && isBefore(entry, &old.Registration) {
				continue
			}
			if gone, ok := r.removed[entry.ID]; ok && now.Sub(gone.at) < removedMemory && !isBefore(&gone.Registration, entry) {
				continue
			}
			changes = r.applyUpdate(now, entries, Update{entry.ID, entry}, changes)
		}
		for id := range entries {
			if _, lapsed := r.lapsedAt[id]; !listed[id] && !lapsed {
				r.lapsedAt[id] = now
			}
		}
		return changes
	})
}

// maxLeaving bounds the targets that are remembered to leave.
const maxLeaving = 4096

// MarkLeaving records that a process of a target has stated that it leaves, and returns the changes. It
// holds whatever the registry lists, until the target registers as another process.
func (r *Roster) MarkLeaving(id core.TargetID, started int64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	if len(r.leaving) >= maxLeaving {
		maps.DeleteFunc(r.leaving, func(id core.TargetID, _ int64) bool { return old.entries[id] == nil })
	}
	r.leaving[id] = started
	e, known := old.entries[id]
	if !known || e.Started != started || e.Leaving {
		return nil
	}
	entry := *e
	entry.Leaving = true
	entries := maps.Clone(old.entries)
	entries[id] = &entry
	r.view.Store(newView(old.Version, entries))
	return []Change{{entry.Registration, Leaving}}
}

// hasStatedLeaving reports whether the process of an entry has stated that it leaves.
func (r *Roster) hasStatedLeaving(e *core.Registration) bool {
	started, ok := r.leaving[e.ID]
	if ok && started != e.Started {
		delete(r.leaving, e.ID)
	}
	return ok && started == e.Started
}

// isBefore reports whether a was written before b, by the same process of the target or by an
// earlier one. Targets that don't state their start are taken not to have restarted.
func isBefore(a, b *core.Registration) bool {
	return a.Started < b.Started || a.Started == b.Started && a.Sequence < b.Sequence
}

// remove deletes an entry and appends the change.
func (r *Roster) remove(now core.Instant, entries map[core.TargetID]*Entry, old *Entry, changes []Change) []Change {
	delete(entries, old.ID)
	delete(r.lapsedAt, old.ID)
	delete(r.older, old.ID)
	if old.Started == 0 {
		delete(r.leaving, old.ID) // its next process can't be told from this one
	}
	for id, gone := range r.removed {
		if now.Sub(gone.at) >= removedMemory {
			delete(r.removed, id)
		}
	}
	r.removed[old.ID] = removedEntry{old.Registration, now}
	return append(changes, Change{old.Registration, Removed})
}

// markLapsed marks an entry as lapsed since the given time and appends the change, unless it is
// lapsed already.
func (r *Roster) markLapsed(since core.Instant, entries map[core.TargetID]*Entry, old *Entry, changes []Change) []Change {
	if _, lapsed := r.lapsedAt[old.ID]; lapsed {
		return changes
	}
	r.lapsedAt[old.ID] = since
	entries[old.ID] = &Entry{Registration: old.Registration, Lapsed: true}
	return append(changes, Change{old.Registration, Lapsed})
}

// Expire removes the lapsed entries whose grace period has ended and returns the changes. It
// is called about ten times a second.
func (r *Roster) Expire(now core.Instant) []Change {
	r.mu.Lock()
	due := 0
	for _, at := range r.lapsedAt {
		if now.Sub(at) >= ReturnGrace {
			due++
		}
	}
	r.mu.Unlock()
	if due == 0 {
		return nil
	}
	return r.update(r.View().Version, func(entries map[core.TargetID]*Entry) []Change {
		var changes []Change
		for id, at := range r.lapsedAt {
			if now.Sub(at) < ReturnGrace {
				continue
			}
			delete(r.lapsedAt, id)
			if e, ok := entries[id]; ok {
				changes = r.remove(now, entries, e, changes)
			}
		}
		return changes
	})
}

// update applies edit to a copy of the entries and publishes the result as a view.
func (r *Roster) update(version uint64, edit func(map[core.TargetID]*Entry) []Change) []Change {
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
		isUnused := e.Lapsed && float64(lapsed[e.Service]) <= lapsedUseThreshold*float64(all[e.Service])
		if !e.Leaving && !isUnused {
			v.services[e.Service] = append(v.services[e.Service], e)
		}
	}
	for _, list := range v.services {
		// The order by ID makes decisions deterministic.
		slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// applyUpdate applies one update to entries and appends the resulting change, if any.
func (r *Roster) applyUpdate(now core.Instant, entries map[core.TargetID]*Entry, u Update, changes []Change) []Change {
	old, known := entries[u.ID]
	if u.Registration == nil {
		if !known {
			return changes
		}
		if now.Sub(r.recoveredAt) < ReturnGrace && !old.Leaving {
			return r.markLapsed(r.recoveredAt, entries, old, changes)
		}
		return r.remove(now, entries, old, changes)
	}
	if known && isOlder(u.Registration, &old.Registration) && !r.isRenewed(now, u.Registration) {
		return changes
	}
	delete(r.older, u.ID)
	delete(r.lapsedAt, u.ID)
	entry := &Entry{Registration: *u.Registration}
	entry.Leaving = entry.Leaving || r.hasStatedLeaving(&entry.Registration)
	if known && entry.Version == "" && isSameProcess(&entry.Registration, &old.Registration) {
		entry.Version = old.Version
	}
	entries[u.ID] = entry
	if kind, changed := changeKind(old, &entry.Registration); changed {
		changes = append(changes, Change{entry.Registration, kind})
	}
	return changes
}

// olderEntry is an entry that was ignored as older than the known one, and by when its process had
// written the first such entry.
type olderEntry struct {
	started  int64
	sequence uint64
	since    core.Instant
}

// olderTime is the time after which entries that seem older replace the known one if their process goes
// on writing them. A late write is applied within seconds.
const olderTime = 2 * ReturnGrace

// isRenewed reports whether a process has written entries that seem older than the known one for
// olderTime. The known one then isn't of the target, but another writer's.
func (r *Roster) isRenewed(now core.Instant, e *core.Registration) bool {
	last, ok := r.older[e.ID]
	if !ok || last.started != e.Started || e.Sequence <= last.sequence {
		r.older[e.ID] = olderEntry{e.Started, e.Sequence, now}
		return false
	}
	last.sequence = e.Sequence
	r.older[e.ID] = last
	return now.Sub(last.since) >= olderTime
}

// isOlder reports whether an entry was written before the known one, by the same process of
// the target or by an earlier one.
func isOlder(r, known *core.Registration) bool {
	return r.Started < known.Started || r.Started == known.Started && r.Started != 0 && r.Sequence < known.Sequence
}

// isSameProcess reports whether two entries were certainly written by the same process.
func isSameProcess(a, b *core.Registration) bool { return a.Started != 0 && a.Started == b.Started }

func changeKind(old *Entry, now *core.Registration) (kind ChangeKind, changed bool) {
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
