package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/retry"
)

func process(id string, started int64) *core.Registration {
	return &core.Registration{Target: core.Target{ID: core.TargetID(id)}, Started: started}
}

// Guards against a pause that a later, shorter one ends early, that goes on for a new process of the
// target, or that is forgotten.
func TestLongestPauseHolds(t *testing.T) {
	second := core.Instant(time.Second)
	p := retry.NewPauses()
	if !p.Record(0, process("t", 1), 5*time.Second) || p.Record(second, process("t", 1), time.Second) {
		t.Error("the shorter pause counts")
	}
	tests := []struct {
		now    core.Instant
		target *core.Registration
		left   time.Duration
	}{
		{2 * second, process("t", 1), 3 * time.Second},
		{5 * second, process("t", 1), 0},
		{2 * second, process("t", 2), 0},
		{2 * second, process("other", 1), 0},
	}
	for _, test := range tests {
		if left := p.Left(test.now, test.target); left != test.left {
			t.Errorf("%v, process %d: %v left, want %v", test.now, test.target.Started, left, test.left)
		}
	}
	p.Record(0, process("long", 1), 1000*time.Hour)
	if left := p.Left(0, process("long", 1)); left != retry.MaxPause {
		t.Errorf("%v left", left)
	}
}

// Guards against memory that grows with the targets that ask for pauses.
func TestPausesAreBounded(t *testing.T) {
	p := retry.NewPauses()
	for i := range 20_000 {
		p.Record(core.Instant(i)*core.Instant(time.Second), process(fmt.Sprint(i), 1), time.Second)
	}
	if left := p.Left(19_999*core.Instant(time.Second), process("19999", 1)); left != time.Second {
		t.Errorf("%v left", left)
	}
}
