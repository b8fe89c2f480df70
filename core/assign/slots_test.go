package assign_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/roster"
)

const (
	longSlotTime  = 3 * time.Second
	briefSlotTime = 30 * time.Millisecond
)

// requestOf returns a request of a route whose prompt is short.
func requestOf(route string) *assign.Request {
	req := testRequest(100)
	req.Route = route
	return req
}

// observeAnswers makes the assigner observe 100 answers of a route with the given slot time.
func observeAnswers(a *assign.Assigner, view *roster.View, route string, slotTime time.Duration) {
	for range 100 {
		a.Assign(0, view, requestOf(route))
		a.ObserveSlotTime(requestOf(route), slotTime)
	}
}

// fill occupies slots of the first generating engine.
func fill(loads *load.Tracker, count int) {
	for serial := range uint32(count) {
		loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Sender: 9, Serial: serial}, Target: "g0"}, Kind: load.Generate})
	}
}

// Guards against bursts of long answers that occupy all slots for seconds, so that requests
// with brief answers are refused although prefill engines are idle. It was found in a run of
// scale-1 on ksg-limits.
func TestLongAnswersLeaveSlotsForBriefOnes(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(2, 1)
	observeAnswers(a, view, "brief", briefSlotTime)
	observeAnswers(a, view, "long", longSlotTime)
	fill(loads, slots-2)
	if d := a.Assign(0, view, requestOf("long")); d.Target != nil || d.Reason != core.ReasonNoSlot {
		t.Errorf("a long answer got one of the reserved slots: %+v", d)
	}
	if d := a.Assign(0, view, requestOf("brief")); d.Target == nil {
		t.Errorf("a brief answer was refused with two slots free: %+v", d)
	}
}

// Guards against learned slot times that outlive their route, which would also leak memory
// as routes come and go.
func TestRetainRoutesDeletesOtherSlotTimes(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(2, 1)
	observeAnswers(a, view, "brief", briefSlotTime)
	observeAnswers(a, view, "long", longSlotTime)
	a.RetainRoutes(map[string]bool{"brief": true})
	fill(loads, slots-1)
	if d := a.Assign(0, view, requestOf("long")); d.Target == nil {
		t.Errorf("a route without observed slot times was refused: %+v", d)
	}
}

// Guards against reserved slots that stay empty because all answers are long.
func TestLongAnswersAloneUseAllSlots(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(2, 1)
	for range 5 {
		observeAnswers(a, view, "long", longSlotTime)
	}
	fill(loads, slots-1)
	if d := a.Assign(0, view, requestOf("long")); d.Target == nil {
		t.Errorf("refused with a slot free: %+v", d)
	}
}

// Guards against recomputing a prefix that a busy engine has cached, although fetching it
// takes a tenth of the time, and against an expected time that leaves out part of the fetch.
func TestCachedPrefixIsFetched(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(2, 1)
	setCapacities(loads, view)
	req := testRequest(9000)
	shared := load.Item{Ref: load.Ref{Key: load.Key{Serial: 1}, Target: "p0"}, Kind: load.Prefill, Chain: req.Chain}
	loads.Sent(0, shared)
	loads.Finished(0, shared.Ref)
	loads.Sent(0, load.Item{
		Ref: load.Ref{Key: load.Key{Serial: 2}, Target: "p0"}, Kind: load.Prefill, ComputeTime: 100 * time.Millisecond,
	})
	d := a.Assign(0, view, req)
	if d.Target == nil || d.Target.ID != "p1" || d.FetchSource == nil || d.FetchSource.ID != "p0" || d.FetchTime <= 0 {
		t.Fatalf("%+v", d)
	}
	if alone := a.Assign(0, view, withoutLinkRate(req)); alone.ComputeTime <= d.ComputeTime+d.FetchTime {
		t.Errorf("computing takes %v without a fetch, %v and %v with one", alone.ComputeTime, d.ComputeTime, d.FetchTime)
	}
	handover := d.FetchTime - prompt.TransferTime(engineLimits, d.CachedTokens, true)
	export := prompt.TransferTime(engineLimits, req.Prompt.Tokens, true) + handover
	if want := d.Backlog + d.ComputeTime + d.FetchTime + export; handover <= 0 || d.Expected != want {
		t.Errorf("expected time %v, want %v, of which the fetch takes %v", d.Expected, want, d.FetchTime)
	}
}

// withoutLinkRate returns a copy of the request for a fleet of unknown link rates.
func withoutLinkRate(req *assign.Request) *assign.Request {
	limits := *req.Engine
	limits.LinkBytesPerSecond = 0
	r := *req
	r.Engine = &limits
	return &r
}

// Guards against fetches over links of unknown rate.
func TestNothingIsFetchedOverUnknownLinks(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(2, 1)
	setCapacities(loads, view)
	req := testRequest(9000)
	loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: 1}, Target: "p0"}, Kind: load.Prefill, ComputeTime: time.Second, Chain: req.Chain})
	if d := a.Assign(0, view, withoutLinkRate(req)); d.Target == nil || d.FetchSource != nil {
		t.Errorf("%+v", d)
	}
}
