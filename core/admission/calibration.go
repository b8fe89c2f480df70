package admission

import (
	"math"
	"time"

	"gorseline/core"
)

const (
	// errorRate is the weight of one answer in the learned error. It forgets half of the
	// past in 35 answers, a few seconds of load.
	errorRate = 0.02
	// lateRate is the weight of one answer in the part of late ones, which forgets half of
	// the past in 2,800 answers. Only a lasting overload may shorten the queue: a peak
	// that ends leaves room for all that was queued, and a margin would refuse it.
	lateRate = 0.00025
	// toleratedLate is the part of late answers up to which nothing is corrected, and
	// fullCorrection how far above it the whole error is applied. At a
	// peak of some minutes 0.01 to 0.025 of the answers are late, and the slow average
	// stays below.
	toleratedLate  = 0.02
	fullCorrection = 0.01
	// leastQueueShare is the least expected queue, as a part of the time allowed, that
	// teaches. The error of a shorter one is mostly that of the answer's length.
	leastQueueShare = 0.1
	// widestError bounds what one answer can teach.
	widestError = 1.0
)

// promise is what was expected of a request when it was admitted.
type promise struct {
	at           core.Instant
	queue, total time.Duration
}

// calibration learns how much longer answers take than estimated, as a part of the
// expected queueing delay: its mean and mean deviation, as TCP does for round-trip times
// (Jacobson, "Congestion Avoidance and Control", 1988).
type calibration struct {
	promises        map[core.RequestID]promise
	mean, deviation float64
	// late is the average part of late answers.
	late float64
}

// isCalibrated reports whether the request's queueing delay is corrected. Urgent requests
// pass the queue, and plain services answer within seconds.
func isCalibrated(req *core.Request) bool {
	return !req.Kind.Urgent && req.Service == "" && req.ID != ""
}

// corrected returns the estimate with the learned error and margin deviations of it, as
// far as late answers show that it is needed.
func (c *calibration) corrected(req *core.Request, expected core.Estimate, margin float64) core.Estimate {
	if !isCalibrated(req) {
		return expected
	}
	factor := min(1, max(0, c.late-toleratedLate)/fullCorrection) * max(0, c.mean+margin*c.deviation)
	extra := time.Duration(float64(expected.Queue) * factor)
	expected.Queue += extra
	expected.FirstToken += extra
	expected.Total += extra
	return expected
}

// admitted notes what was expected, without a correction.
func (c *calibration) admitted(now core.Instant, req *core.Request, expected *core.Estimate) {
	if isCalibrated(req) && float64(expected.Queue) >= leastQueueShare*float64(req.Kind.Deadline) {
		c.promises[req.ID] = promise{at: now, queue: expected.Queue, total: expected.Total}
	}
}

// finished learns from the end of a request. A request that was given up at its deadline
// shows the least error that it can have had.
func (c *calibration) finished(now core.Instant, req *core.Request, inTime bool) {
	if !isCalibrated(req) {
		return
	}
	late := 0.0
	if !inTime {
		late = 1
	}
	c.late += lateRate * (late - c.late)
	known, ok := c.promises[req.ID]
	if !ok {
		return
	}
	delete(c.promises, req.ID)
	seen := float64(now.Sub(known.at)-known.total) / float64(max(known.queue, 1))
	seen = min(max(seen, -widestError), widestError)
	c.deviation += errorRate * (math.Abs(seen-c.mean) - c.deviation)
	c.mean += errorRate * (seen - c.mean)
}
