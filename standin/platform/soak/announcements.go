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

// Limits of the checks that targets that leave or ask for a pause get no requests.
const (
	// drainTime is the time after an answer that states that its target leaves from which requests that
	// callers send must not reach it from the same instance. It equals drain_ms in the settings.
	drainTime = 2 * time.Second
	// pauseGrace is the time after a refusal from which its pause holds, maxPaused the number of requests
	// that may reach the target during it from the same instance.
	pauseGrace = 500 * time.Millisecond
	maxPaused  = 2
)

// Ranges of how long targets go on after they have stated that they leave, and of pauses.
const (
	minLeaveTime, maxLeaveTime = 3 * time.Second, 7 * time.Second
	minPause, maxPause         = 0.6, 5.0
)

// announcementFaults are the faults beside targets that leave or ask for pauses.
var announcementFaults = slices.Concat([]fault{
	{"Leaves", func(ctx context.Context, s *soak, rng *rand.Rand) {
		t := s.testbed.targets[rng.IntN(len(s.testbed.targets))]
		t.SetDownTime(engineDownTime)
		t.SetLeaving(true)
		pause.For(ctx, minLeaveTime+time.Duration(rng.Float64()*float64(maxLeaveTime-minLeaveTime)))
		t.Crash()
		pause.For(ctx, engineDownTime)
	}},
	{"Pauses", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.askPauses(ctx, rng, s.testbed.targets[rng.IntN(len(s.testbed.targets))])
	}},
	{"ServicePauses", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.askPauses(ctx, rng, s.testbed.targetsOf([]string{"calls", "models"}[rng.IntN(2)])...)
	}},
}, instanceFaults)

// askPauses makes targets refuse all requests and ask for pauses of changing lengths.
func (s *soak) askPauses(ctx context.Context, rng *rand.Rand, targets ...*platform.Target) {
	for range 1 + rng.IntN(3) {
		for _, t := range targets {
			t.Ask(fmt.Sprintf("%.2f", minPause+(maxPause-minPause)*rng.Float64()))
		}
		pause.For(ctx, randomDuration(rng))
	}
	for _, t := range targets {
		t.Ask("")
	}
}

// announcementCheck checks the arrivals at one target from one instance, in order.
type announcementCheck struct {
	// sentAt returns when the caller sent a request.
	sentAt func(id string) time.Time
	// isExcused reports whether the instance has restarted or was frozen between two times.
	isExcused func(from, to time.Time) bool
}

// violations returns the arrivals that should not have been.
func (c *announcementCheck) violations(arrivals []platform.Arrival) []string {
	var violations []string
	var left *platform.Arrival
	paused := 0
	var asked []platform.Arrival
	for i := range arrivals {
		a := &arrivals[i]
		if left != nil && left.Born == a.Born && c.sentAt(a.ID).After(left.At.Add(drainTime)) && !c.isExcused(left.At, a.At) {
			violations = append(violations, fmt.Sprintf("%s reached it %v after its answer to %s stated that it leaves",
				a.ID, a.At.Sub(left.At).Round(time.Millisecond), left.ID))
		}
		if a.Leaving && (left == nil || left.Born != a.Born) {
			left = a
		}
		if slices.ContainsFunc(asked, func(p platform.Arrival) bool {
			return p.Born == a.Born && a.At.After(p.At.Add(pauseGrace)) && a.At.Before(p.At.Add(p.Pause)) && !c.isExcused(p.At, a.At)
		}) {
			if paused++; paused > maxPaused {
				violations = append(violations, fmt.Sprintf("%s reached it during a pause that it had asked for", a.ID))
			}
		} else {
			paused = 0
		}
		if a.Pause > 0 {
			asked = append(asked, *a)
		}
	}
	return violations
}

// checkAnnouncements returns the requests that reached targets which leave or had asked for a pause.
func (s *soak) checkAnnouncements(results []result) []string {
	if !s.options.Announcements {
		return nil
	}
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	sent := make(map[string]*result, len(results))
	for i := range results {
		sent[results[i].id] = &results[i]
	}
	var violations []string
	for _, t := range s.testbed.targets {
		byInstance := map[string][]platform.Arrival{}
		for _, a := range t.Arrivals() {
			if r, ok := sent[a.ID]; ok {
				byInstance[r.instance] = append(byInstance[r.instance], a)
			}
		}
		for instance, arrivals := range byInstance {
			check := announcementCheck{
				sentAt: func(id string) time.Time { return sent[id].started },
				isExcused: func(from, to time.Time) bool {
					return slices.ContainsFunc(s.crashes.disrupted[instance], func(d interval) bool { return d.begin.Before(to) && d.end.After(from) })
				},
			}
			for _, v := range check.violations(arrivals) {
				violations = append(violations, fmt.Sprintf("%s from %s: %s", t.ID(), instance, v))
			}
		}
	}
	return violations
}
