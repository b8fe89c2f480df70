package placement

import (
	"math"
	"time"

	"gorseline/core"
)

// demand is the work of a model's requests, in engine-seconds per second.
type demand struct {
	prefill float64
	decode  float64
}

// average is an exponentially weighted moving average (EWMA) of the demand.
type average struct {
	timeConstant time.Duration
	value        demand
	initialised  bool
}

func (a *average) observe(elapsed time.Duration, d demand) {
	if !a.initialised {
		a.value, a.initialised = d, true
		return
	}
	keep := math.Exp(-elapsed.Seconds() / a.timeConstant.Seconds())
	a.value.prefill = keep*a.value.prefill + (1-keep)*d.prefill
	a.value.decode = keep*a.value.decode + (1-keep)*d.decode
}

// trend averages the demand, and with it the prompt-to-output ratio, with a short and a
// long time constant. The short average follows a shift of the ratio; the long one keeps
// the level before a short burst.
type trend struct {
	short, long average
	observedAt  core.Instant
	startedAt   core.Instant
}

// warmedUp reports whether the demand has been observed for the given time. In the first
// seconds after a start, caches are cold and few requests have arrived.
func (t *trend) warmedUp(now core.Instant, after time.Duration) bool {
	return now.Sub(t.startedAt) >= after
}

func (t *trend) observe(now core.Instant, d demand) {
	if !t.short.initialised {
		t.startedAt = now
	}
	elapsed := now.Sub(t.observedAt)
	t.observedAt = now
	t.short.observe(elapsed, d)
	t.long.observe(elapsed, d)
}

// demandOf converts offered token rates to engine time with the learned rates of
// the engines. An engine in a pure role learns only the rate of that role, so each rate is
// averaged over the engines for which it is known. demandOf returns false while either
// rate is unknown for all engines.
func demandOf(view *core.PlacementView, batch int) (demand, bool) {
	var prefill, decode mean
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.PrefillRate > 0 {
			prefill.add(e.PrefillRate)
		}
		if e.StepBase+e.StepPerSequence > 0 {
			decode.add(e.StepBase.Seconds()/float64(batch) + e.StepPerSequence.Seconds())
		}
	}
	if prefill.count == 0 || decode.count == 0 {
		return demand{}, false
	}
	return demand{prefill: view.PromptRate / prefill.value(), decode: view.OutputRate * decode.value()}, true
}

// mean accumulates an arithmetic mean.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(v float64) {
	m.sum += v
	m.count++
}

func (m *mean) value() float64 { return m.sum / float64(m.count) }
