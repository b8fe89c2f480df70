// Package load tracks the work that all instances have given to targets and that is
// not finished.
//
// An instance knows its own sends exactly and those of its peers from their digests,
// about a millisecond late. That is far newer than the load reports of the targets and
// keeps instances from sending to the same idle target at once.
package load

import (
	"slices"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/prompt"
)

// WorkKind says what a target does with a request.
type WorkKind uint8

// Kinds of work.
const (
	// Call is a request of a plain service.
	Call WorkKind = iota
	// Prefill computes a prompt only.
	Prefill
	// Generate continues from an imported prompt.
	Generate
	// Whole computes a prompt and generates.
	Whole
)

var kindNames = [...]string{"Call", "Prefill", "Generate", "Whole"}

// String returns the kind's name.
func (k WorkKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "Unknown"
}

// computes reports whether the work occupies the target's processor before it generates.
func (k WorkKind) computes() bool { return k == Prefill || k == Whole }

// generates reports whether the work holds one of the target's slots for its answer.
func (k WorkKind) generates() bool { return k == Generate || k == Whole }

// Key names one send: the instance and its serial number.
type Key struct {
	Sender uint32
	Serial uint32
}

// Ref names a send and where it went.
type Ref struct {
	Key    Key
	Target core.TargetID
	// Cell is the data centre whose instances share the target's load.
	Cell core.DataCentre
}

// Item is work that was sent to a target.
type Item struct {
	Ref
	Kind WorkKind
	// Compute is the expected time for the prompt on the idle target.
	Compute time.Duration
	// Chain is what the target holds in its cache afterwards.
	Chain prompt.Chain
}

// lostAfter is when an item whose end was not heard counts as finished: above the
// longest deadline of short kinds, and far above the time of a prompt.
const lostAfter = 20 * time.Second

// lostCompute is the same for work that only computes a prompt.
const lostCompute = 3 * time.Second

// Tracker holds the outstanding work per target. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	targets map[core.TargetID]*target
}

type target struct {
	items []open
	// progress is when the first computing item began to be computed.
	progress core.Instant
	cache    *prompt.CacheModel
}

type open struct {
	Item
	sent core.Instant
	// computed is set once the prompt of a Whole item is done.
	computed bool
}

// NewTracker returns an empty board.
func NewTracker() *Tracker { return &Tracker{targets: map[core.TargetID]*target{}} }

func (b *Tracker) target(id core.TargetID) *target {
	t, ok := b.targets[id]
	if !ok {
		t = &target{}
		b.targets[id] = t
	}
	return t
}

// SetCapacity gives a target a cache model of a capacity in tokens. It keeps an
// existing one.
func (b *Tracker) SetCapacity(id core.TargetID, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.target(id); t.cache == nil {
		t.cache = prompt.NewCacheModel(tokens)
	}
}

// RemoveTarget drops all that is known about a target, as after its restart.
func (b *Tracker) RemoveTarget(id core.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.targets, id)
}

// Sent notes that work was sent to its target. Work that is known is left as it is.
func (b *Tracker) Sent(now core.Instant, item Item) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(item.Target)
	t.expire(now)
	if t.find(item.Key) >= 0 {
		return
	}
	if item.Kind.computes() && !t.isComputing() {
		t.progress = now
	}
	t.items = append(t.items, open{Item: item, sent: now})
	if t.cache != nil && item.Kind != Call {
		t.cache.Add(item.Chain)
	}
}

// Computed notes that the prompt of an item is done. It returns the time that the
// target spent on it alone, and false if that is unknown.
func (b *Tracker) Computed(now core.Instant, ref Ref) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target(ref.Target).computed(now, ref.Key, false)
}

// Finished notes the end of an item. It returns as Computed does.
func (b *Tracker) Finished(now core.Instant, ref Ref) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target(ref.Target).computed(now, ref.Key, true)
}

// computed ends the computation of an item, and removes the item if it is over.
func (t *target) computed(now core.Instant, key Key, isOver bool) (took time.Duration, ok bool) {
	i := t.find(key)
	if i < 0 {
		return 0, false
	}
	item := &t.items[i]
	if item.Kind.computes() && !item.computed {
		took, ok = now.Sub(max(t.progress, item.sent)), true
		item.computed = true
		t.progress = now
		t.overtake(item.sent)
	}
	if isOver {
		t.items = append(t.items[:i], t.items[i+1:]...)
	}
	return took, ok
}

// find returns the index of an item, or -1.
func (t *target) find(key Key) int {
	return slices.IndexFunc(t.items, func(o open) bool { return o.Key == key })
}

// RemoveSender forgets the outstanding work of a sender, as when its process has ended.
func (b *Tracker) RemoveSender(sender uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		t.items = slices.DeleteFunc(t.items, func(o open) bool { return o.Key.Sender == sender })
	}
}

// Outstanding is an item that is not finished.
type Outstanding struct {
	Item
	// IsComputed is set once its prompt is done.
	IsComputed bool
}

// Outstanding returns the work of a sender that is not finished.
func (b *Tracker) Outstanding(sender uint32) []Outstanding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Outstanding
	for _, t := range b.targets {
		for _, o := range t.items {
			if o.Key.Sender == sender {
				list = append(list, Outstanding{o.Item, o.computed})
			}
		}
	}
	return list
}

// overtakeMargin covers the difference of the ways that two instances' sends and digests
// take.
const overtakeMargin = 10 * time.Millisecond

// overtake marks the prompts as computed that were sent before one that is done. Targets
// compute prompts in the order of their arrival, so the digests that told of their ends
// were lost.
func (t *target) overtake(sent core.Instant) {
	for i := range t.items {
		if item := &t.items[i]; item.sent.Add(overtakeMargin) < sent {
			item.computed = true
		}
	}
}

func (t *target) isComputing() bool {
	for i := range t.items {
		if t.items[i].Kind.computes() && !t.items[i].computed {
			return true
		}
	}
	return false
}

func (t *target) expire(now core.Instant) {
	kept := t.items[:0]
	for _, item := range t.items {
		limit := lostAfter
		if item.Kind == Prefill {
			limit = lostCompute
		}
		if now.Sub(item.sent) < limit {
			kept = append(kept, item)
		}
	}
	t.items = kept
}

// State is the outstanding work of one target.
type State struct {
	// Backlog is the expected time until the target has computed all prompts.
	Backlog time.Duration
	// Prompts is the number of prompts in the backlog.
	Prompts int
	// Running is the number of all outstanding requests, Generating that of
	// generations and whole requests.
	Running    int
	Generating int
	// CachedTokens is how many leading tokens of the chain are believed cached.
	CachedTokens int
}

// State returns the state of a target for a prompt with the given chain, which may be nil.
func (b *Tracker) State(now core.Instant, id core.TargetID, chain prompt.Chain) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.targets[id]
	if !ok {
		return State{}
	}
	var s State
	s.Running = len(t.items)
	for i := range t.items {
		item := &t.items[i]
		if item.Kind.generates() {
			s.Generating++
		}
		if !item.Kind.computes() || item.computed {
			continue
		}
		left := item.Compute
		if s.Prompts == 0 {
			left = max(0, left-now.Sub(max(t.progress, item.sent)))
		}
		s.Backlog += left
		s.Prompts++
	}
	if t.cache != nil && len(chain) > 0 {
		s.CachedTokens = t.cache.CachedTokens(chain)
	}
	return s
}
