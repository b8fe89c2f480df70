package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gorseline/core"
)

// offeredWork is the computing time of the prompts that come to this instance, per time, as an
// average with the time constant offeredTime.
type offeredWork struct {
	rate float64
	at   core.Instant
}

// offeredTime covers several prompts of one of many instances in a burst, and is much shorter than bursts.
const offeredTime = 300 * time.Millisecond

func (o *offeredWork) add(now core.Instant, work time.Duration) {
	o.rate = o.current(now) + work.Seconds()/offeredTime.Seconds()
	o.at = now
}

func (o *offeredWork) current(now core.Instant) float64 {
	return o.rate * math.Exp(-now.Sub(o.at).Seconds()/offeredTime.Seconds())
}

// hiddenRate returns the computing time, per time, of the prompts that other instances send to the
// engines of this cell. Callers are spread over the instances by capacity, so the others of the data
// centre are assumed to be offered as much as this one. It is 0 if no summaries are in use.
func (a *Assigner) hiddenRate(now core.Instant, m *serviceModel) float64 {
	if !a.samplesEngines() {
		return 0
	}
	share := a.opts.Cells.Cells().CallerShare
	if share <= 0 || share >= 1 {
		return 0
	}
	return m.offered.current(now) * (1 - share) / share
}

// addHidden adds to the candidates what other instances have sent to them since the summaries of
// their loads. The others prefer engines on which less is waiting, which are taken to be filled up to an
// equal level.
func addHidden(candidates []candidate, rate float64) {
	if rate == 0 || len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.Expected, b.Expected) })
	age := time.Duration(0)
	for i := range candidates {
		age = max(age, candidates[i].loadAge)
	}
	level := levelAfter(candidates, time.Duration(rate*float64(age)))
	for i := range candidates {
		if c := &candidates[i]; c.loadAge > 0 {
			c.delay(level - c.Expected)
		}
	}
}

// levelAfter returns the expected time up to which the candidates, in ascending order, are filled by
// some work.
func levelAfter(candidates []candidate, work time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := range candidates {
		sum += candidates[i].Expected
		level := (sum + work) / time.Duration(i+1)
		if i+1 == len(candidates) || level <= candidates[i+1].Expected {
			return level
		}
	}
	return 0
}

// delay adds to the backlog of the candidate, if extra is positive.
func (c *candidate) delay(extra time.Duration) {
	extra = max(0, extra)
	c.Backlog += extra
	c.Expected += extra
	c.score += extra
}
