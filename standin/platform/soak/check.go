package soak

import (
	"fmt"
	"strings"
	"time"

	"gorseline/standin/platform"
)

// checkResults checks the results of all callers and the records of all targets. It returns
// the violations.
func checkResults(results []result, targets []*platform.Target) []string {
	var violations []string
	runs := map[string]int{}
	var arrivals []platform.Arrival
	for _, t := range targets {
		arrivals = append(arrivals, t.Arrivals()...)
		for _, run := range t.Runs() {
			runs[run.ID]++
		}
		violations = append(violations, checkOrders(t)...)
	}
	violations = append(violations, checkRemaining(arrivals)...)
	for i := range results {
		violations = append(violations, checkRequest(&results[i], runs[results[i].id])...)
	}
	return violations
}

// checkRequest checks the result of one request that ran the given number of times.
func checkRequest(r *result, runs int) []string {
	var violations []string
	report := func(format string, args ...any) {
		violations = append(violations, r.id+" at "+r.instance+": "+fmt.Sprintf(format, args...))
	}
	isOnce := r.route == "once" || r.route == "single" || r.route == "long-single" || r.route == slowRoute
	if isOnce && runs > 1 {
		report("ran %d times", runs)
	}
	if !isOnce && runs > 2 {
		report("ran on %d targets, the route allows 2", runs)
	}
	if v := checkBody(r); v != "" {
		report("%s", v)
	}
	if r.err != nil {
		return violations
	}
	if isOnce && runs > 0 && (r.status == 503 || r.status == 429 || r.status == 421 || r.status == 408) {
		report("ran but was refused with status %d", r.status)
	}
	if r.status == 503 && r.retryAfter == "" {
		report("refused without Retry-After")
	}
	if r.stamp != "" && !strings.HasSuffix(r.stamp, "."+r.id) {
		report("has the stamp %s of another request", r.stamp)
	}
	if r.status == 404 {
		report("answered 404 for a route of every configuration")
	}
	if took := r.finished.Sub(r.started); took > timeoutOf(r.route)+deadlineTolerance {
		report("answered after %v, the caller waits %v", took, timeoutOf(r.route))
	}
	return violations
}

// deadlineTolerance allows for paused processes and the load of the machine.
const deadlineTolerance = 2500 * time.Millisecond

// completeBody returns the body of a complete response to a request.
func completeBody(r *result) string {
	if r.route == "once" || r.route == "safe" || r.route == slowRoute {
		return "answer to " + r.id
	}
	var b strings.Builder
	for i := r.first; i < eventCount(r.route, r.stream); i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, r.id)
	}
	return b.String()
}

// minHolderChange is the minimum time between orders of two holders to one engine. It equals
// lease_ms in the settings of the instances.
const minHolderChange = time.Second

// checkOrders checks that the fencing tokens of an engine's orders never decrease, and that
// minHolderChange passes between orders of different holders.
func checkOrders(t *platform.Target) []string {
	var violations []string
	orders := t.Orders()
	for i := 1; i < len(orders); i++ {
		previous, order := orders[i-1], orders[i]
		if order.Fence < previous.Fence {
			violations = append(violations, fmt.Sprintf("%s: order with fence %d after fence %d", t.ID(), order.Fence, previous.Fence))
		}
		if order.Holder != previous.Holder && order.At.Sub(previous.At) < minHolderChange {
			violations = append(violations, fmt.Sprintf("%s: order by %s only %v after an order by %s", t.ID(), order.Holder, order.At.Sub(previous.At), previous.Holder))
		}
	}
	return violations
}
