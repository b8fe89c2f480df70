package drain

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"gorseline/core"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// phases records the phases of an instance in order.
type phases []string

func (p *phases) Record(e core.Event) { *p = append(*p, e.Detail) }

// Guards against requests that are cut or refused without need, and against an instance
// that never leaves: because a stream doesn't end before the drain timeout, because it
// ignores a second signal, or because a step fails.
func TestLeave(t *testing.T) {
	tests := []struct {
		name     string
		stream   time.Duration // length of the open stream
		second   time.Duration // time of the second signal; 0 for none
		moves    bool          // whether the stream ends when it is handed over
		announce error
		took     time.Duration
		handed   int
		cut      int
	}{
		{name: "idle", took: 5 * time.Second},
		{name: "stream ends in time", stream: 20 * time.Second, took: 20 * time.Second},
		{name: "drain timeout", stream: time.Hour, moves: true, took: time.Minute, handed: 1},
		{name: "second signal", stream: time.Hour, second: 10 * time.Second, moves: true, took: 10 * time.Second, handed: 1},
		{name: "second signal while accepting", stream: time.Hour, second: time.Second, moves: true, took: 5 * time.Second, handed: 1},
		{name: "stream that does not move", stream: time.Hour, second: 10 * time.Second, took: 15 * time.Second, handed: 1, cut: 1},
		{name: "peers not reached", announce: errors.New("no peer"), took: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var seen phases
				moved := make(chan struct{})
				released := false
				i := NewInstance(Options{
					Announce: func(context.Context) error { return test.announce },
					HandOver: func() { close(moved) },
					Release:  func(context.Context) error { released = true; return nil },
					Recorder: &seen, DrainTimeout: time.Minute,
				})
				end, ok := i.Begin()
				if !ok {
					t.Fatal("refused before leaving")
				}
				time.AfterFunc(test.stream, end)
				if test.moves {
					go func() { <-moved; end() }()
				}
				i.Leave()
				if test.second > 0 {
					time.AfterFunc(test.second, i.Leave)
				}
				started := time.Now()
				result := i.Run(t.Context())
				if took := time.Since(started); took != test.took {
					t.Errorf("took %v, want %v", took, test.took)
				}
				if result.HandedOver != test.handed || result.Cut != test.cut || !errors.Is(result.Err, test.announce) {
					t.Errorf("result %+v", result)
				}
				if !released || seen[len(seen)-1] != "Done" || !slices.IsSorted(phaseOrder(seen)) {
					t.Errorf("released %v, phases %v", released, seen)
				}
				if _, ok := i.Begin(); ok {
					t.Error("accepted after leaving")
				}
				<-i.Done()
			})
		})
	}
}

func phaseOrder(seen phases) (order []int) {
	for _, name := range seen {
		order = append(order, slices.Index(phaseNames[:], name))
	}
	return order
}

// Guards against refused requests while callers may still use a cached address answer.
func TestAcceptsUntilAnswersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nothing := func(context.Context) error { return nil }
		i := NewInstance(Options{Announce: nothing, Release: nothing, HandOver: func() {}})
		go i.Run(t.Context())
		i.Leave()
		time.Sleep(4900 * time.Millisecond)
		end, ok := i.Begin()
		if !ok || i.Phase() != PhaseAnnounced {
			t.Fatalf("refused in phase %v", i.Phase())
		}
		time.Sleep(200 * time.Millisecond)
		if _, ok := i.Begin(); ok {
			t.Error("accepted after the answers had expired")
		}
		end()
		<-i.Done()
	})
}

// Guards against new work on a leaving target, and against a target that counts as drained
// while it still runs work.
func TestLeavingTargets(t *testing.T) {
	targets := NewTargets()
	if !targets.Begin("e1") {
		t.Fatal("refused before the mark")
	}
	targets.MarkLeaving(5, "e1")
	targets.MarkLeaving(9, "e1")
	if targets.Begin("e1") {
		t.Error("new work after the mark")
	}
	if s := targets.State("e1"); s.Drained() || s.Since != 5 || s.Running != 1 {
		t.Errorf("%+v", s)
	}
	targets.Continue("e1")
	targets.End("e1")
	targets.End("e1")
	if !targets.State("e1").Drained() {
		t.Errorf("%+v", targets.State("e1"))
	}
	targets.UnmarkLeaving("e1")
	if !targets.Begin("e1") {
		t.Error("refused after the mark was removed")
	}
}
