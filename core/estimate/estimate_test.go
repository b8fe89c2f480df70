package estimate_test

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
)

// randomObservation draws an observation of an engine with the given rates, with noise of
// 10% and one outlier in 20.
func randomObservation(source *rand.Rand, rate float64, base, per time.Duration) estimate.Observation {
	noise := func() float64 {
		if source.Intn(20) == 0 {
			return 50
		}
		return 0.9 + 0.2*source.Float64()
	}
	sequences := 1 + source.Intn(40)
	step := base + per*time.Duration(sequences)
	work := 500 + source.Intn(20_000)
	return estimate.Observation{
		Backlog:       float64(work / 2),
		Computed:      work - work/2,
		FirstToken:    time.Duration(noise()*float64(work)/rate*1e9) + step,
		Sequences:     sequences,
		BetweenTokens: time.Duration(noise() * float64(step)),
	}
}

// Guards against learned rates that don't converge to the true ones, or that change with a
// single stalled connection.
func TestLearnFindsRatesDespiteOutliers(t *testing.T) {
	for seed := range int64(5) {
		source := rand.New(rand.NewSource(seed))
		state := &core.TargetState{}
		const rate, base, per = 20_000.0, 20 * time.Millisecond, time.Millisecond
		for range 400 {
			estimate.Learn(state, randomObservation(source, rate, base, per))
		}
		if ratio := state.PrefillRate / rate; ratio < 0.7 || ratio > 1.3 {
			t.Errorf("seed %d: prefill rate %.0f, want about %.0f", seed, state.PrefillRate, rate)
		}
		for _, n := range []int{4, 16, 32} {
			want := base + per*time.Duration(n)
			if ratio := float64(estimate.StepTime(state, n)) / float64(want); ratio < 0.7 || ratio > 1.4 {
				t.Errorf("seed %d: step of %d sequences %v, want about %v", seed, n, estimate.StepTime(state, n), want)
			}
		}
		known := *state
		estimate.Learn(state, estimate.Observation{Computed: 1000, FirstToken: time.Hour, Sequences: 8, BetweenTokens: time.Hour})
		if change := math.Abs(math.Log(state.PrefillRate / known.PrefillRate)); change > 0.12 {
			t.Errorf("seed %d: one outlier changed the prefill rate by %.2f", seed, change)
		}
	}
}

// Guards against estimates that ignore one of their inputs: each case changes one input, and
// the total must become shorter or longer.
func TestEstimateFollowsItsInputs(t *testing.T) {
	state := func(change func(*core.TargetState)) *core.TargetState {
		s := &core.TargetState{PrefillRate: 10_000, StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond}
		s.Report = core.LoadReport{QueuedRequests: 2, Running: 8, QueuedPromptTokens: 20_000, KVUsed: 50_000, KVCapacity: 100_000}
		change(s)
		return s
	}
	request := func(change func(*core.Request)) *core.Request {
		r := &core.Request{PromptTokens: 4000, OutputTokens: 100}
		change(r)
		return r
	}
	same, plain := func(*core.TargetState) {}, func(*core.Request) {}
	base := estimate.Target(0, request(plain), state(same), 0)
	// 20,000 queued tokens and 4,000 of the prompt at 10,000 per second, and a step of 11 sequences.
	if want := 2400*time.Millisecond + 21*time.Millisecond; base.FirstToken != want || base.Queue != 2*time.Second {
		t.Errorf("first token after %v, queue %v; want %v", base.FirstToken, base.Queue, want)
	}
	cases := map[string]struct {
		got  core.Estimate
		less bool
	}{
		"prefix hit":   {estimate.Target(0, request(plain), state(same), 2000), true},
		"urgent":       {estimate.Target(0, request(func(r *core.Request) { r.Kind.Urgent = true }), state(same), 0), true},
		"old report":   {estimate.Target(core.Instant(time.Second), request(plain), state(same), 0), true},
		"faster":       {estimate.Target(0, request(plain), state(func(s *core.TargetState) { s.PrefillRate = 20_000 }), 0), true},
		"sent":         {estimate.Target(0, request(plain), state(func(s *core.TargetState) { s.SentPromptTokens = 5000 }), 0), false},
		"batch":        {estimate.Target(0, request(plain), state(func(s *core.TargetState) { s.Report.Running = 20 }), 0), false},
		"no slot":      {estimate.Target(0, request(plain), state(func(s *core.TargetState) { s.Report.Slots = 8 }), 0), false},
		"mixed engine": {estimate.Target(0, request(plain), state(func(s *core.TargetState) { s.Report.Role = core.RoleMixed }), 0), false},
		"memory":       {estimate.Target(0, request(plain), state(func(s *core.TargetState) { s.Report.KVUsed = 99_000 }), 0), false},
	}
	for name, c := range cases {
		if (c.got.Total < base.Total) != c.less || c.got.Total == base.Total {
			t.Errorf("%s: total %v, before %v", name, c.got.Total, base.Total)
		}
	}
	urgent := request(func(r *core.Request) { r.Kind.Urgent = true })
	ahead := state(func(s *core.TargetState) { s.UrgentTokens = 5000 })
	if more := estimate.Target(0, urgent, ahead, 0).Queue - estimate.Target(0, urgent, state(same), 0).Queue; more != 500*time.Millisecond {
		t.Errorf("5000 urgent tokens ahead delay an urgent request by %v", more)
	}
	tooLong := request(func(r *core.Request) { r.PromptTokens = 200_000 })
	if got := estimate.Target(0, tooLong, state(same), 0); got.Total < estimate.MaxDelay {
		t.Errorf("a prompt above the KV capacity is expected within %v", got.Total)
	}
	service := request(func(r *core.Request) { r.Service = "limit-ledger" })
	if got := estimate.Target(0, service, state(same), 0); got.Total != 21*time.Millisecond {
		t.Errorf("service call: %v", got.Total)
	}
}

// Guards against default rates that remain in use for minutes: the rate of a target with a
// third of the default must be learned within ten answers.
func TestRateOfAnUnknownTargetIsLearnedFast(t *testing.T) {
	state := &core.TargetState{}
	const rate = estimate.DefaultPrefillRate / 3.2
	for range 10 {
		estimate.Learn(state, estimate.Observation{Computed: 4000, FirstToken: time.Duration(4000 / rate * float64(time.Second)), Sequences: 1})
	}
	if state.PrefillRate < rate*0.9 || state.PrefillRate > rate*1.1 {
		t.Errorf("learned %.0f tokens/s, want %.0f", state.PrefillRate, rate)
	}
}
