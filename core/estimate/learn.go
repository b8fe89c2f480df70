package estimate

import (
	"math"
	"time"

	"gorseline/core"
)

// Observation is what an answer showed about its target.
type Observation struct {
	// Backlog is the prompt work in tokens that the request found queued.
	Backlog float64
	// Computed is the part of the prompt that the target had to compute, in tokens.
	Computed int
	// FirstToken is the delay from the send until the first token.
	FirstToken time.Duration
	// Sequences is the mean number of sequences that ran beside the answer, itself
	// included. For a plain service it is the number of calls ahead, itself included.
	Sequences int
	// BetweenTokens is the mean time between the answer's tokens, or the whole time of a
	// call of a plain service; 0 if nothing was observed.
	BetweenTokens time.Duration
}

const (
	// learningRate is the weight of one observation. It forgets half of the past in 7
	// observations, fast enough for a mix that shifts within minutes.
	learningRate = 0.1
	// outlierFactor bounds how far one observation may differ from what is known. A
	// lost packet or a paused process must not look like a slow engine.
	outlierFactor = 3.0
	// minimumWork is the prompt work, in tokens, below which the delay until the first
	// token is mostly overhead and says little about the prefill rate.
	minimumWork = 256.0
	// sequenceScale balances the two parts of the step time in one update: batches of
	// about this size teach both equally.
	sequenceScale = 16.0
	minimumStep   = 10 * time.Microsecond
)

// Learn moves the rates in state towards the observation.
func Learn(state *core.TargetState, observed Observation) {
	learnPrefill(state, observed)
	learnStep(state, observed)
}

func learnPrefill(state *core.TargetState, observed Observation) {
	work := observed.Backlog + float64(observed.Computed)
	delay := (observed.FirstToken - StepTime(state, max(1, observed.Sequences))).Seconds()
	if work < minimumWork || observed.FirstToken <= 0 {
		return
	}
	known := PrefillRate(state)
	seen := known * outlierFactor
	if delay > 0 {
		seen = min(max(work/delay, known/outlierFactor), known*outlierFactor)
	}
	// Rates spread by factors, so the mean is taken of their logarithms.
	state.PrefillRate = known * math.Pow(seen/known, weight(state.PrefillSamples))
	state.PrefillSamples = min(state.PrefillSamples+1, maximumSamples)
}

// maximumSamples is where the weight of an observation reaches learningRate.
const maximumSamples = int(1 / learningRate)

// weight returns the weight of an observation after a number of earlier ones: a plain
// mean at first, so that the default of an unknown target is forgotten at once, and an
// exponential one later.
func weight(samples int) float64 { return max(learningRate, 1/float64(samples+1)) }

// learnStep is a normalised least-mean-squares update of base + per × sequences.
func learnStep(state *core.TargetState, observed Observation) {
	if observed.BetweenTokens <= 0 || observed.Sequences <= 0 {
		return
	}
	known := StepTime(state, observed.Sequences)
	seen := min(max(observed.BetweenTokens, known/outlierFactor), known*outlierFactor)
	weight := float64(observed.Sequences) / sequenceScale
	correction := learningRate * float64(seen-known) / (1 + weight*weight)
	base, per := StepTime(state, 0), StepTime(state, 1)-StepTime(state, 0)
	state.StepBase = max(minimumStep, base+time.Duration(correction))
	state.StepPerSequence = max(minimumStep, per+time.Duration(correction*weight/sequenceScale))
}
