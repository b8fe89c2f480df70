package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gorseline/standin/platform"
)

// retryWindow is the length of the sliding windows in which the retries of all instances
// together are limited.
const retryWindow = 10 * time.Second

// RetryLimit bounds the arrivals at a service beyond the first of each request: in each window
// they may not exceed Ratio times the requests for the service plus Slack.
type RetryLimit struct{ Ratio, Slack float64 }

// RandomRetryLimit returns a limit derived from a seed. A low ratio shows errors in how the
// instances divide the slack, a high one errors in what they count.
func RandomRetryLimit(seed uint64) RetryLimit {
	rng := rand.New(rand.NewPCG(seed, 5))
	return RetryLimit{Ratio: []float64{0.01, 0.05, 0.2}[rng.IntN(3)], Slack: float64(20 + 20*rng.IntN(5))}
}

// checkRetries returns the services whose targets saw more arrivals beyond the first of each
// request in a window than the limit allows.
func (s *soak) checkRetries() []string {
	var violations []string
	for _, service := range []string{"calls", "models"} {
		var arrivals []platform.Arrival
		for _, t := range s.testbed.targetsOf(service) {
			arrivals = append(arrivals, t.Arrivals()...)
		}
		worst := s.options.Retries.worstWindow(extraArrivals(arrivals), s.callers.requestTimes(service))
		s.retryPeaks = append(s.retryPeaks, service+" "+worst.String())
		if float64(worst.extra) > worst.allowed {
			violations = append(violations, service+": more arrivals beyond the first than allowed: "+worst.String())
		}
	}
	return violations
}

// routeService returns the service of a route of the testbed.
func routeService(route string) string {
	if isStream(route) {
		return "models"
	}
	return "calls"
}

// extraArrivals returns the times of all arrivals beyond the first of each request, in order.
// The first computation of a prompt that a target accepts isn't counted as an arrival.
func extraArrivals(arrivals []platform.Arrival) []time.Time {
	slices.SortStableFunc(arrivals, func(a, b platform.Arrival) int { return a.At.Compare(b.At) })
	var extra []time.Time
	computed, arrived := map[string]bool{}, map[string]bool{}
	for _, a := range arrivals {
		if a.Prefill && a.Accepted && !computed[a.ID] {
			computed[a.ID] = true
			continue
		}
		if arrived[a.ID] {
			extra = append(extra, a.At)
		}
		arrived[a.ID] = true
	}
	return extra
}

// retryUse is the use of the limit on retries in one window.
type retryUse struct {
	extra, requests int
	allowed         float64
	end             time.Time
}

// String describes the window.
func (u retryUse) String() string {
	return fmt.Sprintf("%d of %.0f with %d requests up to %s", u.extra, u.allowed, u.requests, u.end.UTC().Format("15:04:05.000"))
}

// worstWindow returns the window with the largest share of the allowed arrivals beyond the
// first. The requests of a window are those of the window itself, of the one before it or of the
// one half a window before it, whichever are most. Both lists must be in order.
func (l RetryLimit) worstWindow(extra, requests []time.Time) retryUse {
	worst := retryUse{allowed: l.Slack}
	first := 0
	for i, end := range extra {
		for end.Sub(extra[first]) >= retryWindow {
			first++
		}
		use := retryUse{extra: i - first + 1, end: end}
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			use.requests = max(use.requests, countBetween(requests, end.Add(-shift-retryWindow), end.Add(-shift)))
		}
		use.allowed = l.Ratio*float64(use.requests) + l.Slack
		if worst.extra == 0 || float64(use.extra)*worst.allowed > float64(worst.extra)*use.allowed {
			worst = use
		}
	}
	return worst
}

// countBetween returns the number of times after from, up to and including to. The times must
// be in order.
func countBetween(times []time.Time, from, to time.Time) int {
	after := func(at time.Time) int {
		n, _ := slices.BinarySearchFunc(times, at, func(t, limit time.Time) int {
			if t.After(limit) {
				return 1
			}
			return -1
		})
		return n
	}
	return after(to) - after(from)
}
