package routing

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
)

// MaxCandidates is the largest number of targets that a decision looks at. With 64 of
// 4,500 targets a candidate set still spans all data centres and roles.
const MaxCandidates = 64

// DefaultProbe is the number of targets that a decision looks at first. More are looked
// at only if none of these is suitable, which keeps the cost of a decision the same for
// a fleet of 14 and of 4,500 targets.
const DefaultProbe = 16

// PrefixFleet is a fleet that also knows which candidates hold a request's prompt prefix.
type PrefixFleet interface {
	core.Fleet
	// PrefixHits sets hits[i] to the number of prompt tokens of req that candidates[i]
	// is expected to hold. Both slices have the same length.
	PrefixHits(req *core.Request, candidates []*core.TargetState, hits []int)
}

// scratch is the working memory of one decision.
type scratch struct {
	states    [MaxCandidates]*core.TargetState
	hits      [MaxCandidates]int
	loads     [MaxCandidates]estimate.Load
	estimates [MaxCandidates]core.Estimate
	imports   [MaxCandidates]int8
	feasible  [MaxCandidates]bool
	roles     [MaxCandidates]core.Role
	// prefills counts the prefill engines.
	prefills int
	set      pool
	// queue and ready are the delays of the prefill partner.
	queue, ready time.Duration
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// release drops the references to target states and returns the memory to the pool.
func (s *scratch) release() {
	clear(s.states[:])
	scratches.Put(s)
}

// usable reports whether new work of the request may go to the target at all.
func usable(state *core.TargetState, req *core.Request) bool {
	if !state.AcceptsWork() {
		return false
	}
	return req.Service != "" || state.Report.Model == "" || state.Report.Model == req.Model
}

// role returns the role that the target last reported, or the configured one.
func role(state *core.TargetState) core.Role {
	if state.Report.Role != core.RoleNone {
		return state.Report.Role
	}
	return state.Role
}

// look fills the scratch with at most limit usable candidates, their loads and roles.
func (s *scratch) look(now core.Instant, req *core.Request, fleet core.Fleet, limit int) int {
	found := fleet.Candidates(req, s.states[:0:limit])
	_, checked := fleet.(*Store)
	n := 0
	s.prefills = 0
	for _, state := range found {
		if !checked && !usable(state, req) {
			continue
		}
		s.states[n] = state
		s.loads[n].Set(now, state)
		s.roles[n] = role(state)
		if s.roles[n] == core.RolePrefill {
			s.prefills++
		}
		n++
	}
	return n
}

func clampSubset(n, otherwise int) int {
	if n <= 0 {
		return otherwise
	}
	return min(n, MaxCandidates)
}
