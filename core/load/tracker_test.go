package load_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/load"
)

func at(ms int) core.Instant { return core.Instant(time.Duration(ms) * time.Millisecond) }

func send(b *load.Tracker, ms int, serial uint32, compute int) load.Ref {
	ref := load.Ref{Key: load.Key{Sender: 1, Serial: serial}, Target: "t"}
	b.Sent(at(ms), load.Item{Ref: ref, Kind: load.Prefill, Compute: time.Duration(compute) * time.Millisecond})
	return ref
}

// Guards against a backlog that counts what is done already or forgets what waits.
func TestBacklogFollowsProgress(t *testing.T) {
	b := load.NewTracker()
	first := send(b, 0, 1, 20)
	second := send(b, 5, 2, 30)
	if got := b.State(at(10), "t", nil); got.Backlog != 40*time.Millisecond || got.Prompts != 2 {
		t.Errorf("%+v", got)
	}
	if took, ok := b.Finished(at(22), first); !ok || took != 22*time.Millisecond {
		t.Errorf("took %v", took)
	}
	if got := b.State(at(32), "t", nil); got.Backlog != 20*time.Millisecond || got.Prompts != 1 {
		t.Errorf("%+v", got)
	}
	// The second prompt was computed from the end of the first one.
	if took, ok := b.Finished(at(50), second); !ok || took != 28*time.Millisecond {
		t.Errorf("took %v", took)
	}
	if got := b.State(at(50), "t", nil); got.Backlog != 0 || got.Running != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against work that counts for seconds because the datagram with its end was lost.
func TestLostEndIsFoundByALaterOne(t *testing.T) {
	b := load.NewTracker()
	send(b, 0, 1, 20)
	later := send(b, 20, 2, 20)
	b.Finished(at(60), later)
	if got := b.State(at(60), "t", nil); got.Backlog != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against ends of unknown work, as after a restart of this process.
func TestUnknownEndChangesNothing(t *testing.T) {
	b := load.NewTracker()
	send(b, 0, 1, 20)
	if _, ok := b.Finished(at(5), load.Ref{Key: load.Key{Sender: 9, Serial: 1}, Target: "t"}); ok {
		t.Error("an unknown item has ended")
	}
	if got := b.State(at(5), "t", nil); got.Prompts != 1 {
		t.Errorf("%+v", got)
	}
}

// Guards against two instances that disagree on who shares a target's load.
func TestCellsAgree(t *testing.T) {
	instances := map[core.DataCentre]int{"a": 16, "b": 16, "c": 16}
	counts := map[core.DataCentre]int{}
	for i := range 300 {
		id := core.TargetID(rune('a' + i))
		of := load.NewCells("a", instances).Of(id, "no instances here")
		if other := load.NewCells("b", instances).Of(id, "no instances here"); other != of {
			t.Fatalf("target %s: cells %s and %s", id, of, other)
		}
		counts[of]++
	}
	for dc, n := range counts {
		if n < 50 {
			t.Errorf("cell %s has %d of 300 targets", dc, n)
		}
	}
	if of := load.NewCells("a", instances).Of("x", "b"); of != "b" {
		t.Errorf("a target of b is in cell %s", of)
	}
	if small := load.NewCells("a", map[core.DataCentre]int{"a": 3, "b": 3}); !small.Includes("x", "b") {
		t.Error("a small fleet does not share all loads")
	}
}
