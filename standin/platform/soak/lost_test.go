package soak

import (
	"io"
	"testing"
	"time"

	"gorseline/standin/platform"
)

// Guards against a check that misses a whole request without a complete answer, or that excuses one
// by something other than its instance's stop, its target or its deadline.
func TestLostRequestsAreFoundByAnswersAndRuns(t *testing.T) {
	start := time.Date(2026, 12, 4, 5, 18, 30, 0, time.UTC)
	const grace = 8 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// A request is by default a stream that was sent 3.1 s after the signal and cut 7.3 s after it, as in issue 30.
	type request struct {
		route                      string
		sent, ended, ranTo, signal float64
		isRefused, hasNotArrived   bool
		fault                      platform.RequestFault
		disruption                 float64
	}
	for _, test := range []struct {
		name   string
		change func(r *request)
		isLost bool
	}{
		{"sent late and cut", func(*request) {}, true},
		{"complete", func(r *request) { r.isRefused = true }, false},
		{"sent early, target at work at the end", func(r *request) { r.sent = 2.9 }, false},
		{"sent early, target done before", func(r *request) { r.sent, r.ranTo, r.ended = 1, 6.5, 6.5 }, true},
		{"cut before the signal", func(r *request) { r.sent, r.ranTo, r.signal = 2.9, 20, 7.4 }, true},
		{"cut long after the signal", func(r *request) { r.sent, r.signal = 0.9, -2 }, true},
		{"no signal", func(r *request) { r.signal = -100 }, true},
		{"the target broke off", func(r *request) { r.fault = platform.CutStream }, false},
		{"the target paused", func(r *request) { r.fault = platform.Pause }, true},
		{"the deadline passed", func(r *request) { r.sent = -2.75 }, false},
		{"a shorter deadline passed", func(r *request) { r.route, r.sent = "stream", 4.75 }, false},
		{"a process was killed before", func(r *request) { r.disruption = 0.5 }, false},
		{"a process was killed long before", func(r *request) { r.disruption = -1 }, true},
		{"a process was killed after", func(r *request) { r.disruption = 7.4 }, true},
		{"closed at once, not passed on", func(r *request) { r.hasNotArrived, r.ended = true, 3.2 }, false},
		{"closed later, not passed on", func(r *request) { r.hasNotArrived = true }, true},
	} {
		// The target notices the cut at its next event.
		r := request{route: "long", sent: 3.1, ended: 7.3, ranTo: 7.35, disruption: -100}
		test.change(&r)
		answer := result{id: "id", route: r.route, instance: "n", started: at(r.sent), finished: at(r.ended), err: io.ErrUnexpectedEOF}
		if r.isRefused {
			answer.err, answer.status = nil, 503
		}
		check := newLossCheck(grace, map[string][]time.Time{"n": {at(r.signal)}, "other": {at(0)}},
			[]interval{{at(r.disruption - 1), at(r.disruption)}}, nil)
		if r.disruption > r.ended {
			check.disruptions = []interval{{at(r.disruption), at(r.disruption + 1)}}
		}
		if !r.hasNotArrived {
			check.arrived["id"] = true
			check.runs["id"] = []platform.Run{{ID: "id", StartedAt: at(r.sent), EndedAt: at(r.ranTo), Fault: r.fault}}
		}
		if got := check.violations([]result{answer}); (len(got) == 1) != test.isLost {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// Guards against a check that misses a call that may run once and is cut with an error after the signal, or
// that reports one which the instance couldn't refuse any more.
func TestLostOutcomesAreFound(t *testing.T) {
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, test := range []struct {
		name, route string
		sent, ended float64 // after the signal
		status      int
		fault       platform.RequestFault
		hasNotRun   bool
		isLost      bool
	}{
		{"sent after the signal and cut", slowRoute, 3, 7.3, 502, "", false, true},
		{"sent before the signal", slowRoute, -1, 7.3, 502, "", false, false},
		{"sent long after the signal", slowRoute, 20, 22, 502, "", false, false},
		{"refused", slowRoute, 3, 3.1, 503, "", true, false},
		{"served", slowRoute, 1, 6, 200, "", false, false},
		{"repeatable", "safe", 3, 7.3, 502, "", false, false},
		{"the target broke off", slowRoute, 3, 7.3, 502, platform.Reset, false, false},
		{"the deadline passed", slowRoute, -2.8, 7.2, 504, "", false, false},
	} {
		check := newLossCheck(8*time.Second, map[string][]time.Time{"n": {start}, "other": {at(19)}}, nil, nil)
		if !test.hasNotRun {
			check.runs["id"] = []platform.Run{{ID: "id", StartedAt: at(test.sent), Fault: test.fault}}
		}
		r := result{id: "id", route: test.route, instance: "n", started: at(test.sent), finished: at(test.ended), status: test.status}
		if got := check.violations([]result{r}); (len(got) == 1) != test.isLost {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
