package estimate

import (
	"math"
	"time"

	"gorseline/core"
)

// Observation holds the measurements of one answer, from which its target's rates are learned.
type Observation struct {
	// Backlog is the prompt work queued ahead of the request, in tokens.
	Backlog float64
	// Computed is the part of the prompt that the target had to compute, in tokens.
	Computed int
	// FirstToken is the delay from sending the request until the first token.
	FirstToken time.Duration
	// Sequences is the mean number of sequences that ran at the same time as the answer,
	// including the answer. For a plain service it is the number of calls ahead plus one.
	Sequences int
	// BetweenTokens is the mean time between the answer's tokens, or the duration of a call
	// of a plain service; 0 if nothing was observed.
	BetweenTokens time.Duration
}

const (
	// learningRate is the weight of one observation. The averages have a half-life of 7
	// observations, fast enough for a mix of requests that changes within minutes.
	learningRate = 0.1
	// outlierFactor bounds the ratio between one observation and the learned value. A lost
	// packet or a paused process must not look like a slow engine.
	outlierFactor = 3.0
	// minWorkTokens is the prompt work, in tokens, below which the delay until the first
	// token is mostly overhead and says little about the prefill rate.
	minWorkTokens = 256.0
	// typicalSequences balances an update between the two parts of the step time: batches
	// of about this size change both equally.
	typicalSequences = 16.0
	minStepTime      = 10 * time.Microsecond
)

// Learn updates the rates in state with an observation.
func Learn(state *core.TargetState, observed Observation) {
	learnPrefill(state, observed)
	learnStep(state, observed)
}

func learnPrefill(state *core.TargetState, observed Observation) {
	work := observed.Backlog + float64(observed.Computed)
	delay := (observed.FirstToken - StepTime(state, max(1, observed.Sequences))).Seconds()
	if work < minWorkTokens || observed.FirstToken <= 0 {
		return
	}
	learned := PrefillRate(state)
	sample := learned * outlierFactor
	if delay > 0 {
		sample = min(max(work/delay, learned/outlierFactor), learned*outlierFactor)
	}
	// Rates vary by factors, so the average is taken of their logarithms.
	state.PrefillRate = learned * math.Pow(sample/learned, weight(state.PrefillSamples))
	state.PrefillSamples = min(state.PrefillSamples+1, maxSamples)
}

// maxSamples is the number of observations after which the weight of one is learningRate.
const maxSamples = int(1 / learningRate)

// weight returns the weight of an observation after a number of earlier ones. It yields a
// plain mean at first, so that the first observation replaces the default rate, and an
// exponentially weighted one later.
func weight(samples int) float64 { return max(learningRate, 1/float64(samples+1)) }

// learnStep updates the step time, base + per × sequences, by normalised least mean squares.
func learnStep(state *core.TargetState, observed Observation) {
	if observed.BetweenTokens <= 0 || observed.Sequences <= 0 {
		return
	}
	learned := StepTime(state, observed.Sequences)
	sample := min(max(observed.BetweenTokens, learned/outlierFactor), learned*outlierFactor)
	scale := float64(observed.Sequences) / typicalSequences
	correction := learningRate * float64(sample-learned) / (1 + scale*scale)
	base, per := StepTime(state, 0), StepTime(state, 1)-StepTime(state, 0)
	state.StepBase = max(minStepTime, base+time.Duration(correction))
	state.StepPerSequence = max(minStepTime, per+time.Duration(correction*scale/typicalSequences))
}
