package assign

import "time"

// maxSamples is the number of samples that are drawn until one has an engine within the limit. More
// would again lead all instances to the last engine that seems free.
const maxSamples = 2

// samplesEngines reports whether the choice is among samples of the engines, since many instances share
// summaries of loads.
func (a *Assigner) samplesEngines() bool {
	return a.opts.SampleSize > 0 && a.opts.Cells != nil && !a.opts.Cells.Cells().IsFleetWide
}

// choose returns the candidate with the least score among those within the limit. If there is none,
// ok is false and the candidate with the earliest first token is returned. While loads are known with
// a delay it compares the home and random samples of the others, but all engines for a request that
// requires a version, which few may have.
func (a *Assigner) choose(candidates []candidate, limit time.Duration, req *Request) (best candidate, ok bool) {
	if !a.samplesEngines() || req.Version != nil {
		return leastScore(candidates, limit)
	}
	homes := 0
	for i := range candidates {
		if candidates[i].isHome {
			candidates[i], candidates[homes] = candidates[homes], candidates[i]
			homes++
		}
	}
	others := candidates[homes:]
	for drawn := 0; drawn == 0 || !ok && drawn < min(len(others), maxSamples*a.opts.SampleSize); drawn += a.opts.SampleSize {
		end := min(len(others), drawn+a.opts.SampleSize)
		for i := drawn; i < end; i++ {
			j := i + a.opts.Random.IntN(len(others)-i)
			others[i], others[j] = others[j], others[i]
		}
		best, ok = leastScore(candidates[:homes+end], limit)
	}
	return best, ok
}

// leastScore returns the candidate with the least score among those within the limit, or the one with
// the earliest first token.
func leastScore(candidates []candidate, limit time.Duration) (best candidate, ok bool) {
	for i := range candidates {
		c := &candidates[i]
		switch isWithin := c.Expected <= limit; {
		case isWithin && (!ok || c.score < best.score):
			best, ok = *c, true
		case !ok && (best.Target == nil || c.Expected < best.Expected):
			best = *c
		}
	}
	return best, ok
}
