package soak

import (
	"strconv"
	"testing"
	"time"

	"gorseline/standin/platform"
)

// Guards against a check that accepts requests which hand on the caller's whole time when they
// are sent again, more than it, or none.
func TestRemainingTimeIsCheckedByArrivals(t *testing.T) {
	start := time.Date(2026, 12, 4, 5, 18, 30, 0, time.UTC)
	// send returns the arrivals of 30 requests that are sent again after a second.
	send := func(first, again time.Duration) (arrivals []platform.Arrival) {
		for i := range 30 {
			id := strconv.Itoa(i)
			arrivals = append(arrivals,
				platform.Arrival{ID: id, At: start, Remaining: first},
				platform.Arrival{ID: id, At: start.Add(time.Second), Remaining: again})
		}
		return arrivals
	}
	for _, test := range []struct {
		name         string
		first, again time.Duration
		violations   int
	}{
		{"what is left", callerTimeout, callerTimeout - time.Second, 0},
		{"the whole time again", callerTimeout, callerTimeout, 1},
		{"more than the caller's", callerTimeout + time.Second, callerTimeout - time.Second, 1},
		{"none", 0, 0, 2},
	} {
		if got := checkRemaining(send(test.first, test.again)); len(got) != test.violations {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// Guards against late repeats with too much time that pass unnoticed among many requests that are sent once.
func TestLateRepeatsAreComparedWithEachOther(t *testing.T) {
	start := time.Date(2026, 12, 4, 5, 18, 30, 0, time.UTC)
	var arrivals []platform.Arrival
	for i := range 1000 {
		arrivals = append(arrivals, platform.Arrival{ID: strconv.Itoa(i), At: start, Remaining: callerTimeout})
	}
	for i := range 25 {
		arrivals = append(arrivals, platform.Arrival{ID: strconv.Itoa(i), At: start.Add(time.Second), Remaining: callerTimeout})
	}
	if got := checkRemaining(arrivals); len(got) != 1 {
		t.Errorf("violations %q", got)
	}
}
