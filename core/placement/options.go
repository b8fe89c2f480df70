// Package placement plans the roles of engines: which compute prompts (prefill), which
// generate tokens (decode) and which do both (mixed).
//
// Planner compares the goodput gained by a role change with its price and with the
// service lost while the engine changes. DemandPlanner reacts to load and refusals.
// Static and Reactive are the baselines for comparisons with Planner. All of them take
// time and observations as arguments.
package placement

import (
	"time"

	"gorseline/core"
)

// Reasons of role changes.
const (
	// ReasonRatioShift means that Planner expects a gain from the change.
	ReasonRatioShift core.Reason = "RatioShift"
	// ReasonThreshold means that Reactive found a deviation of more than half an engine.
	ReasonThreshold core.Reason = "Threshold"
	// ReasonFloorViolation means that a role had fewer engines than its floor.
	ReasonFloorViolation core.Reason = "FloorViolation"
)

// Options are the settings of a Planner. Zero values take the defaults that are
// stated per field.
type Options struct {
	// RoleChangePrice is the goodput, in weight, that a change must gain in addition to
	// the service that it costs. The preset defines it.
	RoleChangePrice float64
	// MinimumStay is the least time between two role changes of one engine; 60 s.
	MinimumStay time.Duration
	// Horizon is the time within which a change must pay off; 120 s.
	Horizon time.Duration
	// ChangeTime is how long an idle engine is out of service for a change; 5 s.
	ChangeTime time.Duration
	// DrainTime is how long an engine needs to finish its work before the change; 15 s.
	DrainTime time.Duration
	// ChangeTimeout is the time after which a change without a visible outcome counts
	// as ended, so that a lost engine doesn't block its model; 120 s.
	ChangeTimeout time.Duration
	// ShortTimeConstant and LongTimeConstant are the time constants of the two
	// averages of the demand; 10 s and 90 s.
	ShortTimeConstant, LongTimeConstant time.Duration
	// WarmUp is how long the demand is observed before the first change; 20 s.
	WarmUp time.Duration
	// ShortWeight is the weight of the short average in the forecast, from 0 to 1; 0.7.
	ShortWeight float64
	// FloorPrefill and FloorDecode are the least numbers of engines that accept
	// prompts and token generation; mixed engines count for both; 1.
	FloorPrefill, FloorDecode int
	// Margin is the fraction of the offered weight over the horizon by which a gain must
	// exceed its costs; 0.01. It provides hysteresis against noise in the ratio.
	Margin float64
	// ReversalFactor multiplies the price and margin of a change in the opposite
	// direction of the previous one within LongTimeConstant; 3.
	ReversalFactor float64
	// Headroom is the spare capacity needed against queueing, as a fraction of the
	// demand; 0.15.
	Headroom float64
	// MixedOverhead is the engine time of a prompt on a mixed engine relative to a
	// prefill engine. Chunks of the prompt alternate with decode steps; 1.1.
	MixedOverhead float64
	// BatchSize is the number of sequences that a busy engine decodes together; 48.
	BatchSize int
	// Mixed allows changes to the mixed role. A mixed engine computes prompts between
	// decode steps, which delays the tokens of short urgent answers. Mixed engines
	// therefore pay off only where no kind limits the time between tokens.
	Mixed bool
	// LoadInterval is the least time between two changes that load weights from
	// the store, over all models of the planner; 30 s. The store limits the rate, and
	// engines stay out of service while their loads queue.
	LoadInterval time.Duration
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) withDefaults() Options {
	o.MinimumStay = orDefault(o.MinimumStay, 60*time.Second)
	o.Horizon = orDefault(o.Horizon, 120*time.Second)
	o.ChangeTime = orDefault(o.ChangeTime, 5*time.Second)
	o.DrainTime = orDefault(o.DrainTime, 15*time.Second)
	o.ChangeTimeout = orDefault(o.ChangeTimeout, 120*time.Second)
	o.ShortTimeConstant = orDefault(o.ShortTimeConstant, 10*time.Second)
	o.LongTimeConstant = orDefault(o.LongTimeConstant, 90*time.Second)
	o.WarmUp = orDefault(o.WarmUp, 20*time.Second)
	o.ShortWeight = orDefault(o.ShortWeight, 0.7)
	o.FloorPrefill = orDefault(o.FloorPrefill, 1)
	o.FloorDecode = orDefault(o.FloorDecode, 1)
	o.Margin = orDefault(o.Margin, 0.01)
	o.ReversalFactor = orDefault(o.ReversalFactor, 3)
	o.Headroom = orDefault(o.Headroom, 0.15)
	o.MixedOverhead = orDefault(o.MixedOverhead, 1.1)
	o.BatchSize = orDefault(o.BatchSize, 48)
	o.LoadInterval = orDefault(o.LoadInterval, 30*time.Second)
	return o
}
