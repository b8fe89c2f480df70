package timeline_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gorseline/core"
	"gorseline/core/timeline"
)

// Guards against an effect that orders before its cause because the receiver's wall clock
// is behind the sender's.
func TestReceiverOrdersAfterSender(t *testing.T) {
	sender := timeline.NewClock(func() time.Duration { return 100 * time.Second })
	receiver := timeline.NewClock(func() time.Duration { return 90 * time.Second })
	sent := sender.Now()
	if !receiver.Observe(sent) {
		t.Fatal("a timestamp 10 s ahead was ignored")
	}
	if received := receiver.Now(); !sent.Before(received) {
		t.Errorf("received %v orders before sent %v", received, sent)
	}
}

// Guards against one process with a wrong wall clock that advances the clocks of all
// others.
func TestClockIgnoresTimestampFarAhead(t *testing.T) {
	c := timeline.NewClock(func() time.Duration { return time.Second })
	if c.Observe(core.Timestamp{Wall: time.Hour}) {
		t.Error("a timestamp an hour ahead was applied")
	}
	if c.Now().Wall != time.Second {
		t.Error("the clock moved")
	}
}

// Guards against events that are dropped without being counted during a long outage of the
// object store, and against duplicates when a flushed chunk is merged with buffered events.
func TestTimelineCountsLossAndMerges(t *testing.T) {
	wall := time.Duration(0)
	clock := timeline.NewClock(func() time.Duration { wall += time.Millisecond; return wall })
	tl := timeline.New("a", clock, 3)
	for range 5 {
		tl.Record(core.Event{Kind: "Route"})
	}
	if tl.Lost() != 2 {
		t.Errorf("lost %d, want 2", tl.Lost())
	}
	chunk := tl.DrainPending(10)
	merged := timeline.Merge(tl.Events(timeline.Filter{}), chunk)
	if diff := cmp.Diff(chunk, merged); diff != "" {
		t.Error(diff)
	}
	if got := tl.Events(timeline.Filter{Kind: "Other"}); len(got) != 0 {
		t.Errorf("filter passed %v", got)
	}
}

func BenchmarkRecord(b *testing.B) {
	tl := timeline.New("a", timeline.NewClock(timeline.WallTime), 8192)
	e := core.Event{Kind: "Route", Request: "r", Target: "t", Reason: core.ReasonLeastDelay}
	b.ReportAllocs()
	for b.Loop() {
		tl.Record(e)
	}
}
