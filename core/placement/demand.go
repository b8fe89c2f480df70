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
	ReasonStartingShare   core.Reason = "StartingShare"
	ReasonPromptsWait     core.Reason = "PromptsWait"
	ReasonGenerationsWait core.Reason = "GenerationsWait"
)

// DemandOptions are the settings of a DemandPlanner. Zero values take the defaults that
// are stated per field.
type DemandOptions struct {
	// InitialPrefillShare is the share of engines that compute prompts until a demand was seen;
	// 0.64. Prompts of the known kinds need about twice as many engines as their answers.
	InitialPrefillShare float64
	// BusyThreshold is the share of prompt engines with work at which more are wanted; 0.85.
	BusyThreshold float64
	// SlotThreshold is the share of generation slots in use at which more generating engines are
	// wanted; 0.95. MaxPeakSlotUse is the share that the highest use lately may come to on the
	// others after one is taken away; 0.7. Answers hold slots for seconds, so that a
	// shortage passes slowly.
	SlotThreshold, MaxPeakSlotUse float64
	// RefusalThreshold is the share of requests from which on refusals count; 0.01.
	RefusalThreshold float64
	// ChangeTime is how long an engine is away while it changes its role: it finishes its
	// work and switches; 8 s.
	ChangeTime time.Duration
	// DecayTime is the time constant with which the highest use is forgotten; 15 s.
	DecayTime time.Duration
	// Smoothing is the time constant of the averages; 2 s.
	Smoothing time.Duration
	// PrefillDelay and DecodeDelay are how long more engines must have been wanted before
	// one is moved; 6 s and 2 s. A change takes engines away for seconds and bursts come
	// and go as fast, while streams that wait for slots delay all others.
	PrefillDelay, DecodeDelay time.Duration
	// MinimumStay is the least time between two changes of an engine; 15 s.
	MinimumStay time.Duration
	// ReversalDelay is the least time between changes in opposite directions; 10 s.
	ReversalDelay time.Duration
	// MaxConcurrentShare is the share of engines that may change together; 0.25. Before there is any
	// demand all may.
	MaxConcurrentShare float64
	// ChangeTimeout gives up waiting for a change; 15 s.
	ChangeTimeout time.Duration
}

func (o DemandOptions) withDefaults() DemandOptions {
	o.InitialPrefillShare = orDefault(o.InitialPrefillShare, 0.64)
	o.BusyThreshold = orDefault(o.BusyThreshold, 0.85)
	o.SlotThreshold = orDefault(o.SlotThreshold, 0.95)
	o.MaxPeakSlotUse = orDefault(o.MaxPeakSlotUse, 0.7)
	o.RefusalThreshold = orDefault(o.RefusalThreshold, 0.01)
	o.ChangeTime = orDefault(o.ChangeTime, 8*time.Second)
	o.DecayTime = orDefault(o.DecayTime, 15*time.Second)
	o.Smoothing = orDefault(o.Smoothing, 2*time.Second)
	o.PrefillDelay = orDefault(o.PrefillDelay, 6*time.Second)
	o.DecodeDelay = orDefault(o.DecodeDelay, 2*time.Second)
	o.MinimumStay = orDefault(o.MinimumStay, 15*time.Second)
	o.ReversalDelay = orDefault(o.ReversalDelay, 10*time.Second)
	o.MaxConcurrentShare = orDefault(o.MaxConcurrentShare, 0.25)
	o.ChangeTimeout = orDefault(o.ChangeTimeout, 15*time.Second)
	return o
}

// EngineLoad is what a DemandPlanner needs of one engine.
type EngineLoad struct {
	ID         core.TargetID
	DataCentre core.DataCentre
	Role       core.Role
	Slots      int
	// Prompts and Generating are the requests that the engine has now.
	Prompts    int
	Generating int
}

// Refusals are the shares of the requests since the last plan that were refused because
// no generating engine had a free slot, and because prompts would have waited too long.
type Refusals struct {
	NoSlot  float64
	Backlog float64
}

// DemandPlanner plans the roles of the engines of one service by what waits and what is
// refused: it moves engines to prompts while those that have this role are busy and the
// others idle, and back when generations fill their slots. It answers mixes whose share of
// prompts shifts within seconds, and a start in which most engines have the role that little
// needs. It is not safe for concurrent use.
type DemandPlanner struct {
	options DemandOptions
	// busy and slotUse are running averages of the shares in use.
	busy, slotUse float64
	// refusalBalance is what the present roles have cost, in seconds of all requests: positive for
	// want of slots, negative for want of prompt time.
	refusalBalance float64
	// prefillShortSince and decodeShortSince are when more engines for either began to be wanted;
	// 0 while they are not.
	prefillShortSince, decodeShortSince core.Instant
	// peakSlotUse is the highest share of slots in use, slowly forgotten.
	peakSlotUse      float64
	plannedAt        core.Instant
	planned bool
	// prefillEngines and decodeEngines are the engines of either role at the last plan.
	prefillEngines, decodeEngines int
	// demandSeen is set with the first demand.
	demandSeen    bool
	pending map[core.TargetID]pendingRole
	changedAt map[core.TargetID]core.Instant
	lastRole    core.Role
	lastAt  core.Instant
}

