package routing

import (
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/estimate"
)

// FullOptions are the settings of the full router.
type FullOptions struct {
	// Subset is the largest number of candidates, at most DefaultSubset.
	Subset int
	// Probe is the number of candidates looked at first.
	Probe int
	// LoadBound is the load, relative to the mean, up to which a target that holds the
	// prompt's prefix is preferred.
	LoadBound float64
	// MinimumPrefixShare is the part of the prompt that a target must hold to be
	// preferred.
	MinimumPrefixShare float64
	// NearBest is the part by which a delay may exceed the least one and still count as
	// equal to it.
	NearBest float64
	// NearBestPerAge widens the near-best set by this part of the age of the load report.
	NearBestPerAge float64
	// Spread is the number of near-best targets, in ring order, that prompts with an
	// equal first block are shared among while no target holds their prefix.
	Spread int
	// TransferRate is the rate of KV transfer between engines, in prompt tokens per
	// second; 0 disables imports.
	TransferRate float64
	// TransferLatency is the fixed part of a KV transfer.
	TransferLatency time.Duration
}

// DefaultFullOptions returns the default settings.
func DefaultFullOptions() FullOptions {
	return FullOptions{
		Subset:             DefaultSubset,
		Probe:              DefaultProbe,
		LoadBound:          1.25,
		MinimumPrefixShare: 0.1,
		NearBest:           0.1,
		NearBestPerAge:     0.02,
		Spread:             4,
		TransferRate:       200_000,
		TransferLatency:    5 * time.Millisecond,
	}
}

type full struct {
	options FullOptions
	random  *random.Source
}

var _ core.Router = (*full)(nil)

// NewFull returns the full router. Targets that keep the request's deadline come first,
// then those that hold its prefix and are within the load bound, then those with the
// least expected delay; it chooses at random among near-best targets.
func NewFull(options FullOptions, source *random.Source) core.Router {
	options.Subset = clampSubset(options.Subset, DefaultSubset)
	options.Probe = min(clampSubset(options.Probe, DefaultProbe), options.Subset)
	return &full{options: options, random: source}
}

// Route implements core.Router. When no target keeps the deadline it returns the one
// with the least delay and ReasonDeadline, so that admission can refuse by its estimate.
func (r *full) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	s := scratches.Get().(*scratch)
	defer s.release()
	n := s.look(now, req, fleet, r.options.Probe)
	result := r.among(now, req, fleet, s, n)
	if result.Reason != core.ReasonNoTarget && result.Reason != core.ReasonDeadline {
		return result
	}
	if n < r.options.Probe || r.options.Subset == r.options.Probe {
		return result
	}
	n = s.look(now, req, fleet, r.options.Subset)
	return r.among(now, req, fleet, s, n)
}

func (r *full) among(now core.Instant, req *core.Request, fleet core.Fleet, s *scratch, n int) core.Decision {
	clear(s.hits[:n])
	if prefixes, ok := fleet.(PrefixFleet); ok && len(req.PrefixBlocks) > 0 {
		prefixes.PrefixHits(req, s.states[:n], s.hits[:n])
	}
	prefill := r.predict(now, req, s, n)
	set := r.pool(req, s, n, prefill)
	if set.count == 0 {
		return core.Decision{Reason: core.ReasonNoTarget}
	}
	i, reason := r.pick(now, req, s, set)
	result := core.Decision{Target: s.states[i].ID, Estimate: s.estimates[i], Reason: reason}
	if req.Service != "" {
		return result
	}
	if !generates(s.states[i], req) {
		result.Prefill = s.states[prefill].ID
		// Targets are compared by all that was promised to them, which balances them,
		// but the answer is expected under the load that will be left by then.
		result.Estimate = r.paired(req, s, i, prefill, s.loads[i].Settled())
	} else if from := s.imports[i]; from >= 0 {
		result.ImportFrom = s.states[from].ID
	}
	return result
}

