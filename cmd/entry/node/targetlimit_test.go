package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	standin "gorseline/standin/platform"
)

// limitWindow is the window in which the requests to a limited target are counted.
const limitWindow = 4 * time.Second

// allowedArrivals returns how many requests a target may get in limitWindow.
func allowedArrivals(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// maxArrivals returns the largest number of requests that reached a target within limitWindow between
// two times.
func maxArrivals(tg *standin.Target, from, to time.Time) int {
	var times []time.Time
	for _, a := range tg.Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that gets more requests than the limit that it states, from all instances
// together, and against one that is hardly used after it has stopped stating it.
func TestStatedLimitHoldsOverAllInstances(t *testing.T) {
	s := newCrashSite(t, 8)
	list := []*instance{s.start("n1"), s.start("n2"), s.start("n3")}
	s.eventually(5*time.Second, "the instances know each other", func() bool {
		return !slices.ContainsFunc(list, func(i *instance) bool { return len(i.digests.Members()) != 3 })
	})
	load := s.startSoundLoad(t, func() []*instance { return list })
	for n := range 4 {
		s.loops.Go(func() {
			for i := 0; s.wait(20 * time.Millisecond); i++ {
				list[i%3].call(t, "/once/x", fmt.Sprintf("call-%d-%d", n, i))
			}
		})
	}
	time.Sleep(2 * time.Second)
	limits := map[*standin.Target]float64{s.targets[0]: 6.5, s.targets[2]: 9, s.targets[3]: 4, s.targets[4]: 12}
	for tg, limit := range limits {
		tg.SetLimit(limit)
	}
	known := time.Now().Add(contactTime)
	time.Sleep(contactTime + limitWindow + time.Second)
	end := time.Now()
	for tg, limit := range limits {
		if got := maxArrivals(tg, known, end); got > allowedArrivals(limit) {
			t.Errorf("%s stated %v a second and got %d requests in %v; allowed %d", tg.ID(), limit, got, limitWindow, allowedArrivals(limit))
		}
	}
	if share := load.servedShare(known); share < 0.9 {
		t.Errorf("%.2f of the requests are served beside limited engines", share)
	}
	for tg := range limits {
		tg.SetLimit(0)
	}
	time.Sleep(contactTime)
	lifted := time.Now()
	time.Sleep(time.Second)
	if got := maxArrivals(s.targets[0], lifted, time.Now()); got < 20 {
		t.Errorf("%d requests in a second reached a target whose limit is over", got)
	}
}

// Guards against limits that other instances learn only from the facts that are sent to random peers at
// intervals: until then they go on using the target.
func TestStatedLimitIsToldToAllAtOnce(t *testing.T) {
	s := newCrashSite(t, 2)
	list := []*instance{s.start("n1"), s.start("n2"), s.start("n3"), s.start("n4")}
	s.waitForMembers(list...)
	tg := s.targets[0]
	// Periodic facts reach two random peers a second, so that they are in time for some rates only.
	for round := range 6 {
		rate := float64(400 * (round + 1))
		line := fmt.Sprintf("Rate=%.0f", rate)
		knows := func(i *instance) bool {
			for text := range strings.Lines(i.output.String()) {
				fields := strings.Fields(text)
				if slices.Contains(fields, "Event=TargetLimitChanged") && slices.Contains(fields, line) && slices.Contains(fields, "Target="+tg.ID()) {
					return true
				}
			}
			return false
		}
		tg.SetLimit(rate)
		for n := 0; !knows(list[0]); n++ {
			if n == 200 {
				t.Fatalf("%s: no answer states the limit", line)
			}
			list[0].call(t, "/once/x", fmt.Sprintf("limit-%d-%d", round, n))
		}
		s.eventually(300*time.Millisecond, "all instances know "+line, func() bool {
			return !slices.ContainsFunc(list, func(i *instance) bool { return !knows(i) })
		})
	}
}