type pendingRole struct {
	to    core.Role
	since core.Instant
}

// NewDemandPlanner returns a planner that has seen nothing.
func NewDemandPlanner(options DemandOptions) *DemandPlanner {
	return &DemandPlanner{
		options: options.withDefaults(), pending: map[core.TargetID]pendingRole{}, changedAt: map[core.TargetID]core.Instant{},
	}
}

// Plan returns the role changes that should begin now. It is called about once a second
// with all engines of the service that take work.
func (p *DemandPlanner) Plan(now core.Instant, engines []EngineLoad, refused Refusals) []core.RoleChange {
	p.finishPending(now, engines)
	p.observe(now, engines, refused)
	free := p.unchanging(engines)
	if len(engines) < 2 {
		return nil
	}
	wanted, reason := p.prefillDelta(now, engines, free)
	if wanted == 0 {
		return nil
	}
	to := core.RolePrefill
	if wanted < 0 {
		to, wanted = core.RoleDecode, -wanted
	}
	if p.lastRole != core.RoleNone && p.lastRole != to && now.Sub(p.lastAt) < p.options.ReversalDelay {
		return nil
	}
	limit := len(engines)
	if p.demandSeen {
		limit = max(1, int(p.options.MaxConcurrentShare*float64(len(engines))))
	}
	return p.begin(now, free, to, min(wanted, limit-len(p.pending)), reason)
}

// finishPending ends the changes that are visible or overdue.
func (p *DemandPlanner) finishPending(now core.Instant, engines []EngineLoad) {
	for id, change := range p.pending {
		i := slices.IndexFunc(engines, func(e EngineLoad) bool { return e.ID == id })
		if i >= 0 && engines[i].Role != change.to && now.Sub(change.since) < p.options.ChangeTimeout {
			continue
		}
		delete(p.pending, id)
		p.changedAt[id] = now
	}
}

// observe updates the averages.
func (p *DemandPlanner) observe(now core.Instant, engines []EngineLoad, refused Refusals) {
	var reading, slots, generating float64
	p.prefillEngines, p.decodeEngines = 0, 0
	for _, e := range engines {
		if e.Role == core.RolePrefill {
			p.prefillEngines++
			reading += min(1, float64(e.Prompts))
			continue
		}
		p.decodeEngines++
		slots += float64(max(1, e.Slots))
		generating += float64(e.Generating)
	}
	if reading+generating > 0 {
		p.demandSeen = true
	}
	busy, full := 1.0, 1.0
	if p.prefillEngines > 0 {
		busy = reading / float64(p.prefillEngines)
	}
	if slots > 0 {
		full = generating / slots
	}
	weight := 1.0
	if p.planned {
		weight = min(1, now.Sub(p.plannedAt).Seconds()/p.options.Smoothing.Seconds())
	}
	p.busy += weight * (busy - p.busy)
	p.slotUse += weight * (full - p.slotUse)
	p.updateRefusalBalance(now, refused)
	if p.demandSeen {
		forget := math.Exp(-now.Sub(p.plannedAt).Seconds() / p.options.DecayTime.Seconds())
		p.peakSlotUse = max(p.slotUse, p.peakSlotUse*forget)
	}
	p.plannedAt, p.planned = now, true
	trackSince(&p.prefillShortSince, now, p.busy > p.options.BusyThreshold)
	trackSince(&p.decodeShortSince, now, p.slotUse > p.options.SlotThreshold)
}

// updateRefusalBalance adds what was refused since the last plan, and forgets while little is.
// Changes under way are to show their effect first.
func (p *DemandPlanner) updateRefusalBalance(now core.Instant, refused Refusals) {
	// A plan after a gap, as after another instance planned, counts as one.
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

// changeCost is the regret from which on a change pays, in seconds of all requests: twice
// what the change takes, since nobody knows how long the mix will last.
func (p *DemandPlanner) changeCost(engines int) float64 {
	return 2 * p.options.ChangeTime.Seconds() / float64(engines)
}

// trackSince notes when a condition began to hold, or that it doesn't.
func trackSince(at *core.Instant, now core.Instant, holds bool) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}

// sustained reports whether a condition has held for a time.
func sustained(at, now core.Instant, least time.Duration) bool { return at != 0 && now.Sub(at) >= least }

