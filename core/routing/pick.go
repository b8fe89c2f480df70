package routing

import (
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
)

// pool is the set of candidates that can produce an answer.
type pool struct {
	// members are the indices of the candidates in the scratch, in ring order.
	members [MaxCandidates]int8
	count   int
	// feasibleCount is the number of members that meet the deadline and the limits of the kind.
	feasibleCount int
}

// retain removes the members for which accept returns false.
func (p *pool) retain(accept func(i int) bool) {
	kept := 0
	for _, i := range p.members[:p.count] {
		if accept(int(i)) {
			p.members[kept] = i
			kept++
		}
	}
	p.count = kept
}

// preferDecodeEngines removes all other engines if the pool has decode engines. A mixed
// engine computes prompts between its decode steps, so a prompt that arrives during a
// short answer can double the time between the answer's tokens.
func (p *pool) preferDecodeEngines(s *scratch) {
	isDecode := func(i int) bool { return s.roles[i] == core.RoleDecode }
	for _, i := range p.members[:p.count] {
		if isDecode(int(i)) {
			p.retain(isDecode)
			return
		}
	}
}

// pick chooses a member of the pool, which must not be empty.
func (r *fullRouter) pick(now core.Instant, req *core.Request, s *scratch, p *pool) (int, core.Reason) {
	reason := core.ReasonLeastDelay
	switch p.feasibleCount {
	case 0:
		reason = core.ReasonDeadline
	case p.count:
	default:
		p.retain(func(i int) bool { return s.feasible[i] })
	}
	if req.Kind.BetweenTokens > 0 {
		p.preferDecodeEngines(s)
	}
	if reason != core.ReasonDeadline && r.retainHolders(req, s, p) {
		return r.pickNearBest(now, s, p, p.count), core.ReasonPrefixHit
	}
	spread := MaxCandidates
	if len(req.PrefixBlocks) > 0 {
		spread = max(1, r.options.Spread)
	}
	return r.pickNearBest(now, s, p, spread), reason
}

// retainHolders reduces the pool to the members within the load bound that hold nearly the
// longest prefix. If there are none, it returns false and leaves the pool unchanged.
func (r *fullRouter) retainHolders(req *core.Request, s *scratch, p *pool) bool {
	minHits := max(1, int(r.options.MinimumPrefixShare*float64(req.PromptTokens)))
	sequences, wait, longest := 1, time.Duration(0), 0
	for _, i := range p.members[:p.count] {
		sequences += s.loads[i].Sequences
		wait += s.loads[i].Wait
		longest = max(longest, s.hits[i])
	}
	if longest < minHits {
		return false
	}
	scale := r.options.LoadBound / float64(p.count)
	maxSequences := int(float64(sequences)*scale) + 1
	maxWait := time.Duration(float64(wait) * scale)
	eligible := func(i int) bool {
		load := &s.loads[i]
		return s.hits[i] >= minHits && load.Sequences <= maxSequences &&
			load.Wait <= maxWait+load.PrefillTime(req.PromptTokens)
	}
	longest = 0
	for _, i := range p.members[:p.count] {
		if eligible(int(i)) {
			longest = max(longest, s.hits[i])
		}
	}
	if longest == 0 {
		return false
	}
	// Prefix hits that differ by less than a tenth save about the same work.
	p.retain(func(i int) bool { return eligible(i) && s.hits[i] >= longest-longest/10 })
	return true
}

// pickNearBest returns a random one of the first spread members that are near-best, that is,
// whose delay is close to the least one. The tolerance grows with the age of the report.
func (r *fullRouter) pickNearBest(now core.Instant, s *scratch, p *pool, spread int) int {
	best := s.estimates[p.members[0]].Total
	for _, i := range p.members[1:p.count] {
		best = min(best, s.estimates[i].Total)
	}
	near := best + time.Duration(r.options.NearBest*float64(best))
	widest := near + time.Duration(r.options.NearBestPerAge*float64(maxReportAge))
	chosen, equals := int(p.members[0]), 0
	for _, i := range p.members[:p.count] {
		total := s.estimates[i].Total
		if total > widest {
			continue
		}
		aged := time.Duration(r.options.NearBestPerAge * float64(min(estimate.ReportAge(now, s.states[i]), maxReportAge)))
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

// maxReportAge is the age up to which a report widens the near-best set. Load is polled
// every 2 s, so a report that is older than a few polls is a sign of failed polls and not
// of larger differences in load.
const maxReportAge = 10 * time.Second
