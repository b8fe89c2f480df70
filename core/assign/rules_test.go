package assign_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/roster"
)

const longWait = 15 * time.Second // deadline of the streams in these tests

// withV1At returns a view of the same engines of which only the given ones have version v1.
func withV1At(view *roster.View, ids ...core.TargetID) *roster.View {
	var list []core.Registration
	for e := range view.All {
		r := e.Registration
		r.Version = "other"
		for _, id := range ids {
			if r.ID == id {
				r.Version = "v1"
			}
		}
		list = append(list, r)
	}
	result := roster.New(time.Second)
	result.Replace(0, 1, list)
	return result.View()
}

// addStreams adds running streams of another instance to an engine.
func addStreams(loads *load.Tracker, id core.TargetID, count int) {
	for serial := range uint32(count) {
		loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Sender: 7, Serial: serial}, Target: id}, Kind: load.Generate})
	}
}

// addBacklog adds a prompt to the queue of an engine.
func addBacklog(loads *load.Tracker, id core.TargetID, kind load.WorkKind, d time.Duration) {
	loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Sender: 7, Serial: 1000}, Target: id}, Kind: kind, ComputeTime: d})
}

func longRequest() *assign.Request {
	req := testRequest(3000)
	req.Objective, req.Remaining = 300*time.Millisecond, longWait
	return req
}

// Guards against refusing a continuation because the streams of a dead instance still count at all
// generators of its version.
func TestContinuationTriesGeneratorsThatSeemFull(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), withV1At(newView(5, 5), "p0", "g0", "g1")
	addStreams(loads, "g0", slots+2)
	addStreams(loads, "g1", slots)
	req := requireVersion(longRequest(), "v1")
	if d := a.Assign(0, view, req); d.Target == nil || d.Target.ID != "g1" || d.Kind != load.Whole {
		t.Errorf("%+v", d)
	}
	source, _ := view.Find("p0")
	if g, ok := a.AssignGenerator(0, view, req, source); !ok || g.ID != "g1" {
		t.Errorf("generator %+v", g)
	}
	req.OnlyFree = true
	if g, ok := a.AssignGenerator(0, view, req, source); ok {
		t.Errorf("%s is full", g.ID)
	}
}

// Guards against streams without a required version that are sent to full engines.
func TestNewStreamNeedsFreeSlot(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), withV1At(newView(2, 2), "p0", "g0")
	addStreams(loads, "g0", slots)
	addStreams(loads, "g1", slots)
	if d := a.Assign(0, view, longRequest()); d.Target != nil || d.Reason != core.ReasonNoSlot || d.RetryAfter < longWait/8 {
		t.Errorf("%+v", d)
	}
	source, _ := view.Find("p0")
	if g, ok := a.AssignGenerator(0, view, longRequest(), source); ok {
		t.Errorf("%s is full", g.ID)
	}
}

// Guards against refusing a continuation for a queue at the few engines of its version: at the
// prefill engine while a generator could compute the prompt, or at all of them for less than a second.
func TestContinuationWaitsForItsVersion(t *testing.T) {
	for _, test := range []struct {
		prefill, generator time.Duration
		want               core.TargetID
	}{
		{400 * time.Millisecond, 0, "g0"},
		{700 * time.Millisecond, 900 * time.Millisecond, "p0"},
		{2 * time.Second, 2 * time.Second, ""},
	} {
		loads := load.NewTracker()
		a, view := newAssigner(loads), withV1At(newView(5, 5), "p0", "g0")
		addStreams(loads, "g0", 6)
		addBacklog(loads, "p0", load.Prefill, test.prefill)
		addBacklog(loads, "g0", load.Whole, test.generator)
		d := a.Assign(0, view, requireVersion(longRequest(), "v1"))
		got := core.TargetID("")
		if d.Target != nil {
			got = d.Target.ID
		}
		if got != test.want || got == "" && d.Reason != assign.ReasonBacklog {
			t.Errorf("%+v: %q, %+v", test, got, d)
		}
	}
}

// Guards against a retry time of seconds for callers with few attempts and little time, and against
// one that all of them share.
func TestRefusedContinuationIsRetriedSoon(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), withV1At(newView(5, 5), "p0", "g0")
	addBacklog(loads, "p0", load.Prefill, 3*time.Second)
	addBacklog(loads, "g0", load.Whole, 3*time.Second)
	for version, want := range map[core.SoftwareVersion]core.Reason{"v1": assign.ReasonBacklog, "v0": assign.ReasonNoEngineOfVersion} {
		seen := map[time.Duration]bool{}
		for range 10 {
			d := a.Assign(0, view, requireVersion(longRequest(), version))
			if d.Target != nil || d.Reason != want || d.RetryAfter < 100*time.Millisecond || d.RetryAfter > 300*time.Millisecond {
				t.Errorf("%q: %+v", version, d)
			}
			seen[d.RetryAfter] = true
		}
		if len(seen) < 5 {
			t.Errorf("%q: %d distinct retry times", version, len(seen))
		}
	}
}

// Guards against computing a prompt in another cell although all generators of the version there
// seem full, so that the work may be lost.
func TestPromptIsNotComputedForGeneratorsThatSeemFull(t *testing.T) {
	loads := load.NewTracker()
	a, view := newTwoCells(loads)
	view = withV1At(view, "far-p", "far-g")
	generator, _ := view.Find("far-g")
	addStreams(loads, "far-g", generator.Slots)
	for range 20 {
		if d := a.Assign(0, view, requireVersion(unsharedRequest(), "v1")); d.Target == nil || d.Target.ID != "far-g" || d.Kind != load.Whole {
			t.Fatalf("%+v", d)
		}
	}
}
