package policy

import (
	"cmp"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/admission"
	"gorseline/core/estimate"
	"gorseline/core/routing"
)

// PairWindowParameters are the parameters of the PairWindow policy.
type PairWindowParameters struct {
	// MaxConcurrent bounds requests in flight per model or service on one instance.
	MaxConcurrent int
	// TransferRate is the rate of KV transfer between engines in prompt tokens per second.
	TransferRate float64
}

func (p PairWindowParameters) validate(path string) error {
	return first(
		within(path, "MaxConcurrent", p.MaxConcurrent, 1, maximumConcurrent),
		within(path, "TransferRate", p.TransferRate, 1, 1e9),
	)
}

func init() {
	defaults := PairWindowParameters{
		MaxConcurrent: admission.DefaultOptions().MaxConcurrent, TransferRate: routing.DefaultFullOptions().TransferRate,
	}
	register("PairWindow", defaults, newPairWindow)
}

// newPairWindow takes Full's admission, so that the two differ in routing alone.
func newPairWindow(p PairWindowParameters, options Options) (core.Router, core.Admitter) {
	settings := admission.DefaultOptions()
	settings.MaxConcurrent = p.MaxConcurrent
	settings.MinConcurrent = min(settings.MinConcurrent, p.MaxConcurrent)
	if options.Preset.UrgentShare > 0 {
		settings.UrgentShare = options.Preset.UrgentShare
	}
	settings.OrganisationLimits = organisationLimits(options)
	return &pairWindow{p.TransferRate}, admission.NewController(settings, options.source())
}

// pairWindow chooses the prefill and the decode engine of a request together, after the
// algorithm searching for extreme performance (AEP) of Toporkov, Toporkova, Tselishchev
// and Yemelyanov, "Slot Selection and Co-allocation Algorithms for Economic Scheduling in
// Distributed Computing". Slots are the times at which a prefill engine can begin the
// prompt or a decode engine has a free place in its batch. They are scanned by their
// start; the window holds those that have started, and the best pair in it by finish time
// is compared with the best one so far. Slots have no end here, so that none leaves the
// window, and the scan takes constant time per slot: a prompt that begins now is ready
// after all slots of the window have started, so that only the fastest decode engine and
// the earliest prompt of the window matter.
type pairWindow struct{ transferRate float64 }

var _ core.Router = (*pairWindow)(nil)

// slot is a candidate that can be used from start on.
type slot struct {
	state *core.TargetState
	load  estimate.Load
	start time.Duration
	// ready is when the prompt is computed and transferred, on engines that compute
	// prompts; answer is the time that the tokens take on decode engines.
	ready, answer time.Duration
	hits          int
	role          core.Role
}

// Route implements core.Router.
func (r *pairWindow) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	var states [routing.DefaultSubset]*core.TargetState
	var slots [routing.DefaultSubset]slot
	n := r.slots(now, req, fleet, fleet.Candidates(req, states[:0]), &slots)
	slices.SortStableFunc(slots[:n], func(a, b slot) int { return cmp.Compare(a.start, b.start) })
	result := scan(req, slots[:n])
	if result.Found() && !estimate.Feasible(now, req, &result.Estimate) {
		result.Reason = core.ReasonDeadline
	}
	return result
}

// slots fills in the slots of the usable candidates and returns their number.
func (r *pairWindow) slots(
	now core.Instant, req *core.Request, fleet core.Fleet, states []*core.TargetState, slots *[routing.DefaultSubset]slot,
) int {
	var hits [routing.DefaultSubset]int
	if prefixes, ok := fleet.(routing.PrefixFleet); ok && len(req.PrefixBlocks) > 0 {
		prefixes.PrefixHits(req, states, hits[:len(states)])
	}
	n := 0
	for i, state := range states {
		if !state.AcceptsWork() || req.Service == "" && state.Report.Model != "" && state.Report.Model != req.Model {
			continue
		}
		s := &slots[n]
		n++
		*s = slot{state: state, load: estimate.LoadAt(now, state), hits: hits[i], role: state.Report.Role}
		if s.role == core.RoleNone {
			s.role = state.Role
		}
		switch s.role {
		case core.RolePrefill:
			s.start, s.ready = estimate.Prefill(req, state, &s.load, s.hits)
			s.ready += time.Duration(float64(req.PromptTokens) / r.transferRate * float64(time.Second))
		case core.RoleDecode:
			s.start = freePlace(req, s, &s.load)
			s.answer = answerTime(req, s)
		default:
		}
	}
	return n
}

// freePlace returns when the decode engine has room for the request under the load.
func freePlace(req *core.Request, s *slot, load *estimate.Load) time.Duration {
	return max(estimate.MemoryWait(req, s.state, load, 0), estimate.SlotWait(req, s.state, load))
}

func answerTime(req *core.Request, s *slot) time.Duration {
	var result core.Estimate
	estimate.Decode(&result, req, s.state, &s.load, 0)
	return result.Total
}

// scan returns the decision with the earliest finish; slots are sorted by their start.
func scan(req *core.Request, slots []slot) core.Decision {
	best := core.Decision{Reason: core.ReasonNoTarget}
	finish := 4 * estimate.Never
	var prompt, decode, bestPrompt, bestDecode *slot
	for i := range slots {
		s := &slots[i]
		switch s.role {
		case core.RolePrefill:
			if prompt == nil || s.ready < prompt.ready {
				prompt = s
			}
		case core.RoleDecode:
			// A later place is worse for every prompt unless the answer is faster.
			if prompt != nil && max(prompt.ready, s.start)+s.answer < finish {
				finish, bestPrompt, bestDecode = max(prompt.ready, s.start)+s.answer, prompt, s
			}
			if decode == nil || s.answer < decode.answer {
				decode = s
			}
		default:
			var alone core.Estimate
			if req.Service != "" {
				estimate.Service(&alone, s.state, &s.load)
			} else {
				estimate.Engine(&alone, req, s.state, &s.load, s.hits)
			}
			if alone.Total < finish {
				finish, bestDecode = alone.Total, nil
				best = core.Decision{Target: s.state.ID, Estimate: alone, Reason: core.ReasonLeastDelay}
			}
		}
		if s == prompt && decode != nil && s.ready+decode.answer < finish {
			finish, bestPrompt, bestDecode = s.ready+decode.answer, s, decode
		}
	}
	if bestDecode == nil {
		return best
	}
	return pair(req, bestPrompt, bestDecode)
}

// pair returns the decision for a prefill and a decode engine. The answer is expected
// under the load that will be left once the prompt is computed.
func pair(req *core.Request, prompt, decode *slot) core.Decision {
	result := core.Decision{Target: decode.state.ID, Prefill: prompt.state.ID, Reason: core.ReasonLeastDelay}
	settled := decode.load.Settled()
	begin := max(prompt.ready, freePlace(req, decode, &settled))
	estimate.Decode(&result.Estimate, req, decode.state, &settled, begin)
	result.Estimate.Queue = begin - (prompt.ready - prompt.start)
	result.Estimate.PrefixTokens = prompt.hits
	return result
}
