package drain

import (
	"sync"
	"time"

	"gorseline/core"
)

// MaxMarkDelay is the maximum time from the first mark of a target as leaving until no
// instance sends it new work.
const MaxMarkDelay = 3 * time.Second

// Targets tracks which targets are leaving, and how much work of this instance each target
// runs. It is safe for concurrent use.
type Targets struct {
	mu      sync.Mutex
	leaving map[core.TargetID]core.Instant // since when
	running map[core.TargetID]int
}

// NewTargets returns a tracker without targets.
func NewTargets() *Targets {
	return &Targets{leaving: map[core.TargetID]core.Instant{}, running: map[core.TargetID]int{}}
}

// MarkLeaving marks a target as leaving from now on. The caller learns that a target leaves
// from its load report, from the instance list or from an operator. A target that is already
// marked keeps the time of its first mark.
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

// Begin counts new work on a target. It returns false, without counting, if the target is
// leaving. The check and the count are atomic, so that no work starts after MarkLeaving
// returns.
func (t *Targets) Begin(target core.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, marked := t.leaving[target]; marked {
		return false
	}
	t.running[target]++
	return true
}

// Continue counts work that already runs on the target, such as a resumed stream. It is
// allowed while the target is leaving.
func (t *Targets) Continue(target core.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[target]++
}

// End ends work that Begin or Continue has counted.
func (t *Targets) End(target core.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[target]--; t.running[target] <= 0 {
		delete(t.running, target)
	}
}

// TargetState is the drain state of a target.
type TargetState struct {
	Leaving bool
	// Since is when the target was first marked as leaving.
	Since core.Instant
	// Running counts this instance's work on the target.
	Running int
}

// Drained reports whether the target is leaving and runs no work of this instance.
func (s TargetState) Drained() bool { return s.Leaving && s.Running == 0 }

// State returns the state of a target.
func (t *Targets) State(target core.TargetID) TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, leaving := t.leaving[target]
	return TargetState{Leaving: leaving, Since: since, Running: t.running[target]}
}
