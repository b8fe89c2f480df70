package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gorseline/core"
)

// simulate returns the totals of simulated requests. The share of requests answered in time
// varies by organisation around a mean.
func simulate(rng *rand.Rand, organisations, requests int, mean float64) PolicyTotals {
	var c comparison
	for i := range organisations {
		inTimeShare := min(1, max(0, mean+0.15*(2*rng.Float64()-1)))
		request := &core.Request{Organisation: core.Organisation(fmt.Sprint(i)), Kind: core.Kind{Weight: 1 + float64(i%4)}}
		for range requests {
			c.add(FinishedRequest{Request: request, Policy: "p", Outcome: core.OutcomeDone, InTime: rng.Float64() < inTimeShare})
		}
	}
	all, _ := c.totals()
	return all["p"]
}

// Guards against confidence intervals that are too narrow because requests of one
// organisation count as independent: about 95% of the intervals cover the true share.
func TestIntervalsCoverTheTrueShare(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0))
	const runs, mean = 400, 0.8
	covered := 0
	for range runs {
		share, half, known := simulate(rng, 30, 40, mean).Share()
		if known && math.Abs(share-mean) <= half {
			covered++
		}
	}
	// 95% of 400 runs are 380, with a standard deviation of 4.4.
	if covered < 380-4*5 {
		t.Errorf("%d of %d intervals cover the true share", covered, runs)
	}
}

// Guards against an experiment that is ended by chance or continues while it harms callers,
// and against requests of earlier revisions in its totals.
func TestHarmNeedsEvidence(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 0))
	good, bad := simulate(rng, 40, 50, 0.9), simulate(rng, 40, 50, 0.6)
	if !bad.Harms(good, 0.1) {
		t.Errorf("a loss of 0.3 does not count as harm above 0.1: %+v", bad.LossAgainst(good))
	}
	if good.Harms(bad, 0.1) || simulate(rng, 40, 50, 0.9).Harms(good, 0.05) {
		t.Error("harm is reported without a loss")
	}
	if simulate(rng, 3, 500, 0.1).Harms(good, 0.1) {
		t.Error("harm is reported for only three organisations")
	}
	var c comparison
	c.reset(5)
	c.add(FinishedRequest{Request: &core.Request{Revision: 4}, Policy: "p"})
	if all, since := c.totals(); len(all) != 0 || since != 5 {
		t.Errorf("totals %v since %d", all, since)
	}
}
