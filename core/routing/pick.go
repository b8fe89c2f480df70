package routing

import (
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
)

// pool is the set of candidates that can produce an answer: the indices of the scratch
// that are members, in ring order.
type pool struct {
	members [MaxCandidates]int8
	count   int
	// feasible counts the members that keep the deadline.
	feasible int
}

// keep drops the members for which wanted is false.
func (p *pool) keep(wanted func(i int) bool) {
	kept := 0
	for _, i := range p.members[:p.count] {
		if wanted(int(i)) {
			p.members[kept] = i
			kept++
		}
	}
	p.count = kept
}

// preferSteady drops the mixed engines when engines that only generate remain. A mixed
// engine computes prompts between its decode steps, so a prompt that arrives during a
// short answer can double the time between its tokens.
func (p *pool) preferSteady(s *scratch) {
	steady := func(i int) bool { return s.roles[i] == core.RoleDecode }
	for _, i := range p.members[:p.count] {
		if steady(int(i)) {
			p.keep(steady)
			return
		}
	}
}

// pick chooses a member of a pool that isn't empty.
func (r *full) pick(now core.Instant, req *core.Request, s *scratch, set *pool) (int, core.Reason) {
	reason := core.ReasonLeastDelay
	switch set.feasible {
	case 0:
		reason = core.ReasonDeadline
	case set.count:
	default:
		set.keep(func(i int) bool { return s.feasible[i] })
	}
	if req.Kind.BetweenTokens > 0 {
		set.preferSteady(s)
	}
	if reason != core.ReasonDeadline && r.keepHolders(req, s, set) {
		return r.nearBest(now, s, set, set.count), core.ReasonPrefixHit
	}
	spread := MaxCandidates
	if len(req.PrefixBlocks) > 0 {
		spread = max(1, r.options.Spread)
	}
	return r.nearBest(now, s, set, spread), reason
}

// keepHolders keeps the members that hold nearly the longest prefix and are within the
// load bound. It reports false, and changes nothing, if there are none.
func (r *full) keepHolders(req *core.Request, s *scratch, set *pool) bool {
	least := max(1, int(r.options.MinimumPrefixShare*float64(req.PromptTokens)))
	sequences, wait, longest := 1, time.Duration(0), 0
	for _, i := range set.members[:set.count] {
		sequences += s.loads[i].Sequences
		wait += s.loads[i].Wait
		longest = max(longest, s.hits[i])
	}
	if longest < least {
		return false
	}
	scale := r.options.LoadBound / float64(set.count)
	mostSequences := int(float64(sequences)*scale) + 1
	longestWait := time.Duration(float64(wait) * scale)
	eligible := func(i int) bool {
		load := &s.loads[i]
		return s.hits[i] >= least && load.Sequences <= mostSequences &&
			load.Wait <= longestWait+load.PrefillTime(req.PromptTokens)
	}
	longest = 0
	for _, i := range set.members[:set.count] {
		if eligible(int(i)) {
			longest = max(longest, s.hits[i])
		}
	}
	if longest == 0 {
		return false
	}
	// Hits that differ by less than a tenth save about the same work.
	set.keep(func(i int) bool { return eligible(i) && s.hits[i] >= longest-longest/10 })
	return true
}

// nearBest returns a random one of the first spread members whose delay is close to the
// least. Older reports widen what counts as close.
func (r *full) nearBest(now core.Instant, s *scratch, set *pool, spread int) int {
	best := s.estimates[set.members[0]].Total
	for _, i := range set.members[1:set.count] {
		best = min(best, s.estimates[i].Total)
	}
	near := best + time.Duration(r.options.NearBest*float64(best))
	widest := near + time.Duration(r.options.NearBestPerAge*float64(maximumAge))
	chosen, equals := int(set.members[0]), 0
	for _, i := range set.members[:set.count] {
		total := s.estimates[i].Total
		if total > widest {
			continue
		}
		aged := time.Duration(r.options.NearBestPerAge * float64(min(estimate.ReportAge(now, s.states[i]), maximumAge)))
		if total > near+aged {
			continue
		}
		equals++
		if r.random.IntN(equals) == 0 {
			chosen = int(i)
		}
		if equals == spread {
			break
		}
	}
	return chosen
}

// maximumAge bounds the age that widens the near-best set: load is polled every 2 s, so
// a report older than a few polls says that polling failed, not that loads differ more.
const maximumAge = 10 * time.Second
