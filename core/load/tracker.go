// Package load tracks the unfinished work that all instances have sent to targets.
//
// An instance knows its own sends exactly. It learns those of its peers from their
// digests about a millisecond later, which is much sooner than the targets' load reports
// would show them. This keeps instances from all sending to the same idle target. In large
// fleets it learns them from the summaries of collectors, some tens of milliseconds later.
package load

import (
	"slices"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/prompt"
)

// WorkKind is what a target does with a request.
type WorkKind uint8

// Kinds of work.
const (
	// Call is a request of a plain service.
	Call WorkKind = iota
	// Prefill computes a prompt without generating an answer.
	Prefill
	// Generate generates an answer from the imported KV cache of a prompt.
	Generate
	// Whole computes a prompt and generates the answer on the same target.
	Whole
)

var kindNames = [...]string{"Call", "Prefill", "Generate", "Whole"}

// String returns the kind's name, or "Unknown".
func (k WorkKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "Unknown"
}

// computes reports whether the target has to compute the prompt.
func (k WorkKind) computes() bool { return k == Prefill || k == Whole }

// generates reports whether the work occupies one of the target's generation slots.
func (k WorkKind) generates() bool { return k == Generate || k == Whole }

// Key identifies one send by the sending instance and the serial number that it assigned.
type Key struct {
	Sender uint32
	Serial uint32
}

// Ref identifies a send and its target.
type Ref struct {
	Key    Key
	Target core.TargetID
	// Cell is the data centre whose instances share information on the target's load.
	Cell core.DataCentre
}

// Item is work that was sent to a target.
type Item struct {
	Ref
	Kind WorkKind
	// ComputeTime is the expected time that the idle target needs for the prompt.
	ComputeTime time.Duration
	// Chain describes the prompt that the target has in its cache afterwards.
	Chain prompt.Chain
}

// Items whose end was not reported count as finished after these times.
const (
	// itemTimeout exceeds the longest deadline of short request kinds and is far above the
	// time that a prompt takes.
	itemTimeout = 20 * time.Second
	// prefillTimeout applies to Prefill items, which end with the prompt.
	prefillTimeout = 3 * time.Second
)

// Tracker holds the outstanding work of each target. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	targets map[core.TargetID]*target
}

type target struct {
	items []pendingItem
	// computeStart is when the target started to compute the first uncomputed prompt.
	computeStart core.Instant
	// lastComputed is when the target last completed a prompt.
	lastComputed core.Instant
	// cache is nil until SetCapacity is called.
	cache *prompt.CacheModel
	// observed is the latest summary of a collector, as of observedAt; nil for none.
	observed   *Summary
	observedAt core.Instant
}

type pendingItem struct {
	Item
	sentAt core.Instant
	// isComputed is set once the item's prompt is computed.
	isComputed bool
}

// NewTracker returns a tracker without outstanding work.
func NewTracker() *Tracker { return &Tracker{targets: map[core.TargetID]*target{}} }

func (tr *Tracker) target(id core.TargetID) *target {
	t, ok := tr.targets[id]
	if !ok {
		t = &target{}
		tr.targets[id] = t
	}
	return t
}

// SetCapacity creates the model of a target's cache with a capacity in tokens, unless the
// target has one.
func (tr *Tracker) SetCapacity(id core.TargetID, tokens int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if t := tr.target(id); t.cache == nil {
		t.cache = prompt.NewCacheModel(tokens)
	}
}

// AddCached records parts of prompts that a target reports as cached. It has no effect before
// SetCapacity.
func (tr *Tracker) AddCached(id core.TargetID, parts []core.CachedPart) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if t := tr.target(id); t.cache != nil {
		t.cache.AddParts(parts)
	}
}

// RemoveTarget removes a target's outstanding work and cache model, for example after it
// has restarted.
func (tr *Tracker) RemoveTarget(id core.TargetID) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.targets, id)
}

// Sent records that work was sent to its target. It ignores work that is already recorded.
func (tr *Tracker) Sent(now core.Instant, item Item) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := tr.target(item.Target)
	t.expire(now)
	if t.find(item.Key) >= 0 {
		return
	}
	if item.Kind.computes() && !t.isComputing() {
		t.computeStart = now
	}
	t.items = append(t.items, pendingItem{Item: item, sentAt: now})
	if t.cache != nil && item.Kind != Call {
		t.cache.Add(item.Chain)
	}
}

// Computed records that an item's prompt is computed. It returns the time that the target
// spent on this prompt, without the time in its queue, and false if that is unknown.
func (tr *Tracker) Computed(now core.Instant, ref Ref) (time.Duration, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.target(ref.Target).complete(now, ref.Key, false)
}

// LastComputed returns when the target last completed a prompt, as far as this instance knows,
// or 0.
func (tr *Tracker) LastComputed(id core.TargetID) core.Instant {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t, ok := tr.targets[id]
	if !ok {
		return 0
	}
	if t.observed != nil && t.observed.HasComputed {
		return max(t.lastComputed, t.observedAt.Add(-t.observed.SinceComputed))
	}
	return t.lastComputed
}

