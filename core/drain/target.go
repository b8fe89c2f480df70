package drain

import (
	"sync"
	"time"

	"gorseline/core"
)

// MaxMarkDelay is the time within which each instance must have stopped sending
// new work to a target that is marked as leaving.
const MaxMarkDelay = 3 * time.Second

// Targets knows which targets are leaving and what each still runs for this
// instance. It is safe for concurrent use.
type Targets struct {
	mu      sync.Mutex
	leaving map[core.TargetID]core.Instant // since when
	running map[core.TargetID]int
}

// NewTargets returns a set without targets.
func NewTargets() *Targets {
	return &Targets{leaving: map[core.TargetID]core.Instant{}, running: map[core.TargetID]int{}}
}

// MarkLeaving marks a target as leaving from now on: by its own load report, by the
// instance list or by an operator. A repeated mark keeps the first time.
func (t *Targets) MarkLeaving(now core.Instant, target core.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, marked := t.leaving[target]; !marked {
		t.leaving[target] = now
	}
}

// UnmarkLeaving takes a target back into service.
func (t *Targets) UnmarkLeaving(target core.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leaving, target)
}

// Begin reserves new work on a target. It returns false for a leaving target; the
// check and the count are one step, so that no work starts after Mark returns.
func (t *Targets) Begin(target core.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, marked := t.leaving[target]; marked {
		return false
	}
	t.running[target]++
	return true
}

// Continue counts work that already runs on the target, such as a stream that is
// resumed. It may go on while the target leaves.
func (t *Targets) Continue(target core.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[target]++
}

// End returns what Begin or Continue reserved.
func (t *Targets) End(target core.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[target]--; t.running[target] <= 0 {
		delete(t.running, target)
	}
}

// TargetState tells how far a leaving target is.
type TargetState struct {
	Leaving bool
	Since   core.Instant
	// Running counts this instance's work on the target.
	Running int
}

// Drained reports whether the target can be taken away as far as this instance is
// concerned.
func (s TargetState) Drained() bool { return s.Leaving && s.Running == 0 }

// State returns the state of a target.
func (t *Targets) State(target core.TargetID) TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, leaving := t.leaving[target]
	return TargetState{Leaving: leaving, Since: since, Running: t.running[target]}
}
