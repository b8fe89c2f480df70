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

type full struct {
	options FullOptions
	random  *random.Source
	// perTransfer is the transfer time of one prompt token, in nanoseconds.
	perTransfer float64
	// wide is set while the last decision needed the whole subset. The next one then
	// starts with it, so that overload does not add a first look to every decision.
	wide atomic.Bool
}

var _ core.Router = (*full)(nil)

// NewFull returns the full router. Targets that keep the request's deadline come first,
// then those that hold its prefix and are within the load bound, then those with the
// least expected delay; it chooses at random among near-best targets.
func NewFull(options FullOptions, source *random.Source) core.Router {
	options.Subset = clampSubset(options.Subset, MaxCandidates)
	options.Probe = min(clampSubset(options.Probe, DefaultProbe), options.Subset)
	result := &full{options: options, random: source}
	if options.TransferRate > 0 {
		result.perTransfer = float64(time.Second) / options.TransferRate
	}
	return result
}

// Route implements core.Router. When no target keeps the deadline it returns the one
// with the least delay and ReasonDeadline, so that admission can refuse by its estimate.
func (r *full) Route(now core.Instant, req *core.Request, fleet core.Fleet) core.Decision {
	s := scratches.Get().(*scratch)
	defer s.release()
	if !r.wide.Load() {
		n := s.look(now, req, fleet, r.options.Probe)
		result := r.among(now, req, fleet, s, n)
		if suitable(result) || n < r.options.Probe || r.options.Subset == r.options.Probe {
			return result
		}
		r.wide.Store(true)
	}
	n := s.look(now, req, fleet, r.options.Subset)
	result := r.among(now, req, fleet, s, n)
	if suitable(result) {
		r.wide.Store(false)
	}
	return result
}

// suitable reports whether looking at more candidates is not worth its time.
func suitable(result core.Decision) bool {
	return result.Reason != core.ReasonNoTarget && result.Reason != core.ReasonDeadline
}

func (r *full) among(now core.Instant, req *core.Request, fleet core.Fleet, s *scratch, n int) core.Decision {
	clear(s.hits[:n])
	if prefixes, ok := fleet.(PrefixFleet); ok && len(req.PrefixBlocks) > 0 {
		prefixes.PrefixHits(req, s.states[:n], s.hits[:n])
	}
	prefill := r.predict(now, req, s, n)
	set := &s.set
	if set.count == 0 {
		return core.Decision{Reason: core.ReasonNoTarget}
	}
	i, reason := r.pick(now, req, s, set)
	result := core.Decision{Target: s.states[i].ID, Estimate: s.estimates[i], Reason: reason}
	if req.Service != "" {
		return result
	}
	if s.roles[i] == core.RoleDecode {
		result.Prefill = s.states[prefill].ID
		// Targets are compared by all that was promised to them, which balances them,
		// but the answer is expected under the load that will be left by then.
		settled := s.loads[i].SteadyState()
		r.paired(req, s, i, prefill, &settled)
		result.Estimate = s.estimates[i]
	} else if from := s.imports[i]; from >= 0 {
		result.ImportFrom = s.states[from].ID
	}
	return result
}

// predict fills in the pool with the estimates of the candidates that can produce an
// answer, and returns the prefill partner for engines that only generate, or -1.
func (r *full) predict(now core.Instant, req *core.Request, s *scratch, n int) int {
	s.set.count, s.set.feasible = 0, 0
	if req.Service != "" {
		for i, state := range s.states[:n] {
			estimate.Service(&s.estimates[i], state, &s.loads[i])
			s.join(now, req, i)
		}
		return -1
	}
	holder := mostHits(s, n)
	prefill, queue, ready := r.prefillPartner(req, s, n)
	s.queue, s.ready = queue, ready
	for i := range s.states[:n] {
		s.imports[i] = -1
		switch s.roles[i] {
		case core.RoleMixed:
			r.withImport(req, s, i, holder)
		case core.RoleDecode:
			if prefill < 0 {
				continue
			}
			r.paired(req, s, i, prefill, &s.loads[i])
		default:
			continue
		}
		s.join(now, req, i)
	}
	return prefill
}

// join makes candidate i a member of the pool.
func (s *scratch) join(now core.Instant, req *core.Request, i int) {
	s.set.members[s.set.count] = int8(i)
	s.set.count++
	s.feasible[i] = estimate.Feasible(now, req, &s.estimates[i])
	if s.feasible[i] {
		s.set.feasible++
	}
}

// paired predicts a prompt computed by the prefill partner and generated by candidate i
// under the given load.
func (r *full) paired(req *core.Request, s *scratch, i, prefill int, load *estimate.Load) {
	state, result := s.states[i], &s.estimates[i]
	missing := max(0, req.PromptTokens-s.hits[i])
	wait := max(estimate.MemoryWait(req, state, load, s.hits[i]), estimate.SlotWait(req, state, load))
	estimate.Decode(result, req, state, load, s.ready+r.transfer(missing)+wait)
	result.Queue = s.queue + wait
	result.PrefixTokens = s.hits[prefill]
}

// prefillPartner returns the prefill engine that has the prompt ready first, with its
// queueing delay and the delay until ready. Among the near-best it takes the one that
// holds most of the prompt, and one at random among equals: with long queues the prefix
// saves little of the delay but all of its share of the work.
func (r *full) prefillPartner(req *core.Request, s *scratch, n int) (int, time.Duration, time.Duration) {
	if s.prefills == 0 {
		return -1, 0, 0
	}
	best := 4 * estimate.MaxDelay // queue and computation are at most Never each
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

// withImport predicts candidate i and imports the holder's prefix when the transfer is
// faster than computing it. The transfer runs while the request waits in the queue.
func (r *full) withImport(req *core.Request, s *scratch, i, holder int) {
	state, load, hits, result := s.states[i], &s.loads[i], s.hits[i], &s.estimates[i]
	if holder < 0 || s.hits[holder] <= hits || r.options.TransferRate <= 0 {
		estimate.Engine(result, req, state, load, hits)
		return
	}
	gained := s.hits[holder] - hits
	transfer := r.transfer(gained)
	if transfer >= load.PrefillTime(gained) {
		estimate.Engine(result, req, state, load, hits)
		return
	}
	estimate.Engine(result, req, state, load, s.hits[holder])
	if late := transfer - result.Queue; late > 0 {
		result.FirstToken += late
		result.Total += late
	}
	s.imports[i] = int8(holder)
}

func (r *full) transfer(tokens int) time.Duration {
	return r.options.TransferLatency + time.Duration(float64(tokens)*r.perTransfer)
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
