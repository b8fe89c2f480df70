package drain

import (
	"testing"
	"time"

	"gorseline/core"
)

// learn records n streams of 21 events with the given pace, and as many plain requests of 100 ms.
// The route of the streams had plain requests before.
func learn(d *Durations, n int, pace time.Duration) {
	for range n {
		d.ObserveStream("models", 21, 200*time.Millisecond, 20*pace)
		d.ObserveRequest("plain", 100*time.Millisecond)
		d.ObserveRequest("stream", 100*time.Millisecond)
	}
}

// pausing returns work whose target may pause.
func pausing(w Work, pause time.Duration) Work {
	w.Pause = pause
	return w
}

// Guards against a leaving instance that takes work which it can't finish, and one that refuses
// work which it can.
func TestFit(t *testing.T) {
	stream := func(tokens int) Work {
		return Work{Service: "models", Route: "stream", Kind: core.RouteStream, MaxTokens: tokens, IsRepeatable: true}
	}
	single := func(tokens int) Work {
		w := stream(tokens)
		w.IsRepeatable = false
		return w
	}
	once := Work{Service: "calls", Route: "plain"}
	plain := once
	plain.IsRepeatable = true
	const pace = 50 * time.Millisecond
	tests := []struct {
		name            string
		samples         int
		work            Work
		left, remaining time.Duration
		fits            bool
	}{
		{"long stream", 40, stream(140), 4200 * time.Millisecond, 15 * time.Second, false},
		{"short stream", 40, stream(60), 4200 * time.Millisecond, 15 * time.Second, true},
		{"long stream whose deadline is near", 40, stream(140), 4200 * time.Millisecond, 4 * time.Second, true},
		{"long stream early", 40, stream(110), 7200 * time.Millisecond, 15 * time.Second, true},
		{"short stream that may pause", 40, pausing(stream(50), 1500*time.Millisecond), 4200 * time.Millisecond, 15 * time.Second, false},
		{"short stream that may pause early", 40, pausing(stream(50), 1500*time.Millisecond), 4600 * time.Millisecond, 15 * time.Second, true},
		{"pause beyond a near deadline", 40, pausing(stream(50), 1500*time.Millisecond), 4200 * time.Millisecond, 4 * time.Second, true},
		{"plain request", 40, plain, 200 * time.Millisecond, time.Second, true},
		{"plain request too late", 40, plain, 105 * time.Millisecond, time.Second, false},
		{"call that runs once", 40, once, 990 * time.Millisecond, time.Second, false},
		{"call that runs once, deadline is near", 40, once, time.Second, time.Second, true},
		{"stream that runs once", 40, single(2), 14 * time.Second, 15 * time.Second, false},
		{"stream that runs once, deadline is near", 40, single(140), 4200 * time.Millisecond, 4 * time.Second, true},
		{"nothing known", 0, stream(4), 4 * time.Second, 5 * time.Second, false},
		{"nothing known, deadline is near", 0, stream(4), 4 * time.Second, 3 * time.Second, true},
		{"short history", minSamples - 1, stream(4), 4 * time.Second, 5 * time.Second, false},
		{"no limit on the answer", 40, stream(0), 4 * time.Second, 5 * time.Second, false},
		{"other service", 40, Work{Service: "others", Route: "stream", Kind: core.RouteStream, MaxTokens: 4, IsRepeatable: true}, 4 * time.Second, 5 * time.Second, false},
		{"longest answer that a caller can state", 40, stream(1 << 30), time.Hour / 2, time.Hour, false},
		{"no time left", 40, plain, -time.Millisecond, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := NewDurations()
			learn(d, test.samples, pace)
			if fit := d.Fit(&test.work, test.left, test.remaining); fit.Fits() != test.fits {
				t.Errorf("%+v", fit)
			}
		})
	}
}

// Guards against a single stalled stream that makes a leaving instance refuse everything, and
// against a bound that misses streams which have become slower.
func TestSlowValueIsRobust(t *testing.T) {
	d := NewDurations()
	need := func() time.Duration {
		return d.Fit(&Work{Service: "models", MaxTokens: 100, IsRepeatable: true}, time.Minute, time.Minute).Need
	}
	learn(d, 40, 50*time.Millisecond)
	usual := need()
	learn(d, 1, time.Second)
	if got := need(); got != usual {
		t.Errorf("need %v after a stalled stream, %v before", got, usual)
	}
	learn(d, 4, 100*time.Millisecond)
	if got := need(); got < 10*time.Second {
		t.Errorf("need %v after several streams of 100 ms an event", got)
	}
	learn(d, windowSize, 50*time.Millisecond)
	if got := need(); got != usual {
		t.Errorf("need %v after a window of usual streams", got)
	}
}

// Guards against short streams with one long pause that make the bound of long streams useless.
func TestShortStreamsAreTakenTogether(t *testing.T) {
	d := NewDurations()
	for n := range 200 {
		pause := 40 * time.Millisecond
		if n%10 == 0 {
			pause = 400 * time.Millisecond
		}
		d.ObserveStream("models", 2, 10*time.Millisecond, pause)
	}
	fit := d.Fit(&Work{Service: "models", MaxTokens: 100, IsRepeatable: true}, time.Minute, time.Minute)
	if !fit.Learned || fit.Need > 15*time.Second {
		t.Errorf("%+v", fit)
	}
}

// Guards against an import that is refused because the time of its computed prompt is counted
// again.
func TestComputedPromptIsNotCountedAgain(t *testing.T) {
	d := NewDurations()
	learn(d, 40, 50*time.Millisecond)
	whole := d.Fit(&Work{Service: "models", MaxTokens: 10, IsRepeatable: true}, time.Minute, time.Minute).Need
	rest := d.Fit(&Work{Service: "models", MaxTokens: 10, IsRepeatable: true, Computed: 150 * time.Millisecond}, time.Minute, time.Minute).Need
	if whole-rest < 150*time.Millisecond {
		t.Errorf("need %v, after the prompt %v", whole, rest)
	}
}

// Guards against a bound that overflows and then fits any time.
func TestBoundDoesNotOverflow(t *testing.T) {
	d := NewDurations()
	learn(d, 40, 10*time.Second)
	if fit := d.Fit(&Work{Service: "models", MaxTokens: 1 << 30}, time.Minute, time.Hour); fit.Fits() {
		t.Errorf("%+v", fit)
	}
}

// Guards against durations of routes and services that no longer exist.
func TestRetainForgetsRoutes(t *testing.T) {
	d := NewDurations()
	learn(d, 40, 50*time.Millisecond)
	d.Retain(map[string]bool{"plain": true}, map[core.Service]core.ServiceLimits{"models": {}})
	if fit := d.Fit(&Work{Service: "models", MaxTokens: 1, IsRepeatable: true}, 0, time.Minute); !fit.Learned {
		t.Error("forgot a service that exists")
	}
	if fit := d.Fit(&Work{Route: "plain", IsRepeatable: true}, 0, time.Minute); !fit.Learned {
		t.Error("forgot a route that exists")
	}
	d.Retain(nil, nil)
	if len(d.routes)+len(d.streams) > 0 {
		t.Error("kept routes that no longer exist")
	}
}