// unchanging returns the engines without a change under way.
func (p *DemandPlanner) unchanging(engines []EngineLoad) []EngineLoad {
	free := make([]EngineLoad, 0, len(engines))
	for _, e := range engines {
		if _, ok := p.pending[e.ID]; !ok {
			free = append(free, e)
		}
	}
	return free
}

// prefillDelta returns how many engines should move to prompts, or, if negative, from them.
// Changes under way count as done.
func (p *DemandPlanner) prefillDelta(now core.Instant, engines, free []EngineLoad) (int, core.Reason) {
	readers := 0
	for _, e := range free {
		if e.Role == core.RolePrefill {
			readers++
		}
	}
	for _, change := range p.pending {
		if change.to == core.RolePrefill {
			readers++
		}
	}
	generators := len(engines) - readers
	floor := decodeFloor(engines)
	cost := p.changeCost(len(engines))
	switch {
	case generators < floor:
		return generators - floor, ReasonFloorViolation
	case !p.demandSeen:
		start := min(int(math.Round(p.options.InitialPrefillShare*float64(len(engines)))), len(engines)-floor)
		return max(0, start-readers), ReasonStartingShare
	case len(p.pending) > 0:
		// The averages don't show what the changes under way will do.
		return 0, ""
	case (p.refusalBalance > cost || sustained(p.decodeShortSince, now, p.options.DecodeDelay)) && p.refusalBalance >= 0 && readers > 1:
		return -1, ReasonGenerationsWait
	case (p.refusalBalance < -cost || sustained(p.prefillShortSince, now, p.options.PrefillDelay)) && p.refusalBalance <= 0 && generators > floor:
		spare := float64(generators) * (1 - p.peakSlotUse/p.options.MaxPeakSlotUse)
		return max(0, min(1, generators-floor, int(spare))), ReasonPromptsWait
	}
	return 0, ""
}

// decodeFloor is the least number of generating engines: two, so that the loss of one
// leaves another, and at least a fifth of all.
func decodeFloor(engines []EngineLoad) int {
	if len(engines) < 4 {
		return 1
	}
	return max(2, (len(engines)+4)/5)
}

// begin chooses the engines to move: from the data centre with most of their role, those
// with the least work first.
func (p *DemandPlanner) begin(
	now core.Instant, free []EngineLoad, to core.Role, count int, reason core.Reason,
) []core.RoleChange {
	var changes []core.RoleChange
	for range count {
		i := p.candidate(now, free, to)
		if i < 0 {
			break
		}
		e := free[i]
		free = slices.Delete(slices.Clone(free), i, i+1)
		p.pending[e.ID] = pendingRole{to, now}
		p.lastRole, p.lastAt = to, now
		changes = append(changes, core.RoleChange{Target: e.ID, From: e.Role, To: to, Reason: reason})
	}
	return changes
}

// candidate returns the index of the engine to move next, or -1.
func (p *DemandPlanner) candidate(now core.Instant, free []EngineLoad, to core.Role) int {
	local := map[core.DataCentre]int{}
	for _, e := range free {
		if e.Role != to {
			local[e.DataCentre]++
		}
	}
	best := -1
	for i, e := range free {
		at, moved := p.changedAt[e.ID]
		if e.Role == to || e.Role == core.RoleNone || moved && now.Sub(at) < p.options.MinimumStay {
			continue
		}
		if best < 0 || movesBefore(e, free[best], local) {
			best = i
		}
	}
	return best
}

func movesBefore(a, b EngineLoad, local map[core.DataCentre]int) bool {
	return cmp.Or(
		cmp.Compare(local[b.DataCentre], local[a.DataCentre]),
		cmp.Compare(a.Prompts+a.Generating, b.Prompts+b.Generating),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

// PlannerState is what the plans of a DemandPlanner rest on.
type PlannerState struct {
	// Busy and SlotUse are the averages of the shares of prompt engines and of generation
	// slots in use, PeakSlotUse the highest SlotUse lately.
	Busy, SlotUse, PeakSlotUse float64
	// RefusalBalance is what refusals have cost, in seconds of all requests: positive for want of
	// slots, negative for want of prompt time. ChangeCost is that from which on a change pays.
	RefusalBalance, ChangeCost float64
	// PrefillEngines and DecodeEngines are the engines of either role, Pending those that change.
	PrefillEngines, DecodeEngines, Pending int
}

// State returns what the last plan rested on.
func (p *DemandPlanner) State() PlannerState {
	return PlannerState{
		Busy: p.busy, SlotUse: p.slotUse, PeakSlotUse: p.peakSlotUse, RefusalBalance: p.refusalBalance, ChangeCost: p.changeCost(p.prefillEngines + p.decodeEngines), PrefillEngines: p.prefillEngines, DecodeEngines: p.decodeEngines, Pending: len(p.pending),
	}
}

// CancelChange notes that a change could not be ordered.
func (p *DemandPlanner) CancelChange(id core.TargetID) {
	delete(p.pending, id)
}
