package placement

import (
	"sync"
	"time"

	"gorseline/core"
)

// Planner plans role changes whose gain in goodput exceeds their cost. It is safe for
// concurrent use.
type Planner struct {
	mu      sync.Mutex
	options Options
	models  map[core.Model]*modelState
	loads   loadLimiter
}

var _ core.Placer = (*Planner)(nil)

// New returns a planner with the given options.
func New(options Options) *Planner {
	options = options.withDefaults()
	return &Planner{
		options: options,
		models:  map[core.Model]*modelState{},
		loads:   loadLimiter{interval: options.LoadInterval},
	}
}

// Plan returns at most one role change. It returns nil while an earlier change of
// the model is under way and when no change pays off within the horizon.
func (p *Planner) Plan(now core.Instant, view *core.PlacementView) []core.RoleChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.models[view.Model]
	if state == nil {
		state = newModelState(&p.options)
		p.models[view.Model] = state
	}
	work, known := demandOf(view, p.options.BatchSize)
	if !known {
		return nil
	}
	state.trend.observe(now, work)
	if state.finishPending(now, view, p.options.ChangeTimeout) || !state.trend.warmedUp(now, p.options.WarmUp) {
		return nil
	}
	best := p.bestChange(now, view, state)
	if best == nil {
		return nil
	}
	engine := findEngine(view, best.Target)
	if needsLoad(engine, view.Model) {
		p.loads.record(now)
	}
	state.begin(now, *best)
	return []core.RoleChange{*best}
}

// changeableRoles are the roles that a change starts from or leads to.
var changeableRoles = []core.Role{core.RoleMixed, core.RolePrefill, core.RoleDecode}

// bestChange returns the change that repairs a floor or has the highest positive gain, or nil.
func (p *Planner) bestChange(now core.Instant, view *core.PlacementView, state *modelState) *core.RoleChange {
	counts := countInService(view)
	var best *core.RoleChange
	for _, from := range changeableRoles {
		engine := p.candidate(now, view, state, from)
		if engine == nil {
			continue
		}
		for _, to := range changeableRoles {
			if to == from || to == core.RoleMixed && !p.options.Mixed {
				continue
			}
			change := core.RoleChange{Target: engine.ID, From: from, To: to, Reason: ReasonRatioShift}
			if !p.allowed(counts, &change) {
				continue
			}
			change.Gain = p.gain(now, view, state, counts, engine, to)
			if p.repairsFloor(counts, &change) {
				change.Reason = ReasonFloorViolation
			}
			if preferred(&change, best) {
				best = &change
			}
		}
	}
	return best
}

// preferred reports whether a change is worth planning and better than the best one so
// far, which may be nil. A violated floor is repaired even without a gain:
// nothing is served without an engine that accepts prompts and one that generates tokens.
func preferred(change, best *core.RoleChange) bool {
	repairs := change.Reason == ReasonFloorViolation
	if best == nil {
		return repairs || change.Gain > 0
	}
	if repairs != (best.Reason == ReasonFloorViolation) {
		return repairs
	}
	return change.Gain > best.Gain
}

// candidate returns the engine in a role with the shortest downtime, or nil. It leaves out
// engines within their minimum stay and those whose load of weights must wait.
func (p *Planner) candidate(
	now core.Instant, view *core.PlacementView, state *modelState, role core.Role,
) *core.TargetState {
	var best *core.TargetState
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.Report.Role != role || !e.AcceptsWork() || !state.minimumStayPassed(now, e.ID, p.options.MinimumStay) {
			continue
		}
		if needsLoad(e, view.Model) && !p.loads.allows(now) {
			continue
		}
		if best == nil || p.options.returnsSooner(e, best) {
			best = e
		}
	}
	return best
}

// returnsSooner reports whether a change takes engine a out of service for a shorter time
// than engine b.
func (o *Options) returnsSooner(a, b *core.TargetState) bool {
	if x, y := o.downtime(a), o.downtime(b); x != y {
		return x < y
	}
	return remainingWork(a) < remainingWork(b)
}

