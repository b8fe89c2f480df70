package load_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/load"
)

func at(ms int) core.Instant { return core.Instant(time.Duration(ms) * time.Millisecond) }

func send(tracker *load.Tracker, ms int, serial uint32, compute int) load.Ref {
	ref := load.Ref{Key: load.Key{Sender: 1, Serial: serial}, Target: "t"}
	tracker.Sent(at(ms), load.Item{Ref: ref, Kind: load.Prefill, ComputeTime: time.Duration(compute) * time.Millisecond})
	return ref
}

// Guards against a backlog that includes computed prompts or leaves out queued ones.
func TestBacklogFollowsProgress(t *testing.T) {
	tracker := load.NewTracker()
	first := send(tracker, 0, 1, 20)
	second := send(tracker, 5, 2, 30)
	if got := tracker.State(at(10), "t", nil); got.Backlog != 40*time.Millisecond || got.Prompts != 2 {
		t.Errorf("%+v", got)
	}
	if took, ok := tracker.Finished(at(22), first); !ok || took != 22*time.Millisecond {
		t.Errorf("took %v", took)
	}
	if got := tracker.State(at(32), "t", nil); got.Backlog != 20*time.Millisecond || got.Prompts != 1 {
		t.Errorf("%+v", got)
	}
	// The target starts on the second prompt when the first one is computed.
	if took, ok := tracker.Finished(at(50), second); !ok || took != 28*time.Millisecond {
		t.Errorf("took %v", took)
	}
	if got := tracker.State(at(50), "t", nil); got.Backlog != 0 || got.Running != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against a prompt that stays in the backlog until its timeout because the datagram
// that reported its end was lost.
func TestLaterEndReplacesLostOne(t *testing.T) {
	tracker := load.NewTracker()
	send(tracker, 0, 1, 20)
	later := send(tracker, 20, 2, 20)
	tracker.Finished(at(60), later)
	if got := tracker.State(at(60), "t", nil); got.Backlog != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against the end of an unknown item removing another item. Such ends arrive after a
// restart of this process.
func TestUnknownEndChangesNothing(t *testing.T) {
	tracker := load.NewTracker()
	send(tracker, 0, 1, 20)
	if _, ok := tracker.Finished(at(5), load.Ref{Key: load.Key{Sender: 9, Serial: 1}, Target: "t"}); ok {
		t.Error("the end of an unknown item was accepted")
	}
	if got := tracker.State(at(5), "t", nil); got.Prompts != 1 {
		t.Errorf("%+v", got)
	}
}

// Guards against instances that assign a target to different cells, against cells of very
// different sizes, and against a small fleet that doesn't share all loads.
func TestCellsAgree(t *testing.T) {
	instances := map[core.DataCentre]int{"a": 16, "b": 16, "c": 16}
	counts := map[core.DataCentre]int{}
	for i := range 300 {
		id := core.TargetID(rune('a' + i))
		cell := load.NewCells("a", instances).Of(id, "no instances here")
		if other := load.NewCells("b", instances).Of(id, "no instances here"); other != cell {
			t.Fatalf("target %s: cells %s and %s", id, cell, other)
		}
		counts[cell]++
	}
	for dc, n := range counts {
		if n < 50 {
			t.Errorf("cell %s has %d of 300 targets", dc, n)
		}
	}
	if cell := load.NewCells("a", instances).Of("x", "b"); cell != "b" {
		t.Errorf("a target of b is in cell %s", cell)
	}
	if small := load.NewCells("a", map[core.DataCentre]int{"a": 3, "b": 3}); !small.Includes("x", "b") {
		t.Error("a small fleet does not share all loads")
	}
}
