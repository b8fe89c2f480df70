package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/estimate"
)

// chooser picks one of the candidates that accept reports true for, or -1.
type chooser func(s *scratch, n int, accept func(*core.TargetState) bool) int

// decide completes a simple router's choice: a target that only generates gets a
// prefill partner, and the estimate is filled in.
func decide(now core.Instant, req *core.Request, fleet core.Fleet, reason core.Reason, choose chooser) core.Decision {
	s := scratches.Get().(*scratch)
	defer s.release()
	n := s.look(now, req, fleet, MaxCandidates)
	prefills := choose(s, n, isPrefill)
	accept := isMixedOrService
	if prefills >= 0 && req.Service == "" {
		accept = isGenerating
	}
	i := choose(s, n, accept)
	if i < 0 {
		return core.Decision{Reason: core.ReasonNoTarget}
	}
	result := core.Decision{Target: s.states[i].ID, Reason: reason}
	switch {
	case req.Service != "":
		estimate.Service(&result.Estimate, s.states[i], &s.loads[i])
	case role(s.states[i]) == core.RoleMixed:
		estimate.Engine(&result.Estimate, req, s.states[i], &s.loads[i], 0)
	default:
		queue, ready := estimate.Prefill(req, s.states[prefills], &s.loads[prefills], 0)
		wait := estimate.MemoryWait(req, s.states[i], &s.loads[i], 0)
		result.Prefill = s.states[prefills].ID
		estimate.Decode(&result.Estimate, req, s.states[i], &s.loads[i], ready+wait)
		result.Estimate.Queue = queue + wait
	}
	return result
}

func isPrefill(state *core.TargetState) bool { return role(state) == core.RolePrefill }

func isGenerating(state *core.TargetState) bool { return role(state).AcceptsDecode() }

func isMixedOrService(state *core.TargetState) bool {
	r := role(state)
	return r == core.RoleMixed || r == core.RoleNone
}

// turnSlots is the number of independent turns of a round-robin router. Models and
// services are spread over them by hash.
const turnSlots = 256

type roundRobin struct {
	last [turnSlots]atomic.Pointer[core.TargetState]
}

var _ core.Router = (*roundRobin)(nil)

// NewRoundRobin returns a router that takes the targets of a model or service in turn,
// in the order of their identifiers.
func NewRoundRobin() core.Router { return &roundRobin{} }

// Route implements core.Router.
func (r *roundRobin) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	slot := xxhash.Sum64String(string(req.Model)) ^ xxhash.Sum64String(string(req.Service))
	choose := func(s *scratch, n int, accept func(*core.TargetState) bool) int {
		return r.next(slot, s, n, accept)
	}
	return decide(now, req, fleet, core.ReasonRoundRobin, choose)
}

// next returns the candidate that follows the last chosen one in identifier order.
// Prefill engines have a turn of their own.
func (r *roundRobin) next(slot uint64, s *scratch, n int, accept func(*core.TargetState) bool) int {
	first, following := -1, -1
	var last *core.TargetState
	turn := &r.last[slot%turnSlots]
	for i, state := range s.states[:n] {
		if !accept(state) {
			continue
		}
		if first < 0 {
			if isPrefill(state) {
				turn = &r.last[(slot+1)%turnSlots]
			}
			last = turn.Load()
		}
		if first < 0 || state.ID < s.states[first].ID {
			first = i
		}
		if last != nil && state.ID > last.ID && (following < 0 || state.ID < s.states[following].ID) {
			following = i
		}
	}
	if following < 0 {
		following = first
	}
	if following >= 0 {
		turn.Store(s.states[following])
	}
	return following
}

type leastLoaded struct{ random *random.Source }

var _ core.Router = (*leastLoaded)(nil)

// NewLeastLoaded returns a router that takes the target with the fewest queued and
// running requests, and one at random among equals.
func NewLeastLoaded(source *random.Source) core.Router { return &leastLoaded{random: source} }

// Route implements core.Router.
func (r *leastLoaded) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	return decide(now, req, fleet, core.ReasonLeastDelay, r.least)
}

func (r *leastLoaded) least(s *scratch, n int, accept func(*core.TargetState) bool) int {
	best, equals := -1, 0
	for i, state := range s.states[:n] {
		switch {
		case !accept(state):
		case best < 0 || s.loads[i].Sequences < s.loads[best].Sequences:
			best, equals = i, 1
		case s.loads[i].Sequences == s.loads[best].Sequences:
			equals++
			if r.random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

type prefixAffine struct{ bound float64 }

var _ core.Router = (*prefixAffine)(nil)

// NewPrefixAffine returns a router that takes the first target in ring order whose load
// is within bound times the mean load of the candidates (consistent hashing with bounded
// loads; Mirrokni, Thorup and Zadimoghaddam, 2018). bound must be greater than 1.
func NewPrefixAffine(bound float64) core.Router { return &prefixAffine{bound: bound} }

// Route implements core.Router.
func (r *prefixAffine) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	return decide(now, req, fleet, core.ReasonAffinity, r.first)
}

func (r *prefixAffine) first(s *scratch, n int, accept func(*core.TargetState) bool) int {
	limit := sequenceBound(s, n, r.bound, accept)
	for i, state := range s.states[:n] {
		if accept(state) && float64(s.loads[i].Sequences+1) <= limit {
			return i
		}
	}
	return -1
}

// sequenceBound returns bound times the mean number of sequences per accepted candidate,
// counting the request to be placed, rounded up. At least one candidate is within it.
func sequenceBound(s *scratch, n int, bound float64, accept func(*core.TargetState) bool) float64 {
	total, count := 1, 0
	for i, state := range s.states[:n] {
		if accept(state) {
			total += s.loads[i].Sequences
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(int(bound*float64(total)/float64(count)) + 1)
}
