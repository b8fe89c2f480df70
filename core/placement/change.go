package placement

import (
	"time"

	"gorseline/core"
)

// modelState is what a planner remembers about one model.
type modelState struct {
	trend   trend
	pending *pendingChange
	// changedAt is when the last change of an engine ended, successful or not.
	changedAt map[core.TargetID]core.Instant
	lastChange      core.RoleChange
	lastBegan    core.Instant
	changed   bool
}

type pendingChange struct {
	core.RoleChange
	started core.Instant
	// observed is set once a report or the drain flag showed the change under way.
	observed bool
}

func newModelState(o *Options) *modelState {
	return &modelState{
		trend:     trend{short: average{timeConstant: o.ShortTimeConstant}, long: average{timeConstant: o.LongTimeConstant}},
		changedAt: map[core.TargetID]core.Instant{},
	}
}

func (s *modelState) begin(now core.Instant, change core.RoleChange) {
	s.pending = &pendingChange{RoleChange: change, started: now}
	s.lastChange, s.lastBegan, s.changed = change, now, true
}

// finishPending ends the pending change when its outcome is known and reports whether
// one is still under way. An engine that crashed in the middle of a change comes
// back in its old role; the change then counts as ended, and the minimum stay
// keeps the planner from trying the same engine again at once.
func (s *modelState) finishPending(now core.Instant, view *core.PlacementView, timeout time.Duration) bool {
	if s.pending == nil {
		return false
	}
	engine := findEngine(view, s.pending.Target)
	ended := now.Sub(s.pending.started) >= timeout
	if engine != nil {
		idle := engine.AcceptsWork() && engine.ReportedAt > s.pending.started
		if engine.Drained || engine.Report.Changing {
			s.pending.observed = true
		}
		ended = ended || idle && (engine.Report.Role == s.pending.To || s.pending.observed)
	}
	if !ended {
		return true
	}
	s.changedAt[s.pending.Target] = now
	s.pending = nil
	return false
}

func (s *modelState) minimumStayPassed(now core.Instant, id core.TargetID, stay time.Duration) bool {
	at, found := s.changedAt[id]
	return !found || now.Sub(at) >= stay
}

// reverses reports whether a change moves capacity against the direction of the
// last one within the given time.
func (s *modelState) reverses(now core.Instant, from, to core.Role, within time.Duration) bool {
	if !s.changed || now.Sub(s.lastBegan) >= within {
		return false
	}
	return direction(from, to)*direction(s.lastChange.From, s.lastChange.To) < 0
}

// direction is positive for a change that moves capacity towards prompts.
func direction(from, to core.Role) int { return prefillBias(to) - prefillBias(from) }

func prefillBias(r core.Role) int {
	switch r {
	case core.RolePrefill:
		return 1
	case core.RoleDecode:
		return -1
	case core.RoleMixed, core.RoleNone:
	}
	return 0
}

// loadLimiter spaces out changes that fetch weights from the rate-limited store.
type loadLimiter struct {
	interval time.Duration
	lastLoad     core.Instant
	used     bool
}

func (l *loadLimiter) allows(now core.Instant) bool {
	return !l.used || now.Sub(l.lastLoad) >= l.interval
}

func (l *loadLimiter) record(now core.Instant) { l.lastLoad, l.used = now, true }
