package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/estimate"
)

// chooser returns one of the first n candidates for which accept returns true, or -1.
type chooser func(s *scratch, n int, accept func(*core.TargetState) bool) int

// decide makes the decision of a simple router. It adds a prefill partner for a decode
// engine, and the estimate.
func decide(now core.Instant, req *core.Request, fleet core.Fleet, reason core.Reason, choose chooser) core.Decision {
	s := scratchPool.Get().(*scratch)
	defer s.release()
	n := s.collect(now, req, fleet, MaxCandidates)
	prefill := choose(s, n, isPrefill)
	accept := isMixedOrService
	if prefill >= 0 && req.Service == "" {
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
	case roleOf(s.states[i]) == core.RoleMixed:
		estimate.Engine(&result.Estimate, req, s.states[i], &s.loads[i], 0)
	default:
		queue, ready := estimate.Prefill(req, s.states[prefill], &s.loads[prefill], 0)
		wait := estimate.MemoryWait(req, s.states[i], &s.loads[i], 0)
		result.Prefill = s.states[prefill].ID
		estimate.Decode(&result.Estimate, req, s.states[i], &s.loads[i], ready+wait)
		result.Estimate.Queue = queue + wait
	}
	return result
}

func isPrefill(state *core.TargetState) bool { return roleOf(state) == core.RolePrefill }

func isGenerating(state *core.TargetState) bool { return roleOf(state).AcceptsDecode() }

func isMixedOrService(state *core.TargetState) bool {
	r := roleOf(state)
	return r == core.RoleMixed || r == core.RoleNone
}

// cursorCount is the number of cursors of a round-robin router. Models and services are
// assigned to cursors by hash.
const cursorCount = 256

type roundRobin struct {
	// cursors hold the targets that were chosen last.
	cursors [cursorCount]atomic.Pointer[core.TargetState]
}

var _ core.Router = (*roundRobin)(nil)

// NewRoundRobin returns a router that chooses the targets of a model or service in turn, in
// the order of their identifiers.
func NewRoundRobin() core.Router { return &roundRobin{} }

// Route implements core.Router.
func (r *roundRobin) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	index := xxhash.Sum64String(string(req.Model)) ^ xxhash.Sum64String(string(req.Service))
	choose := func(s *scratch, n int, accept func(*core.TargetState) bool) int {
		return r.next(index, s, n, accept)
	}
	return decide(now, req, fleet, core.ReasonRoundRobin, choose)
}

// next returns the candidate that follows the last chosen one in identifier order.
// Prefill engines have a cursor of their own.
func (r *roundRobin) next(index uint64, s *scratch, n int, accept func(*core.TargetState) bool) int {
	first, following := -1, -1
	var last *core.TargetState
	cursor := &r.cursors[index%cursorCount]
	for i, state := range s.states[:n] {
		if !accept(state) {
			continue
		}
		if first < 0 {
			if isPrefill(state) {
				cursor = &r.cursors[(index+1)%cursorCount]
			}
			last = cursor.Load()
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
		cursor.Store(s.states[following])
	}
	return following
}

type leastLoaded struct{ random *random.Source }

var _ core.Router = (*leastLoaded)(nil)

// NewLeastLoaded returns a router that chooses the target with the fewest queued and
// running requests, or a random one among equals.
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

// NewPrefixAffine returns a router that chooses the first target in ring order whose load
// is at most bound times the mean load of the candidates: consistent hashing with bounded
// loads (Mirrokni, Thorup and Zadimoghaddam, 2018). bound must be greater than 1.
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

// sequenceBound returns the maximum number of sequences of a candidate: bound times the mean
// per accepted candidate, including the new request, rounded up. At least one accepted
// candidate stays within it.
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