// remainingWork returns the number of sequences that an engine must finish to drain.
func remainingWork(e *core.TargetState) int {
	return max(e.InFlight, e.Report.Running+e.Report.QueuedRequests+e.SentRequests)
}

// allowed reports whether the floors are kept while the engine is out of service and after
// the change. A floor that is already violated doesn't block the change that repairs it.
func (p *Planner) allowed(counts roleCounts, change *core.RoleChange) bool {
	out := counts.with(change.From, -1)
	after := out.with(change.To, 1)
	return keepsFloor(counts.acceptsPrefill(), out.acceptsPrefill(), after.acceptsPrefill(), p.options.FloorPrefill) &&
		keepsFloor(counts.acceptsDecode(), out.acceptsDecode(), after.acceptsDecode(), p.options.FloorDecode)
}

// keepsFloor reports whether the counts during and after a change reach the floor or, if it
// is already violated, don't fall further.
func keepsFloor(before, during, after, floor int) bool {
	if before < floor {
		return during >= before && after >= before
	}
	return during >= floor && after >= floor
}

// repairsFloor reports whether a change adds an engine to a role below its floor.
func (p *Planner) repairsFloor(counts roleCounts, change *core.RoleChange) bool {
	after := counts.with(change.From, -1).with(change.To, 1)
	return counts.acceptsPrefill() < p.options.FloorPrefill && after.acceptsPrefill() > counts.acceptsPrefill() ||
		counts.acceptsDecode() < p.options.FloorDecode && after.acceptsDecode() > counts.acceptsDecode()
}

// gain returns the goodput, in weight, that the change is expected to add over the horizon,
// less the service lost during the change, its price and the hysteresis margin.
func (p *Planner) gain(
	now core.Instant, view *core.PlacementView, state *modelState,
	counts roleCounts, engine *core.TargetState, to core.Role,
) float64 {
	o := &p.options
	downtime := o.downtime(engine)
	horizon := o.Horizon
	if downtime >= horizon {
		return 0
	}
	out := counts.with(engine.Report.Role, -1)
	after := out.with(to, 1)
	stay := o.forecast(counts, &state.trend) * horizon.Seconds()
	move := o.forecast(out, &state.trend)*downtime.Seconds() + o.forecast(after, &state.trend)*(horizon-downtime).Seconds()
	margin := o.Margin * view.Offered * horizon.Seconds()
	cost := o.RoleChangePrice + margin
	if state.reverses(now, engine.Report.Role, to, o.LongTimeConstant) {
		cost *= o.ReversalFactor
	}
	return (move-stay)*view.Offered - cost
}

// downtime returns how long a change takes the engine out of service. An idle engine needs
// no drain, and a prefill engine drains as soon as its queued prompts are computed.
func (o *Options) downtime(engine *core.TargetState) time.Duration {
	switch {
	case remainingWork(engine) == 0:
		return o.ChangeTime
	case engine.Report.Role == core.RolePrefill && engine.PrefillRate > 0:
		tokens := float64(engine.Report.QueuedPromptTokens + engine.SentPromptTokens)
		drain := time.Duration(tokens / engine.PrefillRate * float64(time.Second))
		return o.ChangeTime + min(drain, o.DrainTime)
	}
	return o.DrainTime + o.ChangeTime
}

// countInService counts the engines that accept work, by role.
func countInService(view *core.PlacementView) roleCounts {
	var counts roleCounts
	for i := range view.Engines {
		if e := &view.Engines[i]; e.AcceptsWork() {
			counts.add(e.Report.Role, 1)
		}
	}
	return counts
}

func findEngine(view *core.PlacementView, id core.TargetID) *core.TargetState {
	for i := range view.Engines {
		if view.Engines[i].ID == id {
			return &view.Engines[i]
		}
	}
	return nil
}

// needsLoad reports whether a change has to load the weights of the model.
func needsLoad(e *core.TargetState, model core.Model) bool {
	return e.Report.Model != model
}
