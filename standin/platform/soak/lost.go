package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gorseline/standin/platform"
)

// Limits of the check that no whole request is lost.
const (
	// maxUnansweredTime is the time after which a connection must not end without an answer, even
	// if the request has reached no target.
	maxUnansweredTime = time.Second
	// lateSendTime is the time after the signal that stops an instance after which no cut of a
	// request that was sent later is excused.
	lateSendTime = 3 * time.Second
	// lastGraceShare is the last part of the grace period, as a share of it. A cut is excused if the
	// target was still at work then.
	lastGraceShare = 1.0 / 6
	// contactTime is how long before a request there must have been no unplanned disruption.
	contactTime = 3 * time.Second
	// deadlineMargin is how much earlier than its deadline a request may end at its deadline.
	deadlineMargin = 100 * time.Millisecond
)

// interval is a span of time.
type interval struct{ begin, end time.Time }

// lossCheck checks that each whole request that an instance has read gets a complete answer or a
// refusal. It uses only what callers, targets and the soak itself have seen.
type lossCheck struct {
	grace time.Duration
	// stops holds the times of the signals that stop processes, by instance.
	stops map[string][]time.Time
	// disruptions holds the unplanned disruptions, such as killed processes and cut links.
	disruptions []interval
	// arrived holds the requests that reached a target, runs the runs of each request.
	arrived map[string]bool
	runs    map[string][]platform.Run
}

func newLossCheck(grace time.Duration, stops map[string][]time.Time, disruptions []interval, targets []*platform.Target) *lossCheck {
	c := &lossCheck{
		grace: grace, stops: stops, disruptions: disruptions, arrived: map[string]bool{}, runs: map[string][]platform.Run{},
	}
	for _, t := range targets {
		for _, a := range t.Arrivals() {
			c.arrived[a.ID] = true
		}
		for _, run := range t.Runs() {
			c.runs[run.ID] = append(c.runs[run.ID], run)
		}
	}
	return c
}

// violations returns the requests that were lost.
func (c *lossCheck) violations(results []result) []string {
	var violations []string
	for i := range results {
		r := &results[i]
		if c.isOutcomeLost(r) {
			violations = append(violations, fmt.Sprintf("%s at %s: ran, may run once, and got status %d in place of its outcome: %s",
				r.id, r.instance, r.status, c.describe(r)))
		}
		if c.isLost(r) {
			violations = append(violations, fmt.Sprintf("%s at %s: no complete answer after %v (%.80s): %s",
				r.id, r.instance, r.finished.Sub(r.started).Round(time.Millisecond), r.err, c.describe(r)))
		}
	}
	return violations
}

// isLost reports whether a request got no complete answer without an excuse.
func (c *lossCheck) isLost(r *result) bool {
	took := r.finished.Sub(r.started)
	isRead := c.arrived[r.id] || took > maxUnansweredTime
	return r.err != nil && isRead && took < timeoutOf(r.route)-deadlineMargin &&
		!c.isDisrupted(r) && !c.brokeOff(r) && !c.isStopExcused(r)
}

// isOutcomeLost reports whether a call that may run once at most was sent after the signal that stops its
// instance, was passed on to a sound target and got an error in place of its answer. It could have been
// refused.
func (c *lossCheck) isOutcomeLost(r *result) bool {
	if r.route != slowRoute || r.err != nil || r.status < 500 || len(c.runs[r.id]) == 0 {
		return false
	}
	isLate := slices.ContainsFunc(c.stops[r.instance], func(stop time.Time) bool {
		return r.started.After(stop) && r.finished.Before(stop.Add(c.grace+time.Second))
	})
	return isLate && r.finished.Sub(r.started) < timeoutOf(r.route)-deadlineMargin && !c.isDisrupted(r) && !c.brokeOff(r)
}

// isDisrupted reports whether there was an unplanned disruption during a request or shortly before.
func (c *lossCheck) isDisrupted(r *result) bool {
	return slices.ContainsFunc(c.disruptions, func(d interval) bool {
		return d.begin.Before(r.finished) && d.end.Add(contactTime).After(r.started)
	})
}

// brokeOff reports whether a target broke off an answer to the request.
func (c *lossCheck) brokeOff(r *result) bool {
	breaking := append([]platform.RequestFault{
		platform.Reset, platform.Torn, platform.UnframedReset, platform.Noise, platform.CutStream, platform.Stall, platform.Hang,
		platform.CrashedUnder,
	}, platform.EndingFaults...)
	return slices.ContainsFunc(c.runs[r.id], func(run platform.Run) bool { return slices.Contains(breaking, run.Fault) })
}

// isStopExcused reports whether the instance was being stopped and could not have finished the
// request: it was sent early enough, and its target was at work in the last part of the grace
// period.
func (c *lossCheck) isStopExcused(r *result) bool {
	for _, stop := range c.stops[r.instance] {
		if r.finished.Before(stop) || r.finished.After(stop.Add(c.grace+time.Second)) || r.started.After(stop.Add(lateSendTime)) {
			continue
		}
		last := stop.Add(c.grace - time.Duration(lastGraceShare*float64(c.grace)))
		for _, run := range c.runs[r.id] {
			if run.StartedAt.Before(stop.Add(c.grace)) && (run.EndedAt.IsZero() || !run.EndedAt.Before(last)) {
				return true
			}
		}
	}
	return false
}

// describe returns the times of a request, its runs and the latest signal to its instance.
func (c *lossCheck) describe(r *result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d bytes of status %d", len(r.body), r.status)
	for _, run := range c.runs[r.id] {
		fmt.Fprintf(&b, ", run from %v to %v", run.StartedAt.Sub(r.started).Round(time.Millisecond), run.EndedAt.Sub(r.started).Round(time.Millisecond))
	}
	for _, stop := range slices.Backward(c.stops[r.instance]) {
		if stop.Before(r.finished) {
			fmt.Fprintf(&b, ", sent %v and ended %v after SIGTERM",
				r.started.Sub(stop).Round(time.Millisecond), r.finished.Sub(stop).Round(time.Millisecond))
			break
		}
	}
	return b.String()
}

// checkLosses returns the requests that were lost.
func (s *soak) checkLosses(results []result) []string {
	stops := map[string][]time.Time{}
	for _, inst := range s.instances {
		stops[inst.name] = inst.allStops()
	}
	return newLossCheck(s.options.grace(), stops, s.disruptions, s.testbed.targets).violations(results)
}
