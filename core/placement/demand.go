package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gorseline/core"
)

// Reasons of the role changes of a DemandPlanner.
const (
	// ReasonStartingShare means that there was no demand yet and fewer engines than
	// InitialPrefillShare were in the prefill role.
	ReasonStartingShare core.Reason = "StartingShare"
	// ReasonPromptsWait means that there were too few prefill engines.
	ReasonPromptsWait core.Reason = "PromptsWait"
	// ReasonGenerationsWait means that there were too few decode engines.
	ReasonGenerationsWait core.Reason = "GenerationsWait"
)

// EngineLoad is the role and the load of one engine.
type EngineLoad struct {
	ID         core.TargetID
	DataCentre core.DataCentre
	Role       core.Role
	// Slots is the number of requests that the engine can decode at the same time.
	Slots int
	// Prompts and Generating are the numbers of requests, queued ones included, for which
	// the engine computes the prompt, and for which it generates the answer.
	Prompts    int
	Generating int
}

// Refusals are shares of the requests since the last plan, from 0 to 1.
type Refusals struct {
	// NoSlot is the share refused because no decode engine had a free slot.
	NoSlot float64
	// Backlog is the share refused because the prompt would have waited too long.
	Backlog float64
}

// DemandPlanner plans the roles of the engines of one service from their load and the
// refused requests. It moves engines to prefill while the prefill engines are busy and
// decode slots are free, and to decode when the slots are full. It handles a share of
// prompt work that shifts within seconds, and a start at which most engines are in the
// role that is less needed. It is not safe for concurrent use.
type DemandPlanner struct {
	options DemandOptions
	// busy and slotUse are the moving averages of the share of prefill engines with work
	// and of the share of decode slots in use.
	busy, slotUse float64
	// refusalBalance is the difference between the requests refused for lack of slots and
	// those refused for lack of prefill time, integrated over time with decay. Its unit is
	// the number of seconds in which all requests are refused; it is positive if more
	// were refused for lack of slots.
	refusalBalance float64
	// prefillShortSince and decodeShortSince are when the present shortage of engines of
	// the role began; 0 without a shortage.
	prefillShortSince, decodeShortSince core.Instant
	// peakSlotUse is the peak of slotUse; it decays exponentially.
	peakSlotUse float64
	// plannedAt is when the last plan was made, if planned is set.
	plannedAt core.Instant
	planned   bool
	// prefillEngines and decodeEngines count the engines of either role at the last plan.
	prefillEngines, decodeEngines int
	// demandSeen is set once an engine has had a request.
	demandSeen bool
	pending    map[core.TargetID]pendingRole
	// changedAt is when the last change of an engine ended.
	changedAt map[core.TargetID]core.Instant
	// lastRole is the role to which the last change moved an engine, lastChangeAt the start
	// of that change.
	lastRole     core.Role
	lastChangeAt core.Instant
}

// pendingRole is a role change under way.
type pendingRole struct {
	to      core.Role
	started core.Instant
}

// NewDemandPlanner returns a planner without observations.
func NewDemandPlanner(options DemandOptions) *DemandPlanner {
	return &DemandPlanner{
		options: options.withDefaults(), pending: map[core.TargetID]pendingRole{}, changedAt: map[core.TargetID]core.Instant{},
	}
}

// Plan returns the role changes to begin now. The caller passes all engines of the service
// that accept work, about once a second.
func (p *DemandPlanner) Plan(now core.Instant, engines []EngineLoad, refused Refusals) []core.RoleChange {
	p.finishPending(now, engines)
	p.observe(now, engines, refused)
	settled := p.settledEngines(engines)
	if len(engines) < 2 {
		return nil
	}
	count, reason := p.prefillDelta(now, engines, settled)
	if count == 0 {
		return nil
	}
	to := core.RolePrefill
	if count < 0 {
		to, count = core.RoleDecode, -count
	}
	isReversal := p.lastRole != core.RoleNone && p.lastRole != to && now.Sub(p.lastChangeAt) < p.options.ReversalDelay
	if isReversal && reason != ReasonFloorViolation {
		return nil
	}
	limit := len(engines)
	if p.demandSeen {
		limit = max(1, int(p.options.MaxConcurrentShare*float64(len(engines))))
	}
	return p.begin(now, settled, to, min(count, limit-len(p.pending)), reason)
}

