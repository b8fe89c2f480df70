package soak

import (
	"testing"
	"time"

	"gorseline/standin/platform"
)

// Guards against a check that misses requests to targets that leave or ask for pauses, or that reports
// allowed ones.
func TestAnnouncementsAreChecked(t *testing.T) {
	start := time.Now()
	arrival := func(id string, d time.Duration) platform.Arrival { return platform.Arrival{ID: id, At: start.Add(d)} }
	leaving := platform.Arrival{ID: "first", At: start, Leaving: true}
	paused := platform.Arrival{ID: "first", At: start, Pause: 3 * time.Second}
	restarted := arrival("later", 5*time.Second)
	restarted.Born = 1
	tests := map[string]struct {
		arrivals  []platform.Arrival
		isExcused bool
		want      int
	}{
		"after it leaves":      {[]platform.Arrival{leaving, arrival("later", 2100*time.Millisecond)}, false, 1},
		"while it may be used": {[]platform.Arrival{leaving, arrival("later", 1900*time.Millisecond)}, false, 0},
		"new process":          {[]platform.Arrival{leaving, restarted}, false, 0},
		"instance restarted":   {[]platform.Arrival{leaving, arrival("later", 5*time.Second)}, true, 0},
		"during a pause": {[]platform.Arrival{
			paused, arrival("a", 600*time.Millisecond), arrival("b", time.Second), arrival("c", 2*time.Second),
		}, false, 1},
		"two during a pause": {[]platform.Arrival{paused, arrival("a", 600*time.Millisecond), arrival("b", time.Second)}, false, 0},
		"around a pause": {[]platform.Arrival{
			paused, arrival("a", 100*time.Millisecond), arrival("b", 200*time.Millisecond), arrival("c", 300*time.Millisecond), arrival("d", 3100*time.Millisecond),
		}, false, 0},
	}
	for name, test := range tests {
		check := announcementCheck{
			sentAt: func(id string) time.Time {
				for _, a := range test.arrivals {
					if a.ID == id {
						return a.At
					}
				}
				return start
			},
			isExcused: func(_, _ time.Time) bool { return test.isExcused },
		}
		if got := check.violations(test.arrivals); len(got) != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
