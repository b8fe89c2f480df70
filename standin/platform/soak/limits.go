package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// Limits of the check that targets don't get more requests than they state.
const (
	// limitWindow is the window in which the requests to a target are counted.
	limitWindow = 4 * time.Second
	// allowedShare and allowedExtra bound them: that share of the limit and some more.
	allowedShare, allowedExtra = 1.5, 5
	// toldTime is the time after an answer that states a limit from which its instance must know it.
	toldTime = 500 * time.Millisecond
)

// Range of the stated limits in requests a second, and of the times for which they hold.
const (
	minLimit, maxLimit         = 0.5, 20.0
	minLimitTime, maxLimitTime = 2 * time.Second, 9 * time.Second
)

// limitFaults are the faults beside targets that state limits.
var limitFaults = slices.Concat([]fault{
	{"Limit", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.stateLimits(ctx, rng, s.testbed.targets[rng.IntN(len(s.testbed.targets))])
	}},
	{"LimitOfService", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.stateLimits(ctx, rng, s.testbed.targetsOf([]string{"calls", "models"}[rng.IntN(2)])...)
	}},
}, instanceFaults)

// stateLimits makes targets state limits that change, and end.
func (s *soak) stateLimits(ctx context.Context, rng *rand.Rand, targets ...*platform.Target) {
	for range 1 + rng.IntN(2) {
		for _, t := range targets {
			t.SetLimit(minLimit + (maxLimit-minLimit)*rng.Float64()*rng.Float64())
		}
		pause.For(ctx, minLimitTime+time.Duration(rng.Float64()*float64(maxLimitTime-minLimitTime)))
	}
	for _, t := range targets {
		t.SetLimit(0)
	}
}

// limitCheck checks the arrivals of one target against the limits that it has stated.
type limitCheck struct {
	changes []platform.LimitChange
	// arrivals holds the arrivals from instances that knew of a limit, in order.
	arrivals []time.Time
}

// newLimitCheck selects the arrivals that count. instanceOf returns the instance that sent a request.
func newLimitCheck(t *platform.Target, instanceOf func(id string) string, isInTouch func(string, time.Time) bool) *limitCheck {
	c := &limitCheck{changes: t.LimitChanges()}
	arrivals := t.Arrivals()
	slices.SortFunc(arrivals, func(a, b platform.Arrival) int { return a.At.Compare(b.At) })
	told := map[string]time.Time{}
	for _, a := range arrivals {
		instance := instanceOf(a.ID)
		if a.Limit == 0 {
			delete(told, instance)
			continue
		}
		since, ok := told[instance]
		if !ok {
			told[instance] = a.At
		}
		if ok && a.At.Sub(since) >= toldTime && isInTouch(instance, a.At) {
			c.arrivals = append(c.arrivals, a.At)
		}
	}
	return c
}

// highest returns the highest limit between two times and whether the target stated one all the time.
func (c *limitCheck) highest(from, to time.Time) (highest float64, isStated bool) {
	current := 0.0
	isStated = true
	for _, change := range c.changes {
		if change.At.After(to) {
			break
		}
		if change.At.After(from) {
			isStated = isStated && current > 0
			highest = max(highest, current)
		}
		current = change.Limit
	}
	return max(highest, current), isStated && current > 0
}

// worst returns the window that exceeds what is allowed the most, as a share of that.
func (c *limitCheck) worst() (share float64, text string) {
	first := 0
	for i, at := range c.arrivals {
		for at.Sub(c.arrivals[first]) >= limitWindow {
			first++
		}
		// A lower limit must be known contactTime after it was stated.
		limit, isStated := c.highest(at.Add(-limitWindow-contactTime), at)
		if !isStated {
			continue
		}
		count, allowed := i-first+1, allowedShare*limit*limitWindow.Seconds()+allowedExtra
		if used := float64(count) / allowed; used > share {
			share, text = used, fmt.Sprintf("%d requests in %v, %.0f allowed by limits up to %.1f a second", count, limitWindow, allowed, limit)
		}
	}
	return share, text
}

// checkLimits returns the targets that got more requests than they stated.
func (s *soak) checkLimits(results []result) []string {
	if !s.options.StatedLimits {
		return nil
	}
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	sentBy := make(map[string]string, len(results))
	for i := range results {
		sentBy[results[i].id] = results[i].instance
	}
	var violations []string
	most := 0.0
	for _, t := range s.testbed.targets {
		share, text := newLimitCheck(t, func(id string) string { return sentBy[id] }, s.crashes.isInTouch).worst()
		if share > 1 {
			violations = append(violations, t.ID()+" got "+text)
		}
		if share > most {
			most = share
			s.limitPeak = t.ID() + ": " + text
		}
	}
	return violations
}