// finishPending removes the pending changes that are complete, whose engine is no longer
// listed, or that exceed the timeout.
func (p *DemandPlanner) finishPending(now core.Instant, engines []EngineLoad) {
	for id, change := range p.pending {
		i := slices.IndexFunc(engines, func(e EngineLoad) bool { return e.ID == id })
		if i >= 0 && engines[i].Role != change.to && now.Sub(change.started) < p.options.ChangeTimeout {
			continue
		}
		delete(p.pending, id)
		p.changedAt[id] = now
	}
}

// observe updates the averages, the refusal balance and the start of shortages.
func (p *DemandPlanner) observe(now core.Instant, engines []EngineLoad, refused Refusals) {
	var prefilling, slots, decoding float64
	p.prefillEngines, p.decodeEngines = 0, 0
	for _, e := range engines {
		if e.Role == core.RolePrefill {
			p.prefillEngines++
			prefilling += min(1, float64(e.Prompts))
			continue
		}
		p.decodeEngines++
		slots += float64(max(1, e.Slots))
		decoding += float64(e.Generating)
	}
	if prefilling+decoding > 0 {
		p.demandSeen = true
	}
	busy, slotUse := 1.0, 1.0
	if p.prefillEngines > 0 {
		busy = prefilling / float64(p.prefillEngines)
	}
	if slots > 0 {
		slotUse = decoding / slots
	}
	weight := 1.0
	if p.planned {
		weight = min(1, now.Sub(p.plannedAt).Seconds()/p.options.Smoothing.Seconds())
	}
	p.busy += weight * (busy - p.busy)
	p.slotUse += weight * (slotUse - p.slotUse)
	p.updateRefusalBalance(now, refused)
	if p.demandSeen {
		decay := math.Exp(-now.Sub(p.plannedAt).Seconds() / p.options.DecayTime.Seconds())
		p.peakSlotUse = max(p.slotUse, p.peakSlotUse*decay)
	}
	p.plannedAt, p.planned = now, true
	trackSince(&p.prefillShortSince, now, p.busy > p.options.BusyThreshold)
	trackSince(&p.decodeShortSince, now, p.slotUse > p.options.SlotThreshold)
}

// updateRefusalBalance adds the refusals since the last plan. The balance decays while few
// requests are refused, and is reset while changes are under way, since their effect isn't
// visible yet.
func (p *DemandPlanner) updateRefusalBalance(now core.Instant, refused Refusals) {
	// A gap between plans, as when another instance planned meanwhile, counts as one
	// interval at most.
	elapsed := min(now.Sub(p.plannedAt), p.options.Smoothing)
	switch net := refused.NoSlot - refused.Backlog; {
	case len(p.pending) > 0 || !p.planned:
		p.refusalBalance = 0
	case math.Abs(net) > p.options.RefusalThreshold:
		p.refusalBalance += net * elapsed.Seconds()
	default:
		p.refusalBalance *= math.Exp(-elapsed.Seconds() / p.options.DecayTime.Seconds())
	}
}

// changeCost returns the refusal balance above which a change pays off. It is twice the
// capacity that the change itself takes, since it is unknown how long the present mix of
// requests will last.
func (p *DemandPlanner) changeCost(engines int) float64 {
	return 2 * p.options.ChangeTime.Seconds() / float64(engines)
}

// trackSince sets since to the time at which a condition became true, or to 0 while it is
// false.
func trackSince(since *core.Instant, now core.Instant, condition bool) {
	switch {
	case !condition:
		*since = 0
	case *since == 0:
		*since = now
	}
}

// sustained reports whether a condition has been true for the given time.
func sustained(since, now core.Instant, duration time.Duration) bool {
	return since != 0 && now.Sub(since) >= duration
}

// settledEngines returns the engines without a pending change.
func (p *DemandPlanner) settledEngines(engines []EngineLoad) []EngineLoad {
	settled := make([]EngineLoad, 0, len(engines))
	for _, e := range engines {
		if _, ok := p.pending[e.ID]; !ok {
			settled = append(settled, e)
		}
	}
	return settled
}

