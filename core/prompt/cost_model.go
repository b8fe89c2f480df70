// Package prompt estimates what engines need to compute prompts and what they hold
// of them in their KV caches.
package prompt

import (
	"time"

	"gorseline/core"
)

// Work is the part of a prompt that an engine has to compute.
type Work struct {
	// Tokens are not in the engine's cache.
	Tokens int
	// Pairs is the number of pairs of a computed token and a token before it, in
	// millions. Attention takes time in proportion to it.
	Pairs float64
}

// NewWork returns the work of a prompt of which the first cached tokens are held.
func NewWork(tokens, cached int) Work {
	computed := max(0, tokens-cached)
	return Work{computed, float64(computed) * (float64(tokens-computed) + float64(computed)/2) / 1e6}
}

// Cost prior: the rate of a fast engine, used until answers have shown better. A prior that
// is too slow would refuse requests after each restart; one that is too fast is corrected
// by the first answers.
const (
	priorOverhead = 1.0   // ms a prompt
	priorToken    = 0.003 // ms a token
	priorPair     = 0.03  // ms a million pairs
	// forgetting weighs the last 200 samples or so.
	forgetting = 0.995
	// slowWeight is the weight of samples that took longer than expected. Work of instances
	// that this one doesn't know yet lengthens samples, as after a restart, and nothing
	// shortens them.
	slowWeight = 0.25
	// maximumRatio bounds how far one sample may lie from the estimate. Longer times
	// show a stalled engine or connection, not the cost of the prompt.
	maximumRatio = 4
)

// CostModel learns the time that the engines of one service take for prompts, by recursive
// least squares over overhead, tokens and pairs. It is not safe for concurrent use.
type CostModel struct {
	theta      [3]float64
	covariance [3][3]float64
	samples    int
}

// NewCostModel returns a model that knows only the prior.
func NewCostModel() *CostModel {
	c := &CostModel{theta: [3]float64{priorOverhead, priorToken, priorPair}}
	// The prior deviations are of the order of the prior values, in the units of the features.
	for i, deviation := range [3]float64{2, 0.01, 0.05} {
		c.covariance[i][i] = deviation * deviation
	}
	return c
}

// Time returns the expected time for work on an idle engine.
func (c *CostModel) Time(w Work) time.Duration {
	ms := 0.0
	for i, x := range features(w) {
		ms += max(0, c.theta[i]) * x
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Samples returns the number of observations taken in.
func (c *CostModel) Samples() int { return c.samples }

// Observe takes in that an engine needed a time for work.
func (c *CostModel) Observe(w Work, took time.Duration) {
	x, y := features(w), float64(took)/float64(time.Millisecond)
	expected := 0.0
	for i := range x {
		expected += c.theta[i] * x[i]
	}
	if c.samples >= 8 && y > maximumRatio*max(expected, priorOverhead) {
		return
	}
	var px [3]float64
	denominator := forgetting
	for i := range px {
		for j := range x {
			px[i] += c.covariance[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	// Measurement noise of 1 ms keeps a first sample from fixing all parameters.
	denominator++
	residual := y - expected
	if residual > 0 {
		residual *= slowWeight
	}
	for i := range px {
		c.theta[i] += px[i] / denominator * residual
	}
	for i := range px {
		for j := range px {
			c.covariance[i][j] = (c.covariance[i][j] - px[i]*px[j]/denominator) / forgetting
		}
	}
	c.boundCovariance()
	c.samples++
}

// boundCovariance keeps the gain from growing without limit while all prompts are alike.
func (c *CostModel) boundCovariance() {
	for i, limit := range [3]float64{4, 1e-4, 2.5e-3} {
		if c.covariance[i][i] <= limit {
			continue
		}
		scale := limit / c.covariance[i][i]
		for j := range c.covariance {
			c.covariance[i][j] *= scale
			if j != i {
				c.covariance[j][i] *= scale
			}
		}
	}
}

func features(w Work) [3]float64 { return [3]float64{1, float64(w.Tokens), w.Pairs} }

// TransferTime returns how long an engine's link needs for the KV cache of tokens.
// Links between data centres take twice as long. It is 0 if the rate is unknown.
func TransferTime(limits *core.EngineLimits, tokens int, isLocal bool) time.Duration {
	if limits == nil || limits.LinkBytesPerSecond == 0 {
		return 0
	}
	seconds := float64(tokens) * float64(limits.CacheTokenBytes) / limits.LinkBytesPerSecond
	if !isLocal {
		seconds *= 2
	}
	return time.Duration(seconds * float64(time.Second))
}
