package assign_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/roster"
)

const (
	longHold  = 3 * time.Second
	briefHold = 30 * time.Millisecond
)

// requestOf returns a request of a route whose prompt is short.
func requestOf(route string) *assign.Request {
	req := testRequest(100)
	req.Route = route
	return req
}

// teach lets the assigner see requests and how long their answers held a slot.
func teach(a *assign.Assigner, view *roster.View, route string, hold time.Duration) {
	for range 100 {
		a.Assign(0, view, requestOf(route))
		a.ObserveSlotTime(requestOf(route), hold)
	}
}

// fill gives the first generating engine answers that hold slots.
func fill(board *load.Board, count int) {
	for serial := range uint32(count) {
		board.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Sender: 9, Serial: serial}, Target: "g0"}, Kind: load.Generate})
	}
}

// Answers bursts of long answers beside many brief ones. Guards against slots that are all
// held for seconds, so that prompts with brief answers are refused while their engines idle:
// seen on scale-1 of ksg-limits.
func TestLongAnswersLeaveSlotsForBriefOnes(t *testing.T) {
	board := load.NewBoard()
	a, view := newAssigner(board), newView(2, 1)
	teach(a, view, "brief", briefHold)
	teach(a, view, "long", longHold)
	fill(board, slots-2)
	if d := a.Assign(0, view, requestOf("long")); d.Target != nil || d.Reason != core.ReasonNoSlot {
		t.Errorf("a long answer takes one of the last slots: %+v", d)
	}
	if d := a.Assign(0, view, requestOf("brief")); d.Target == nil {
		t.Errorf("a brief answer is refused with two slots free: %+v", d)
	}
}

// Guards against what was learned about a route that outlives it, and about all routes that
// ever were.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	board := load.NewBoard()
	a, view := newAssigner(board), newView(2, 1)
	teach(a, view, "brief", briefHold)
	teach(a, view, "long", longHold)
	a.RetainRoutes(map[string]bool{"brief": true})
	fill(board, slots-1)
	if d := a.Assign(0, view, requestOf("long")); d.Target == nil {
		t.Errorf("a route of which nothing is known is refused: %+v", d)
	}
}

// Guards against slots that stay empty where all answers are long.
func TestLongAnswersAloneUseAllSlots(t *testing.T) {
	board := load.NewBoard()
	a, view := newAssigner(board), newView(2, 1)
	for range 5 {
		teach(a, view, "long", longHold)
	}
	fill(board, slots-1)
	if d := a.Assign(0, view, requestOf("long")); d.Target == nil {
		t.Errorf("refused with a slot free: %+v", d)
	}
}

// Answers hot parts of prompts whose engine is busy. Guards against engines that compute
// again what another one can hand over in a tenth of the time.
func TestSharedPartsAreFetched(t *testing.T) {
	board := load.NewBoard()
	a, view := newAssigner(board), newView(2, 1)
	setCapacities(board, view)
	req := testRequest(9000)
	shared := load.Item{Ref: load.Ref{Key: load.Key{Serial: 1}, Target: "p0"}, Kind: load.Prefill, Chain: req.Chain}
	board.Sent(0, shared)
	board.Finished(0, shared.Ref)
	board.Sent(0, load.Item{
		Ref: load.Ref{Key: load.Key{Serial: 2}, Target: "p0"}, Kind: load.Prefill, Compute: 100 * time.Millisecond,
	})
	d := a.Assign(0, view, req)
	if d.Target == nil || d.Target.ID != "p1" || d.FetchSource == nil || d.FetchSource.ID != "p0" || d.FetchTime <= 0 {
		t.Fatalf("%+v", d)
	}
	if alone := a.Assign(0, view, without(req)); alone.ComputeTime <= d.ComputeTime+d.FetchTime {
		t.Errorf("computing takes %v, with a fetch %v and %v", alone.ComputeTime, d.ComputeTime, d.FetchTime)
	}
}

// without returns the request of a fleet whose links are of unknown speed.
func without(req *assign.Request) *assign.Request {
	limits := *req.Engine
	limits.LinkBytesPerSecond = 0
	r := *req
	r.Engine = &limits
	return &r
}

// Guards against transfers over links that nothing is known of.
func TestNothingIsFetchedOverUnknownLinks(t *testing.T) {
	board := load.NewBoard()
	a, view := newAssigner(board), newView(2, 1)
	setCapacities(board, view)
	req := testRequest(9000)
	board.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: 1}, Target: "p0"}, Kind: load.Prefill, Compute: time.Second, Chain: req.Chain})
	if d := a.Assign(0, view, without(req)); d.Target == nil || d.FetchSource != nil {
		t.Errorf("%+v", d)
	}
}