// prefillDelta returns how many engines should move to prefill or, if negative, to decode.
// Pending changes count as completed.
func (p *DemandPlanner) prefillDelta(now core.Instant, engines, settled []EngineLoad) (int, core.Reason) {
	prefill := 0
	for _, e := range settled {
		if e.Role == core.RolePrefill {
			prefill++
		}
	}
	for _, change := range p.pending {
		if change.to == core.RolePrefill {
			prefill++
		}
	}
	decode := len(engines) - prefill
	floor := decodeFloor(engines)
	cost := p.changeCost(len(engines))
	switch {
	case decode < floor:
		return decode - floor, ReasonFloorViolation
	case !p.demandSeen:
		start := min(int(math.Round(p.options.InitialPrefillShare*float64(len(engines)))), len(engines)-floor)
		return max(0, start-prefill), ReasonStartingShare
	case len(p.pending) > 0:
		// The averages don't show the effect of the pending changes yet.
		return 0, ""
	case (p.refusalBalance > cost || sustained(p.decodeShortSince, now, p.options.DecodeDelay)) && p.refusalBalance >= 0 && prefill > 1:
		return -1, ReasonGenerationsWait
	case (p.refusalBalance < -cost || sustained(p.prefillShortSince, now, p.options.PrefillDelay)) && p.refusalBalance <= 0 && decode > floor:
		spare := float64(decode) * (1 - p.peakSlotUse/p.options.MaxPeakSlotUse)
		return max(0, min(1, decode-floor, int(spare))), ReasonPromptsWait
	}
	return 0, ""
}

// decodeFloor returns the least number of decode engines: a fifth of all, and at least two,
// so that one remains when the other is lost. Fewer than four engines need one.
func decodeFloor(engines []EngineLoad) int {
	if len(engines) < 4 {
		return 1
	}
	return max(2, (len(engines)+4)/5)
}

// begin selects up to count engines to move to a role and marks their changes as pending.
func (p *DemandPlanner) begin(
	now core.Instant, settled []EngineLoad, to core.Role, count int, reason core.Reason,
) []core.RoleChange {
	var changes []core.RoleChange
	for range count {
		i := p.candidate(now, settled, to, reason)
		if i < 0 {
			break
		}
		e := settled[i]
		settled = slices.Delete(slices.Clone(settled), i, i+1)
		p.pending[e.ID] = pendingRole{to, now}
		p.lastRole, p.lastChangeAt = to, now
		changes = append(changes, core.RoleChange{Target: e.ID, From: e.Role, To: to, Reason: reason})
	}
	return changes
}

// candidate returns the index of the engine to move next, or -1.
func (p *DemandPlanner) candidate(now core.Instant, settled []EngineLoad, to core.Role, reason core.Reason) int {
	movable := map[core.DataCentre]int{}
	for _, e := range settled {
		if e.Role != to {
			movable[e.DataCentre]++
		}
	}
	best := -1
	for i, e := range settled {
		if e.Role == to || e.Role == core.RoleNone {
			continue
		}
		if at, moved := p.changedAt[e.ID]; moved && now.Sub(at) < p.options.MinimumStay && reason != ReasonFloorViolation {
			continue
		}
		if best < 0 || movesBefore(e, settled[best], movable) {
			best = i
		}
	}
	return best
}

// movesBefore orders engines for a change: first those of the data centre with the most
// engines outside the new role, there those with the least work.
func movesBefore(a, b EngineLoad, movable map[core.DataCentre]int) bool {
	return cmp.Or(
		cmp.Compare(movable[b.DataCentre], movable[a.DataCentre]),
		cmp.Compare(a.Prompts+a.Generating, b.Prompts+b.Generating),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

// PlannerState is the state on which a DemandPlanner bases its plans.
type PlannerState struct {
	// Busy is the average share of prefill engines with work, SlotUse that of decode slots
	// in use, PeakSlotUse the decaying peak of SlotUse.
	Busy, SlotUse, PeakSlotUse float64
	// RefusalBalance is the balance of refusals, in seconds in which all requests are
	// refused: positive for lack of slots, negative for lack of prefill time. ChangeCost is
	// the absolute value above which a change pays off.
	RefusalBalance, ChangeCost float64
	// PrefillEngines and DecodeEngines count the engines of either role, Pending those whose
	// role is changing.
	PrefillEngines, DecodeEngines, Pending int
}

// State returns the state after the last plan.
func (p *DemandPlanner) State() PlannerState {
	return PlannerState{
		Busy: p.busy, SlotUse: p.slotUse, PeakSlotUse: p.peakSlotUse,
		RefusalBalance: p.refusalBalance, ChangeCost: p.changeCost(p.prefillEngines + p.decodeEngines),
		PrefillEngines: p.prefillEngines, DecodeEngines: p.decodeEngines, Pending: len(p.pending),
	}
}

// CancelChange drops a pending change whose order was not accepted.
func (p *DemandPlanner) CancelChange(id core.TargetID) {
	delete(p.pending, id)
}
