package drain

import (
	"time"

	"gorseline/core"
)

// Work describes a request that a leaving instance may start.
type Work struct {
	Service core.Service
	Route   string
	Kind    core.RouteKind
	// IsRepeatable is true if the request may run again after it may have run.
	IsRepeatable bool
	// MaxTokens is the limit on the length of a generated answer; 0 if nothing is generated or
	// no limit is stated.
	MaxTokens int
	// Computed is the time that the computation of the prompt took, if it is complete.
	Computed time.Duration
	// Pause is the length of a pause of a sound target that the request has to outlast.
	Pause time.Duration
}

// Fit compares the time that a request may take with the time that a leaving instance has left.
type Fit struct {
	// Need bounds the duration of the request, Left is the time until the instance ends all
	// requests.
	Need, Left time.Duration
	// Learned is false if Need is the time until the deadline of the request.
	Learned bool
}

// Fits reports whether the request can be finished.
func (f Fit) Fits() bool { return f.Need <= f.Left }

// marginDivisor determines the margin on a learned duration, an eighth of it. Targets may become
// slower than they were lately while other instances leave, too.
const marginDivisor = 8

// Fit decides whether a request can be finished in the time that is left. remaining is the time
// until the deadline of the request, at which it ends in any case.
func (d *Durations) Fit(w *Work, left, remaining time.Duration) Fit {
	bound, learned := d.bound(w)
	bound += bound/marginDivisor + w.Pause
	if !learned || bound >= remaining {
		return Fit{Need: remaining, Left: left}
	}
	return Fit{Need: bound, Left: left, Learned: true}
}

// RetryAfter is the retry delay for callers whose request a leaving instance doesn't start.
// Other instances can serve it at once.
const RetryAfter = 20 * time.Millisecond
