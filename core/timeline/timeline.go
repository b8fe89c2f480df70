package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/ring"
)

// Timeline buffers the latest events of one process in a bounded ring. It is safe for
// concurrent use.
type Timeline struct {
	instance core.InstanceID
	clock    *Clock

	mu     sync.Mutex
	events *ring.Ring[core.Event]
	// pending holds the events that are not yet written to the object store.
	pending *ring.Ring[core.Event]
}

var _ core.Recorder = (*Timeline)(nil)

// New returns a timeline that keeps the latest events, up to capacity.
func New(instance core.InstanceID, clock *Clock, capacity int) *Timeline {
	return &Timeline{
		instance: instance,
		clock:    clock,
		events:   ring.New[core.Event](capacity),
		pending:  ring.New[core.Event](capacity),
	}
}

// Record sets the timestamp and instance of e and adds it. A full ring drops its oldest
// event.
func (t *Timeline) Record(e core.Event) {
	e.At = t.clock.Now()
	e.Instance = t.instance
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events.Push(e)
	t.pending.Push(e)
}

// Filter selects events; zero fields match everything.
type Filter struct {
	Request  core.RequestID
	Target   core.TargetID
	Instance core.InstanceID
	Kind     core.EventKind
	// From and To limit the wall time of events, as inclusive times since the Unix epoch;
	// 0 means no limit.
	From, To time.Duration
}

// Matches reports whether e passes the filter.
func (f Filter) Matches(e core.Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Target == "" || f.Target == e.Target) &&
		(f.Instance == "" || f.Instance == e.Instance) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.From == 0 || e.At.Wall >= f.From) && (f.To == 0 || e.At.Wall <= f.To)
}

// Events returns the buffered events that pass the filter, oldest first.
func (t *Timeline) Events(f Filter) []core.Event {
	t.mu.Lock()
	all := t.events.Snapshot()
	t.mu.Unlock()
	return slices.DeleteFunc(all, func(e core.Event) bool { return !f.Matches(e) })
}

// DrainPending removes and returns up to limit of the oldest events that are not yet
// written to the object store.
func (t *Timeline) DrainPending(limit int) []core.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending.Drain(limit)
}

// Pending returns the number of events that are not yet written to the object store.
func (t *Timeline) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending.Len()
}

// Lost returns the number of events that were dropped before they were written to the
// object store.
func (t *Timeline) Lost() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending.Dropped()
}

// Merge orders the events of several processes by timestamp, then instance, and drops
// duplicates of events that occur in more than one list.
func Merge(lists ...[]core.Event) []core.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.Compact(all)
}

func compare(a, b core.Event) int {
	return cmp.Or(
		cmp.Compare(a.At.Wall, b.At.Wall),
		cmp.Compare(a.At.Logical, b.At.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}
