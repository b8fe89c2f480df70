package retry_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/retry"
)

// Guards against a stream that is moved or ended while its engine may go on, and against one that
// stays with a dead engine until its caller disconnects.
func TestSilenceDecision(t *testing.T) {
	const now = core.Instant(time.Minute)
	const ms = time.Millisecond
	s := retry.NewSilence(50 * ms)
	for name, test := range map[string]struct {
		state retry.SilenceState
		move  bool
	}{
		"short":                     {retry.SilenceState{Silent: 1200 * ms, CanMove: true}, false},
		"long":                      {retry.SilenceState{Silent: 1300 * ms, CanMove: true}, true},
		"long, can't move":          {retry.SilenceState{Silent: 9000 * ms}, false},
		"engine answers others":     {retry.SilenceState{Silent: 1300 * ms, CanMove: true, LastHeard: now.Add(-100 * ms)}, false},
		"engine answered others":    {retry.SilenceState{Silent: 1300 * ms, CanMove: true, LastHeard: now.Add(-900 * ms)}, true},
		"answers others, very long": {retry.SilenceState{Silent: 1650 * ms, CanMove: true, LastHeard: now.Add(-100 * ms)}, true},
	} {
		d := s.Decide(now, &test.state)
		if d.Move != test.move || !d.Move && d.Wait <= 0 {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// Guards against a continuation that reaches the caller after it has disconnected, at any pause
// objective.
func TestMovePrecedesCallersDisconnect(t *testing.T) {
	for pause := time.Duration(0); pause < 2*time.Second; pause += 10 * time.Millisecond {
		s := retry.NewSilence(pause)
		gap := max(2*time.Second, 8*pause)
		if s.Notice > s.Move || s.Move > s.MoveAlive || s.MoveAlive > gap*17/20 || s.Move+s.Overlap > gap*4/5 {
			t.Fatalf("pause objective %v: %+v, gap %v", pause, s, gap)
		}
		if longest := 1600 * time.Millisecond; s.Move+s.Overlap < longest {
			t.Fatalf("pause objective %v: a sound engine is left after %v", pause, s.Move+s.Overlap)
		}
		if s.Overlap >= 400*time.Millisecond {
			t.Fatalf("overlap %v", s.Overlap)
		}
	}
}

// Guards against a request that is failed although its target is only slow, and against one that
// has not run and is held until its deadline.
func TestWaitForHeader(t *testing.T) {
	const s = time.Second
	silence := retry.NewSilence(0)
	for name, test := range map[string]struct {
		waited, remaining   time.Duration
		canMove, mayHaveRun bool
		wait                bool
	}{
		"can move":              {s, 2 * s, true, true, false},
		"can't move":            {2 * s, s, false, true, true},
		"deadline":              {3 * s, 0, false, true, false},
		"not run, short":        {s / 2, 2 * s, false, false, true},
		"not run, long":         {2 * s, 9 * s, false, false, false},
		"not run, half is over": {s, s / 2, false, false, false},
	} {
		wait, ok := silence.WaitForHeader(test.waited, test.remaining, test.canMove, test.mayHaveRun)
		if ok != test.wait || ok && (wait <= 0 || wait > test.remaining) {
			t.Errorf("%s: %v, %v", name, wait, ok)
		}
	}
}

// Guards against a target that is avoided after a pause, and against a dead one that isn't.
func TestSilenceCountsUntilSignOfLife(t *testing.T) {
	h := retry.NewHealth(retry.DefaultHealthOptions(), random.New(1))
	if h.RecordSilence(0, "t") || !h.Usable(0, "t") {
		t.Error("avoided after the silence of one request")
	}
	if !h.RecordSilence(0, "t") || h.Usable(0, "t") {
		t.Error("not avoided after the silence of two requests")
	}
	h.RecordLife(1, "t")
	if !h.Usable(1, "t") {
		t.Error("avoided although it has gone on")
	}
	for range 2 {
		h.RecordSilence(2, "t")
	}
	probe := core.Instant(time.Second)
	if !h.Usable(probe, "t") {
		t.Error("not probed")
	}
	h.RecordSend(probe, "t")
	if h.Usable(probe, "t") {
		t.Error("more than one probe")
	}
	h.RecordSilence(probe, "t")
	if h.Usable(probe.Add(900*time.Millisecond), "t") {
		t.Error("used soon after a probe without an answer")
	}
}

// Guards against a target that is silent on half of its requests and still gets its full share.
func TestTargetSilentOnHalfOfItsRequestsIsAvoided(t *testing.T) {
	h := retry.NewHealth(retry.DefaultHealthOptions(), random.New(1))
	avoided := false
	for i := range 40 {
		now := core.Instant(i) * core.Instant(10*time.Millisecond)
		h.RecordSilence(now, "t")
		h.RecordAnswer(now, "t", "s", false)
		avoided = avoided || !h.Usable(now, "t")
	}
	if !avoided {
		t.Error("never avoided")
	}
}

// Guards against a request that leaves a target that only pauses, and against one that waits for a
// dead one for most of its time.
func TestExceedsPause(t *testing.T) {
	const ms = time.Millisecond
	silence := retry.NewSilence(0)
	for _, test := range []struct {
		waited, remaining time.Duration
		exceeds           bool
	}{{1500 * ms, 1500 * ms, false}, {1600 * ms, 1400 * ms, true}, {600 * ms, 400 * ms, false}, {670 * ms, 330 * ms, true}} {
		if got := silence.ExceedsPause(test.waited, test.remaining); got != test.exceeds {
			t.Errorf("waited %v, remaining %v: %v", test.waited, test.remaining, got)
		}
	}
}