// Finished records the end of an item. It returns the same values as Computed.
func (tr *Tracker) Finished(now core.Instant, ref Ref) (time.Duration, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.target(ref.Target).complete(now, ref.Key, true)
}

// complete marks an item's prompt as computed, and removes the item if it is finished.
func (t *target) complete(now core.Instant, key Key, isFinished bool) (took time.Duration, ok bool) {
	i := t.find(key)
	if i < 0 {
		return 0, false
	}
	item := &t.items[i]
	if item.Kind.computes() && !item.isComputed {
		took, ok = now.Sub(max(t.computeStart, item.sentAt)), true
		item.isComputed = true
		t.computeStart = now
		t.markEarlierComputed(item.sentAt)
	}
	if isFinished {
		t.items = append(t.items[:i], t.items[i+1:]...)
	} else {
		t.lastComputed = now
	}
	return took, ok
}

// find returns the index of an item, or -1.
func (t *target) find(key Key) int {
	return slices.IndexFunc(t.items, func(p pendingItem) bool { return p.Key == key })
}

// RemoveSender removes the outstanding work of a sender whose process has ended.
func (tr *Tracker) RemoveSender(sender uint32) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, t := range tr.targets {
		t.items = slices.DeleteFunc(t.items, func(p pendingItem) bool { return p.Key.Sender == sender })
	}
}

// Outstanding is an item that is not finished.
type Outstanding struct {
	Item
	// IsComputed is set once the item's prompt is computed.
	IsComputed bool
}

// Outstanding returns the unfinished items of a sender, in no particular order.
func (tr *Tracker) Outstanding(sender uint32) []Outstanding {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []Outstanding
	for _, t := range tr.targets {
		for _, p := range t.items {
			if p.Key.Sender == sender {
				list = append(list, Outstanding{p.Item, p.isComputed})
			}
		}
	}
	return list
}

// reorderMargin covers differences between the network delays of sends and digests from
// different instances.
const reorderMargin = 10 * time.Millisecond

// markEarlierComputed marks the prompts that were sent before the given time as computed.
// Targets compute prompts in order of arrival, so an earlier prompt without an end is one
// whose digest was lost.
func (t *target) markEarlierComputed(sentAt core.Instant) {
	for i := range t.items {
		if item := &t.items[i]; item.sentAt.Add(reorderMargin) < sentAt {
			item.isComputed = true
		}
	}
}

func (t *target) isComputing() bool {
	for i := range t.items {
		if t.items[i].Kind.computes() && !t.items[i].isComputed {
			return true
		}
	}
	return false
}

// expire removes the items whose end is overdue.
func (t *target) expire(now core.Instant) {
	kept := t.items[:0]
	for _, item := range t.items {
		timeout := itemTimeout
		if item.Kind == Prefill {
			timeout = prefillTimeout
		}
		if now.Sub(item.sentAt) < timeout {
			kept = append(kept, item)
		}
	}
	t.items = kept
}

// State summarises the outstanding work of one target.
type State struct {
	// Backlog is the expected time until the target has computed all outstanding prompts.
	Backlog time.Duration
	// Prompts is the number of prompts in the backlog.
	Prompts int
	// Running is the number of all outstanding items.
	Running int
	// Generating is the number of outstanding Generate and Whole items.
	Generating int
	// CachedTokens is the expected number of leading tokens of the chain that are cached.
	CachedTokens int
	// IsObserved is set if a recent summary of a collector is included, which covers the work of
	// all instances. Age is the age of the summary: what other instances have sent since isn't included.
	IsObserved bool
	Age        time.Duration
}

// State returns the state of a target with regard to a prompt chain, which may be nil.
func (tr *Tracker) State(now core.Instant, id core.TargetID, chain prompt.Chain) State {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t, ok := tr.targets[id]
	if !ok {
		return State{}
	}
	var s State
	if t.observed != nil && now.Sub(t.observedAt) < SummaryValidity {
		s = t.observed.state(now.Sub(t.observedAt))
		t.addItems(&s, now, t.observedAt.Add(-collectDelay))
	} else {
		t.addItems(&s, now, 0)
	}
	if t.cache != nil && len(chain) > 0 {
		s.CachedTokens = t.cache.CachedTokens(chain)
	}
	return s
}

// addItems adds the items that were sent after a time.
func (t *target) addItems(s *State, now, after core.Instant) {
	isFirst := after == 0
	for i := range t.items {
		item := &t.items[i]
		if item.sentAt <= after && after > 0 {
			continue
		}
		s.Running++
		if item.Kind.generates() {
			s.Generating++
		}
		if !item.Kind.computes() || item.isComputed {
			continue
		}
		remaining := item.ComputeTime
		if isFirst {
			remaining = max(0, remaining-now.Sub(max(t.computeStart, item.sentAt)))
			isFirst = false
		}
		s.Backlog += remaining
		s.Prompts++
	}
}
