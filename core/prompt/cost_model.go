// Package prompt estimates how long engines take to compute prompts and which parts of
// them their KV caches contain.
package prompt

import (
	"time"

	"gorseline/core"
)

// Work is the part of a prompt that an engine has to compute.
type Work struct {
	// Tokens is the number of tokens that are not in the engine's cache.
	Tokens int
	// Pairs is the number of pairs of a computed token and a preceding token, in millions.
	// The time for attention is proportional to it.
	Pairs float64
}

// NewWork returns the work for a prompt of which the first cached tokens are in the
// engine's cache.
func NewWork(tokens, cached int) Work {
	computed := max(0, tokens-cached)
	return Work{computed, float64(computed) * (float64(tokens-computed) + float64(computed)/2) / 1e6}
}

// The prior describes a fast engine. A prior that is too slow would make instances refuse
// requests after each restart, while one that is too fast is corrected by the first
// answers.
const (
	priorOverhead = 1.0   // ms per prompt
	priorToken    = 0.003 // ms per token
	priorPair     = 0.03  // ms per million pairs
)

const (
	// forgettingFactor gives a memory of about 200 samples.
	forgettingFactor = 0.995
	// slowSampleWeight is the weight of samples that took longer than expected. Work that
	// this instance doesn't know of, such as that of its peers after a restart, lengthens
	// samples, and nothing shortens them.
	slowSampleWeight = 0.25
	// maxSampleRatio is the largest accepted ratio of a sample to its estimate. Longer times
	// are due to a stalled engine or connection, not to the prompt.
	maxSampleRatio = 4
	// minSamples is the number of samples from which the estimate is good enough to reject
	// outliers.
	minSamples = 8
)

// CostModel learns the time that the engines of one service take to compute prompts. It
// uses recursive least squares with the features overhead, tokens and pairs. It is not
// safe for concurrent use.
type CostModel struct {
	// coefficients are in ms per unit of the features.
	coefficients [3]float64
	covariance   [3][3]float64
	samples      int
}

// NewCostModel returns a model with the prior coefficients.
func NewCostModel() *CostModel {
	c := &CostModel{coefficients: [3]float64{priorOverhead, priorToken, priorPair}}
	// The standard deviations are of the order of the prior coefficients.
	for i, deviation := range [3]float64{2, 0.01, 0.05} {
		c.covariance[i][i] = deviation * deviation
	}
	return c
}

// Time returns the expected time that an idle engine takes for work.
func (c *CostModel) Time(w Work) time.Duration {
	ms := 0.0
	for i, x := range features(w) {
		ms += max(0, c.coefficients[i]) * x
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Samples returns the number of observations that updated the model.
func (c *CostModel) Samples() int { return c.samples }

// Observe updates the model with the time that an engine took for work. It ignores
// outliers.
func (c *CostModel) Observe(w Work, took time.Duration) {
	x, y := features(w), float64(took)/float64(time.Millisecond)
	expected := 0.0
	for i := range x {
		expected += c.coefficients[i] * x[i]
	}
	if c.samples >= minSamples && y > maxSampleRatio*max(expected, priorOverhead) {
		return
	}
	var px [3]float64
	denominator := forgettingFactor
	for i := range px {
		for j := range x {
			px[i] += c.covariance[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	// A noise variance of 1 ms² keeps the first sample from determining all coefficients.
	denominator++
	residual := y - expected
	if residual > 0 {
		residual *= slowSampleWeight
	}
	for i := range px {
		c.coefficients[i] += px[i] / denominator * residual
	}
	for i := range px {
		for j := range px {
			c.covariance[i][j] = (c.covariance[i][j] - px[i]*px[j]/denominator) / forgettingFactor
		}
	}
	c.boundCovariance()
	c.samples++
}

// boundCovariance limits the variances. While all prompts are alike, the forgetting factor
// would otherwise let the gain grow without bound.
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

// TransferTime returns the time that an engine's link takes to transfer the KV cache of a
// number of tokens. A transfer between data centres takes twice as long as a local one. It
// returns 0 if the rate of the link is unknown.
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
