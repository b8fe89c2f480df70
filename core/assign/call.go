package assign

import (
	"time"

	"gorseline/core"
	"gorseline/core/roster"
)

// CallRequest holds the properties of a request without a prompt that a decision depends on.
type CallRequest struct {
	Service   core.Service
	Remaining time.Duration // until the deadline
	Exclude   []core.TargetID
	// Version is the software version of the targets that may serve the request; nil allows
	// any.
	Version *core.SoftwareVersion
}

// CallDecision is the target of a request without a prompt. Target is nil for a refusal.
type CallDecision struct {
	Target     *roster.Entry
	Running    int // outstanding requests of the target
	Candidates int
	Reason     core.Reason
	RetryAfter time.Duration
}

// queuePerSlot is how many requests may wait for each slot of a plain target before new
// ones are refused. Calls take some tens of milliseconds, so the wait for this many calls
// stays within common objectives.
const queuePerSlot = 2

// AssignCall chooses a target of a plain service: the one with the fewest outstanding requests
// per slot, with a preference for the local data centre.
func (a *Assigner) AssignCall(now core.Instant, view *roster.View, req *CallRequest) CallDecision {
	d := CallDecision{}
	least := 0.0
	for _, e := range view.Ready(req.Service) {
		if !a.isUsable(now, e, req.Exclude, req.Version) {
			continue
		}
		state := a.opts.Loads.State(now, e.ID, nil)
		slots := max(1, e.Slots)
		d.Candidates++
		if state.Running >= slots*(1+queuePerSlot) {
			continue
		}
		score := float64(state.Running) / float64(slots)
		if e.DataCentre != a.opts.Home {
			// Half of the slots in the local data centre are filled first.
			score += 0.5
		}
		if !a.isLoadKnown(e) && !state.IsObserved {
			// The load is unknown, so requests are spread over the targets.
			score += 0.3 * a.opts.Random.Float64()
		}
		if e.WarmUpRemaining > 0 {
			// Half of the slots of warm targets are filled first.
			score += 0.5
		}
		// Jitter prevents instances that know the same loads from choosing the same target.
		score += 0.05 * a.opts.Random.Float64()
		if d.Target == nil || score < least {
			d.Target, d.Running, least = e, state.Running, score
		}
	}
	switch {
	case d.Target != nil:
		d.Reason = core.ReasonLeastDelay
	default:
		d.Reason = missingReason(view, req.Service, req.Version)
		if d.Candidates > 0 {
			d.Reason = core.ReasonConcurrency
		}
		longest := time.Duration(a.opts.MaxRetryShare * float64(req.Remaining))
		d.RetryAfter = longest/4 + time.Duration(a.opts.Random.Float64()*float64(longest/2))
	}
	return d
}
