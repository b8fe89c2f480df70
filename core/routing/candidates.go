package routing

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
)

// MaxCandidates is the maximum number of targets that a decision considers. A set of 64
// out of 4,500 targets still spans all data centres and roles.
const MaxCandidates = 64

// DefaultProbe is the number of targets that a decision considers first. It considers more
// only if none of these is suitable, so that a decision costs the same for a fleet of 14
// and of 4,500 targets.
const DefaultProbe = 16

// PrefixFleet is a fleet that also knows which candidates have a request's prompt prefix
// in their caches.
type PrefixFleet interface {
	core.Fleet
	// PrefixHits sets hits[i] to the expected number of leading prompt tokens of req that
	// candidates[i] has cached. Both slices have the same length.
	PrefixHits(req *core.Request, candidates []*core.TargetState, hits []int)
}

// scratch is the working memory of one decision. The arrays are indexed by candidate.
type scratch struct {
	states [MaxCandidates]*core.TargetState
	// hits holds the expected numbers of cached prompt tokens.
	hits      [MaxCandidates]int
	loads     [MaxCandidates]estimate.Load
	estimates [MaxCandidates]core.Estimate
	// importSources holds the candidate that a prefix is imported from, or -1.
	importSources [MaxCandidates]int8
	feasible      [MaxCandidates]bool
	roles         [MaxCandidates]core.Role
	// prefillCount is the number of prefill engines among the candidates.
	prefillCount int
	pool         pool
	// prefillQueue is the queueing delay of the prefill partner, prefillReady the delay
	// until it has computed the prompt.
	prefillQueue, prefillReady time.Duration
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// release drops the references to target states and returns the memory to the pool.
func (s *scratch) release() {
	clear(s.states[:])
	scratchPool.Put(s)
}

// usable reports whether the target accepts work and serves the request's model or
// service.
func usable(state *core.TargetState, req *core.Request) bool {
	if !state.AcceptsWork() {
		return false
	}
	return req.Service != "" || state.Report.Model == "" || state.Report.Model == req.Model
}

// roleOf returns the role that the target last reported, or else its configured role.
func roleOf(state *core.TargetState) core.Role {
	if state.Report.Role != core.RoleNone {
		return state.Report.Role
	}
	return state.Role
}

// collect looks up at most limit usable candidates with their loads and roles. It returns
// their number.
func (s *scratch) collect(now core.Instant, req *core.Request, fleet core.Fleet, limit int) int {
	found := fleet.Candidates(req, s.states[:0:limit])
	_, filtered := fleet.(*Store) // Store returns usable targets only
	n := 0
	s.prefillCount = 0
	for _, state := range found {
		if !filtered && !usable(state, req) {
			continue
		}
		s.states[n] = state
		s.loads[n].Set(now, state)
		s.roles[n] = roleOf(state)
		if s.roles[n] == core.RolePrefill {
			s.prefillCount++
		}
		n++
	}
	return n
}

// clampSubset returns n, at most MaxCandidates, or the fallback if n isn't positive.
func clampSubset(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return min(n, MaxCandidates)
}
