package soak

import (
	"testing"
	"time"

	"gorseline/standin/platform"
)

// Guards against a check that counts the first computation of a prompt, misses a refused send or
// looks at the wrong window, so that it can't see a fleet that repeats too much.
func TestRetryLimitIsCheckedByArrivals(t *testing.T) {
	start := time.Date(2026, 12, 4, 5, 18, 30, 0, time.UTC)
	at := start.Add
	var arrivals []platform.Arrival
	var requests []time.Time
	for i := range 20 {
		id, sent := string(rune('a'+i)), time.Duration(i)*500*time.Millisecond
		requests = append(requests, at(sent))
		arrivals = append(arrivals,
			platform.Arrival{ID: id, Prefill: true, Accepted: true, At: at(sent)},
			platform.Arrival{ID: id, At: at(sent + time.Millisecond)},
			platform.Arrival{ID: id, Prefill: true, Accepted: true, At: at(sent + 2*time.Millisecond)},
			platform.Arrival{ID: id, Accepted: true, At: at(sent + 3*time.Millisecond)},
		)
	}
	extra := extraArrivals(arrivals)
	if len(extra) != 40 {
		t.Fatalf("%d arrivals beyond the first, want 40", len(extra))
	}
	for _, test := range []struct {
		limit   RetryLimit
		exceeds bool
	}{{RetryLimit{0.5, 30}, false}, {RetryLimit{0.5, 29}, true}, {RetryLimit{1, 19}, true}} {
		use := test.limit.worstWindow(extra, requests)
		if got := float64(use.extra) > use.allowed; got != test.exceeds {
			t.Errorf("%+v: %s", test.limit, use)
		}
	}
	// The requests of the window before count if they are more.
	late := []time.Time{at(14900 * time.Millisecond), at(14900 * time.Millisecond)}
	if use := (RetryLimit{0.1, 0}).worstWindow(late, requests); use.requests != 20 {
		t.Errorf("%s, want the 20 requests of an earlier window", use)
	}
}