// predict fills in the estimates and feasibility of all candidates and returns the
// prefill partner for engines that only generate, or -1.
func (r *full) predict(now core.Instant, req *core.Request, s *scratch, n int) int {
	if req.Service != "" {
		for i, state := range s.states[:n] {
			s.estimates[i] = estimate.Service(state, s.loads[i])
			s.feasible[i] = estimate.Feasible(now, req, &s.estimates[i])
		}
		return -1
	}
	holder := mostHits(s, n)
	prefill := r.prefillPartner(req, s, n)
	for i, state := range s.states[:n] {
		s.imports[i] = -1
		switch {
		case role(state) == core.RoleMixed:
			s.estimates[i] = r.withImport(req, s, i, holder)
		case role(state) == core.RoleDecode && prefill >= 0:
			s.estimates[i] = r.paired(req, s, i, prefill, s.loads[i])
		default:
			s.feasible[i] = false
			continue
		}
		s.feasible[i] = estimate.Feasible(now, req, &s.estimates[i])
	}
	return prefill
}

// prefillPartner returns the prefill engine that has the prompt ready first, or -1. Among
// the near-best it takes the one that holds most of the prompt, and one at random among
// equals: with long queues the prefix saves little of the delay but all of its share of
// the work.
func (r *full) prefillPartner(req *core.Request, s *scratch, n int) int {
	best := estimate.Never + 1
	for i, state := range s.states[:n] {
		if role(state) == core.RolePrefill {
			_, ready := estimate.Prefill(req, state, s.loads[i], s.hits[i])
			s.estimates[i].Total = ready
			best = min(best, ready)
		}
	}
	chosen, equals := -1, 0
	limit := best + time.Duration(r.options.NearBest*float64(best))
	for i, state := range s.states[:n] {
		if role(state) != core.RolePrefill || s.estimates[i].Total > limit {
			continue
		}
		switch {
		case chosen < 0 || s.hits[i] > s.hits[chosen]:
			chosen, equals = i, 1
		case s.hits[i] == s.hits[chosen]:
			equals++
			if r.random.Below(equals) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// paired predicts a prompt computed by the prefill partner and generated by candidate i
// under the given load.
func (r *full) paired(req *core.Request, s *scratch, i, prefill int, load estimate.Load) core.Estimate {
	state := s.states[i]
	queue, ready := estimate.Prefill(req, s.states[prefill], s.loads[prefill], s.hits[prefill])
	missing := max(0, req.PromptTokens-s.hits[i])
	wait := max(estimate.MemoryWait(req, state, load, s.hits[i]), estimate.SlotWait(req, state, load))
	result := estimate.Decode(req, state, load, ready+r.transfer(missing)+wait)
	result.Queue = queue + wait
	result.PrefixTokens = s.hits[prefill]
	return result
}

// withImport predicts candidate i and imports the holder's prefix when the transfer is
// faster than computing it. The transfer runs while the request waits in the queue.
func (r *full) withImport(req *core.Request, s *scratch, i, holder int) core.Estimate {
	state, load, own := s.states[i], s.loads[i], s.hits[i]
	plain := estimate.Engine(req, state, load, own)
	if holder < 0 || holder == i || s.hits[holder] <= own || r.options.TransferRate <= 0 {
		return plain
	}
	gained := s.hits[holder] - own
	transfer := r.transfer(gained)
	if transfer >= estimate.Compute(state, gained) {
		return plain
	}
	imported := estimate.Engine(req, state, load, s.hits[holder])
	if late := transfer - imported.Queue; late > 0 {
		imported.FirstToken += late
		imported.Total += late
	}
	s.imports[i] = int8(holder)
	return imported
}

func (r *full) transfer(tokens int) time.Duration {
	if r.options.TransferRate <= 0 {
		return r.options.TransferLatency
	}
	moved := float64(tokens) / r.options.TransferRate
	return r.options.TransferLatency + time.Duration(moved*float64(time.Second))
}

func mostHits(s *scratch, n int) int {
	holder := -1
	for i, hits := range s.hits[:n] {
		if hits > 0 && (holder < 0 || hits > s.hits[holder]) {
			holder = i
		}
	}
	return holder
}
