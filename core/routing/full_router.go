package routing

import (
	"sync/atomic"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/estimate"
)

// FullOptions are the settings of the full router.
type FullOptions struct {
	// Subset is the maximum number of candidates, at most MaxCandidates.
	Subset int
	// Probe is the number of candidates that are considered first.
	Probe int
	// LoadBound is the maximum load, relative to the mean, of a target that is preferred
	// for its prefix hits.
	LoadBound float64
	// MinimumPrefixShare is the fraction of the prompt that a target must have cached to be
	// preferred.
	MinimumPrefixShare float64
	// NearBest is the fraction by which a delay may exceed the least one and still count as
	// equal to it.
	NearBest float64
	// NearBestPerAge is the fraction of a load report's age by which the delay may
	// additionally exceed the least one.
	NearBestPerAge float64
	// Spread is the number of near-best targets, in ring order, among which prompts with
	// the same first block are distributed while no target has their prefix cached.
	Spread int
	// TransferRate is the rate of KV cache transfers between engines, in prompt tokens per
	// second; 0 disables imports.
	TransferRate float64
	// TransferLatency is the part of the transfer time that doesn't depend on the size.
	TransferLatency time.Duration
}

// DefaultFullOptions returns the default settings.
func DefaultFullOptions() FullOptions {
	return FullOptions{
		Subset:             MaxCandidates,
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

type fullRouter struct {
	options FullOptions
	random  *random.Source
	// transferPerToken is the transfer time of one prompt token, in nanoseconds.
	transferPerToken float64
	// skipProbe is set if the last decision found no suitable target even in the whole
	// subset. The next one then considers the subset at once, so that overload doesn't add
	// a useless probe to every decision.
	skipProbe atomic.Bool
}

var _ core.Router = (*fullRouter)(nil)

// NewFull returns the full router. It prefers the targets that can meet the request's
// deadline, among these the ones that have its prefix cached and are within the load
// bound, and among these the ones with the least expected delay. It chooses at random
// among near-best targets.
func NewFull(options FullOptions, source *random.Source) core.Router {
	options.Subset = clampSubset(options.Subset, MaxCandidates)
	options.Probe = min(clampSubset(options.Probe, DefaultProbe), options.Subset)
	result := &fullRouter{options: options, random: source}
	if options.TransferRate > 0 {
		result.transferPerToken = float64(time.Second) / options.TransferRate
	}
	return result
}

// Route implements core.Router. If no target can meet the deadline, it returns the one with
// the least delay and core.ReasonDeadline, so that admission control can use its estimate
// to refuse the request.
func (r *fullRouter) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	s := scratchPool.Get().(*scratch)
	defer s.release()
	if !r.skipProbe.Load() {
		n := s.collect(now, req, fleet, r.options.Probe)
		result := r.choose(now, req, fleet, s, n)
		if suitable(result) || n < r.options.Probe || r.options.Subset == r.options.Probe {
			return result
		}
		r.skipProbe.Store(true)
	}
	n := s.collect(now, req, fleet, r.options.Subset)
	result := r.choose(now, req, fleet, s, n)
	if suitable(result) {
		r.skipProbe.Store(false)
	}
	return result
}

// suitable reports whether the decision is good enough not to consider more candidates.
func suitable(result core.Decision) bool {
	return result.Reason != core.ReasonNoTarget && result.Reason != core.ReasonDeadline
}

// choose decides among the first n candidates of the scratch.
func (r *fullRouter) choose(now core.Instant, req *core.Request, fleet core.Fleet, s *scratch, n int) core.Decision {
	clear(s.hits[:n])
	if prefixes, ok := fleet.(PrefixFleet); ok && len(req.PrefixBlocks) > 0 {
		prefixes.PrefixHits(req, s.states[:n], s.hits[:n])
	}
	prefill := r.buildPool(now, req, s, n)
	p := &s.pool
	if p.count == 0 {
		return core.Decision{Reason: core.ReasonNoTarget}
	}
	i, reason := r.pick(now, req, s, p)
	result := core.Decision{Target: s.states[i].ID, Estimate: s.estimates[i], Reason: reason}
	if req.Service != "" {
		return result
	}
	if s.roles[i] == core.RoleDecode {
		result.Prefill = s.states[prefill].ID
		// The choice counts all requests that were sent to a target, even those whose prompts
		// are still queued at prefill engines, so that it balances the targets. The returned
		// estimate uses the load that is expected when the answer is generated.
		steady := s.loads[i].SteadyState()
		r.estimatePaired(req, s, i, prefill, &steady)
		result.Estimate = s.estimates[i]
	} else if from := s.importSources[i]; from >= 0 {
		result.ImportFrom = s.states[from].ID
	}
	return result
}

// buildPool estimates the candidates that can produce an answer and adds them to the pool.
// It returns the prefill partner of decode engines, or -1.
func (r *fullRouter) buildPool(now core.Instant, req *core.Request, s *scratch, n int) int {
	s.pool.count, s.pool.feasibleCount = 0, 0
	if req.Service != "" {
		for i, state := range s.states[:n] {
			estimate.Service(&s.estimates[i], state, &s.loads[i])
			s.addToPool(now, req, i)
		}
		return -1
	}
	holder := bestHolder(s, n)
	prefill, queue, ready := r.prefillPartner(req, s, n)
	s.prefillQueue, s.prefillReady = queue, ready
	for i := range s.states[:n] {
		s.importSources[i] = -1
		switch s.roles[i] {
		case core.RoleMixed:
			r.estimateMixed(req, s, i, holder)
		case core.RoleDecode:
			if prefill < 0 {
				continue
			}
			r.estimatePaired(req, s, i, prefill, &s.loads[i])
		default:
			continue
		}
		s.addToPool(now, req, i)
	}
	return prefill
}

// addToPool adds candidate i to the pool.
func (s *scratch) addToPool(now core.Instant, req *core.Request, i int) {
	s.pool.members[s.pool.count] = int8(i)
	s.pool.count++
	s.feasible[i] = estimate.Feasible(now, req, &s.estimates[i])
	if s.feasible[i] {
		s.pool.feasibleCount++
	}
}

// estimatePaired sets the estimate of candidate i for generating an answer under the given
// load from a prompt that the prefill partner computes.
func (r *fullRouter) estimatePaired(req *core.Request, s *scratch, i, prefill int, load *estimate.Load) {
	state, result := s.states[i], &s.estimates[i]
	missing := max(0, req.PromptTokens-s.hits[i])
	wait := max(estimate.MemoryWait(req, state, load, s.hits[i]), estimate.SlotWait(req, state, load))
	estimate.Decode(result, req, state, load, s.prefillReady+r.transferTime(missing)+wait)
	result.Queue = s.prefillQueue + wait
	result.PrefixTokens = s.hits[prefill]
}

// prefillPartner returns the engine that computes the prompt for decode engines, with its
// queueing delay and the delay until the prompt is computed. Of the engines that are
// near-best it takes the one with the most prefix hits, or a random one among equals: with
// long queues a prefix hit reduces the delay only slightly but still saves its full share
// of the work.
func (r *fullRouter) prefillPartner(req *core.Request, s *scratch, n int) (int, time.Duration, time.Duration) {
	if s.prefillCount == 0 {
		return -1, 0, 0
	}
	// Queueing and computing take at most estimate.MaxDelay each, so any delay is below this.
	best := 4 * estimate.MaxDelay
	for i, state := range s.states[:n] {
		if s.roles[i] == core.RolePrefill {
			_, ready := estimate.Prefill(req, state, &s.loads[i], s.hits[i])
			s.estimates[i].Total = ready
			best = min(best, ready)
		}
	}
	chosen, equals := -1, 0
	limit := best + time.Duration(r.options.NearBest*float64(best))
	for i := range s.states[:n] {
		if s.roles[i] != core.RolePrefill || s.estimates[i].Total > limit {
			continue
		}
		switch {
		case chosen < 0 || s.hits[i] > s.hits[chosen]:
			chosen, equals = i, 1
		case s.hits[i] == s.hits[chosen]:
			equals++
			if r.random.IntN(equals) == 0 {
				chosen = i
			}
		}
	}
	queue, ready := estimate.Prefill(req, s.states[chosen], &s.loads[chosen], s.hits[chosen])
	return chosen, queue, ready
}

// estimateMixed sets the estimate of candidate i, a mixed engine. The candidate imports the
// holder's prefix if the transfer is faster than computing it. The transfer overlaps with
// the request's time in the queue.
func (r *fullRouter) estimateMixed(req *core.Request, s *scratch, i, holder int) {
	state, load, hits, result := s.states[i], &s.loads[i], s.hits[i], &s.estimates[i]
	if holder < 0 || s.hits[holder] <= hits || r.options.TransferRate <= 0 {
		estimate.Engine(result, req, state, load, hits)
		return
	}
	gained := s.hits[holder] - hits
	transfer := r.transferTime(gained)
	if transfer >= load.PrefillTime(gained) {
		estimate.Engine(result, req, state, load, hits)
		return
	}
	estimate.Engine(result, req, state, load, s.hits[holder])
	if delay := transfer - result.Queue; delay > 0 {
		result.FirstToken += delay
		result.Total += delay
	}
	s.importSources[i] = int8(holder)
}

func (r *fullRouter) transferTime(tokens int) time.Duration {
	return r.options.TransferLatency + time.Duration(float64(tokens)*r.transferPerToken)
}

// bestHolder returns the candidate with the most prefix hits, or -1 if there are none.
func bestHolder(s *scratch, n int) int {
	holder := -1
	for i, hits := range s.hits[:n] {
		if hits > 0 && (holder < 0 || hits > s.hits[holder]) {
			holder = i
		}
	}
	return holder
}
