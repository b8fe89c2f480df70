package placement

import (
	"time"

	"gorseline/core"
)

// modelState is the planning state of one model.
type modelState struct {
	trend   trend
	pending *pendingChange
	// changedAt is when the last change of an engine ended, successful or not.
	changedAt map[core.TargetID]core.Instant
	// lastChange is the latest change and lastChangeAt its start, if changed is set.
	lastChange   core.RoleChange
	lastChangeAt core.Instant
	changed      bool
}

// pendingChange is a role change under way.
type pendingChange struct {
	core.RoleChange
	started core.Instant
	// observed is set once a load report or the drain flag has shown that the change is under way.
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
	s.lastChange, s.lastChangeAt, s.changed = change, now, true
}

// finishPending clears the pending change when its outcome is known or the timeout has
// passed, and reports whether a change is still under way. An engine that crashes during
// a change returns in its old role. The change then counts as ended, and the minimum stay
// keeps the planner from selecting the same engine again at once.
func (s *modelState) finishPending(now core.Instant, view *core.PlacementView, timeout time.Duration) bool {
	if s.pending == nil {
		return false
	}
	engine := findEngine(view, s.pending.Target)
	ended := now.Sub(s.pending.started) >= timeout
	if engine != nil {
		available := engine.AcceptsWork() && engine.ReportedAt > s.pending.started
		if engine.Drained || engine.Report.Changing {
			s.pending.observed = true
		}
		ended = ended || available && (engine.Report.Role == s.pending.To || s.pending.observed)
	}
	if !ended {
		return true
	}
	s.changedAt[s.pending.Target] = now
	s.pending = nil
	return false
}

// minimumStayPassed reports whether at least the duration stay has passed since the last
// change of an engine ended.
func (s *modelState) minimumStayPassed(now core.Instant, id core.TargetID, stay time.Duration) bool {
	at, found := s.changedAt[id]
	return !found || now.Sub(at) >= stay
}

// reverses reports whether a change moves capacity in the opposite direction of the latest
// change, if that change started less than the duration within before now.
func (s *modelState) reverses(now core.Instant, from, to core.Role, within time.Duration) bool {
	if !s.changed || now.Sub(s.lastChangeAt) >= within {
		return false
	}
	return direction(from, to)*direction(s.lastChange.From, s.lastChange.To) < 0
}

// direction is positive for a change that moves capacity to prefill and negative for one
// that moves it to decode.
func direction(from, to core.Role) int { return prefillBias(to) - prefillBias(from) }

// prefillBias ranks roles by their prefill capacity.
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

// loadLimiter keeps a minimum interval between changes that load weights from the
// rate-limited store.
type loadLimiter struct {
	interval time.Duration
	lastLoad core.Instant
	used     bool
}

func (l *loadLimiter) allows(now core.Instant) bool {
	return !l.used || now.Sub(l.lastLoad) >= l.interval
}

func (l *loadLimiter) record(now core.Instant) { l.lastLoad, l.used = now, true }
