package soak

import (
	"fmt"
	"strings"
	"time"

	"gorseline/standin/platform"
)

// violations checks everything that callers and targets have seen.
func violations(results []result, targets []*platform.Target) []string {
	var found []string
	runs := map[string]int{}
	for _, t := range targets {
		for _, run := range t.Runs() {
			runs[run.ID]++
		}
		found = append(found, orderViolations(t)...)
	}
	for i := range results {
		found = append(found, requestViolations(&results[i], runs[results[i].id])...)
	}
	return found
}

// requestViolations checks one request.
func requestViolations(r *result, runs int) []string {
	var found []string
	note := func(format string, args ...any) {
		found = append(found, r.id+" at "+r.entry+": "+fmt.Sprintf(format, args...))
	}
	isOnce := r.route == "once" || r.route == "single"
	if isOnce && runs > 1 {
		note("ran %d times", runs)
	}
	if !isOnce && runs > 2 {
		note("ran on %d targets, the route allows 2", runs)
	}
	if r.err != nil {
		return found
	}
	if isOnce && runs > 0 && (r.status == 503 || r.status == 429 || r.status == 421 || r.status == 408) {
		note("ran and was answered %d", r.status)
	}
	if r.status == 503 && r.retry == "" {
		note("refused without a time to come back")
	}
	if r.stamp != "" && !strings.HasSuffix(r.stamp, "."+r.id) {
		note("has the signature %s", r.stamp)
	}
	if r.status == 200 && r.body != whole(r) {
		note("looks whole with %d bytes %.60q", len(r.body), r.body)
	}
	if r.status == 404 {
		note("answered 404 for a route that every version has")
	}
	if took := r.ended.Sub(r.began); took > 2500*time.Millisecond+lateMargin {
		note("answered after %v, the route allows 2.5 s", took)
	}
	return found
}

// lateMargin covers the pauses of processes and the load of the machine.
const lateMargin = 2500 * time.Millisecond

// whole returns the complete answer to a request.
func whole(r *result) string {
	if r.route == "once" || r.route == "safe" {
		return "answer to " + r.id
	}
	var b strings.Builder
	for i := range 4 {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, r.id)
	}
	return b.String()
}

// orderTurn is the least time between orders of two holders to one engine, as in the
// settings.
const orderTurn = time.Second

// orderViolations checks that the orders of one engine came from one holder at a time.
func orderViolations(t *platform.Target) []string {
	var found []string
	orders := t.Orders()
	for i := 1; i < len(orders); i++ {
		before, order := orders[i-1], orders[i]
		if order.Fence < before.Fence {
			found = append(found, fmt.Sprintf("%s: fence %d after %d", t.ID(), order.Fence, before.Fence))
		}
		if order.Holder != before.Holder && order.At.Sub(before.At) < orderTurn {
			found = append(found, fmt.Sprintf("%s: %s orders %v after %s", t.ID(), order.Holder, order.At.Sub(before.At), before.Holder))
		}
	}
	return found
}
