package scaling

import (
	"math"

	"gorseline/core"
)

// sample is the demand at one plan, in busy servers.
type sample struct {
	at   core.Instant
	busy float64
}

// demand derives the needed capacity from the observed load. It raises it at once and lowers
// it slowly.
type demand struct {
	samples []sample
	// peak is the greatest demand in the window, in servers.
	peak float64
	// heldPeak follows peak; it is lowered slowly.
	heldPeak float64
	// capacity is the wanted number of servers of both kinds in all data centres.
	capacity int
	// floor is the number below which capacity isn't lowered, or 0.
	floor int
	// lowSince is when the observed use became low, if isLow is set; loweredAt is when it
	// last led to a reduction.
	lowSince, loweredAt core.Instant
	isLow               bool
}

// observe adds the load of one plan. ready is the number of ready servers.
func (d *demand) observe(now core.Instant, view *View, ready int, options *Options) {
	refused := min(max(0, view.RefusedShare), maxRefusedShare)
	busy := max(0, view.Busy)
	load := busy
	if refused > options.RefusalThreshold {
		// The busy servers don't show the requests that were refused.
		load = busy / (1 - refused)
		if d.floor > 0 {
			// The share that one instance refuses is too uncertain to order many times the fleet for it.
			load = min(load, options.RaiseFactor*float64(ready))
		}
	}
	d.samples = append(d.samples, sample{now, load})
	for now.Sub(d.samples[0].at) > options.PeakWindow {
		d.samples = d.samples[1:]
	}
	d.peak = 0
	for _, s := range d.samples {
		d.peak = max(d.peak, s.busy)
	}
	d.heldPeak = max(d.heldPeak, d.peak)
	if refused > options.RefusalThreshold {
		d.capacity = max(d.capacity, roundUp(options.RaiseFactor*max(load, float64(ready))))
	}
	if busy > options.UseThreshold*float64(ready) {
		d.capacity = max(d.capacity, roundUp(options.RaiseFactor*load))
	}
	d.lower(now, options)
}

// maxRefusedShare bounds the demand that is inferred from refusals to five times the busy
// servers: callers repeat refused requests, which makes a greater share meaningless.
const maxRefusedShare = 0.8

// lower reduces the peak and the capacity by one step if the use has been low for long enough.
func (d *demand) lower(now core.Instant, options *Options) {
	target := max(d.floor, roundUp(options.BurstFactor*d.peak))
	isPeakLow := d.peak < options.LowerThreshold*d.heldPeak
	isCapacityHigh := float64(target) < options.LowerThreshold*float64(d.capacity)
	if !isPeakLow && !isCapacityHigh {
		d.isLow = false
		return
	}
	if !d.isLow {
		d.isLow, d.lowSince, d.loweredAt = true, now, now
	}
	if now.Sub(d.lowSince) < options.LowerDelay || now.Sub(d.loweredAt) < options.LowerInterval {
		return
	}
	d.loweredAt = now
	if isPeakLow {
		d.heldPeak = max(d.peak, d.heldPeak*(1-options.LowerShare))
	}
	if isCapacityHigh {
		step := max(1, int(options.LowerShare*float64(d.capacity)))
		d.capacity = max(target, d.capacity-step)
	}
}

// scaled returns the number of servers for the peak with a share of spare capacity.
func (d *demand) scaled(headroom float64) int {
	return roundUp(d.heldPeak * (1 + headroom))
}

// roundUp rounds up to whole servers, and ignores rounding errors of the sum of shares.
func roundUp(servers float64) int {
	return int(math.Ceil(servers - 1e-6))
}
