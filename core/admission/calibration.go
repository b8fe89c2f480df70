package admission

import (
	"math"
	"time"

	"gorseline/core"
)

const (
	// errorLearningRate is the weight of one answer in the moving averages of the error. Their
	// half-life is 35 answers, a few seconds of load.
	errorLearningRate = 0.02
	// lateLearningRate is the weight of one answer in the moving average of the share of
	// late answers, whose half-life is 2,800 answers. Only a lasting overload may shorten
	// the queue: after a short peak all queued requests can be served, and a safety margin
	// would refuse some of them.
	lateLearningRate = 0.00025
	// toleratedLateShare is the share of late answers up to which estimates aren't
	// corrected. In a peak of some minutes 0.01 to 0.025 of the answers are late, and the
	// slow average stays below this share.
	toleratedLateShare = 0.02
	// correctionRamp is the distance above toleratedLateShare over which the correction
	// grows linearly from none to the whole error.
	correctionRamp = 0.01
	// minQueueShare is the least expected queueing delay, as a share of the deadline, whose
	// error is learned. The error of a shorter delay is mostly due to the answer's length.
	minQueueShare = 0.1
	// maxError bounds the error of one answer, as a multiple of its expected queueing delay.
	maxError = 1.0
)

// prediction is the estimate of a request when it was admitted, without a correction.
type prediction struct {
	madeAt       core.Instant
	queue, total time.Duration
}

// calibration learns the error of estimates relative to the expected queueing delay. It
// keeps the moving mean and mean deviation of the error, as TCP does for round-trip times
// (Jacobson, "Congestion Avoidance and Control", 1988).
type calibration struct {
	predictions     map[core.RequestID]prediction
	mean, deviation float64
	// lateShare is the moving average of the share of late answers.
	lateShare float64
}

// isCalibrated reports whether the request's queueing delay is corrected. Urgent requests
// bypass the queue, and plain services answer within seconds.
func isCalibrated(req *core.Request) bool {
	return !req.Kind.Urgent && req.Service == "" && req.ID != ""
}

// correct returns the estimate with its queueing delay increased by the mean relative error
// plus margin mean deviations of it. The increase is scaled by how far the share of late
// answers exceeds the tolerated one.
func (c *calibration) correct(req *core.Request, expected core.Estimate, margin float64) core.Estimate {
	if !isCalibrated(req) {
		return expected
	}
	factor := min(1, max(0, c.lateShare-toleratedLateShare)/correctionRamp) * max(0, c.mean+margin*c.deviation)
	extra := time.Duration(float64(expected.Queue) * factor)
	expected.Queue += extra
	expected.FirstToken += extra
	expected.Total += extra
	return expected
}

// recordAdmitted stores the uncorrected estimate of an admitted request.
func (c *calibration) recordAdmitted(now core.Instant, req *core.Request, expected *core.Estimate) {
	if isCalibrated(req) && float64(expected.Queue) >= minQueueShare*float64(req.Kind.Deadline) {
		c.predictions[req.ID] = prediction{madeAt: now, queue: expected.Queue, total: expected.Total}
	}
}

// recordFinished updates the averages at the end of a request. For a request that was
// cancelled at its deadline, the observed error is a lower bound.
func (c *calibration) recordFinished(now core.Instant, req *core.Request, inTime bool) {
	if !isCalibrated(req) {
		return
	}
	sample := 0.0
	if !inTime {
		sample = 1
	}
	c.lateShare += lateLearningRate * (sample - c.lateShare)
	predicted, ok := c.predictions[req.ID]
	if !ok {
		return
	}
	delete(c.predictions, req.ID)
	observed := float64(now.Sub(predicted.madeAt)-predicted.total) / float64(max(predicted.queue, 1))
	observed = min(max(observed, -maxError), maxError)
	c.deviation += errorLearningRate * (math.Abs(observed-c.mean) - c.deviation)
	c.mean += errorLearningRate * (observed - c.mean)
}
