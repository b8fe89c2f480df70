package assign_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
)

func testPrompt(tokens int) *core.Prompt {
	return &core.Prompt{Model: "m", Tokens: tokens, Parts: []core.PromptPart{{ID: 1, Tokens: tokens / 2}, {ID: 2, Tokens: tokens - tokens/2}}}
}

func testRequest(tokens int) *assign.Request {
	p := testPrompt(tokens)
	return &assign.Request{
		Service: "models", Engine: engineLimits, Prompt: p, Chain: prompt.NewChain(p), Objective: objective, Remaining: maxWait,
	}
}

// Guards against queues that make every answer late when the load is far above the engines'
// capacity: most of the capacity must produce answers on time, and refused callers must get a
// retry time.
func TestOverloadIsServedOnTimeOrRefused(t *testing.T) {
	for _, rate := range []float64{400, 800} {
		for seed := range uint64(3) {
			list := arrivals(seed, rate, 5*time.Second)
			got := newFleet().run(list, nil)
			rng := rand.New(rand.NewPCG(seed, 3))
			naive := newFleet()
			base := naive.run(list, func(_ core.Instant, req *assign.Request) assign.Decision {
				e, _ := naive.view.Find(core.TargetID([]string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"}[rng.IntN(9)]))
				return assign.Decision{Target: e, Kind: load.Prefill, Work: prompt.NewWork(req.Prompt.Tokens, 0)}
			})
			t.Logf("rate %v seed %d: on time %d, late %d, refused %d of %d; at random: on time %d",
				rate, seed, got.onTime, got.late, got.refused, got.total(), base.onTime)
			if got.total() != len(list) {
				t.Errorf("rate %v seed %d: %d of %d requests accounted for", rate, seed, got.total(), len(list))
			}
			if got.onTime < 2*base.onTime {
				t.Errorf("rate %v seed %d: %d on time, %d with a random choice", rate, seed, got.onTime, base.onTime)
			}
			// Only prompts that take longer than the objective by themselves may be late.
			if got.late > got.onTime/5 {
				t.Errorf("rate %v seed %d: %d late, %d on time", rate, seed, got.late, got.onTime)
			}
			if got.refused > 0 && got.leastRetry < maxWait/10 {
				t.Errorf("rate %v seed %d: the least retry time was %v", rate, seed, got.leastRetry)
			}
		}
	}
}

// Guards against refusals while the engines have spare capacity.
func TestLightLoadIsNotRefused(t *testing.T) {
	got := newFleet().run(arrivals(1, 150, 5*time.Second), nil)
	if got.refused > 0 || got.late > got.total()/50 {
		t.Errorf("%+v", got)
	}
}

// Guards against long prompts that delay the streams of a busy generating engine.
func TestBusyGeneratorGetsNoLongPrompt(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(1, 1)
	fill(loads, 8)
	for serial := range uint32(4) {
		loads.Sent(0, load.Item{
			Ref: load.Ref{Key: load.Key{Serial: 100 + serial}, Target: "p0"}, Kind: load.Prefill, ComputeTime: 25 * time.Millisecond,
		})
	}
	if d := a.Assign(0, view, testRequest(9000)); d.Target != nil && d.Target.ID == "g0" {
		t.Errorf("a long prompt was sent to a generating engine with 8 streams: %+v", d)
	}
	if d := a.Assign(0, view, testRequest(100)); d.Target == nil || d.Target.ID != "g0" {
		t.Errorf("a short prompt was queued behind long ones: %+v", d)
	}
}

// Guards against computing prompts when no engine can generate the answer.
func TestMissingGeneratorRefusesWithNoTarget(t *testing.T) {
	a, view := newAssigner(load.NewTracker()), newView(2, 0)
	if d := a.Assign(0, view, testRequest(5000)); d.Target != nil || d.Reason != core.ReasonNoTarget || d.RetryAfter <= 0 {
		t.Errorf("%+v", d)
	}
}

// Guards against refusals for lack of free slots that are reported as missing engines, so
// that the planning of engine roles doesn't count them.
func TestFullGeneratorsRefuseWithNoSlot(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(2, 1)
	fill(loads, 200)
	if d := a.Assign(0, view, testRequest(5000)); d.Target != nil || d.Reason != core.ReasonNoSlot || d.RetryAfter <= 0 {
		t.Errorf("%+v", d)
	}
	if got := a.Counts("models"); got.Requests != 1 || got.NoSlot != 1 || got.Backlog != 0 {
		t.Errorf("counts %+v", got)
	}
}

// Guards against computing a whole prompt although an engine has most of it cached.
func TestPromptGoesToEngineWithCachedPrefix(t *testing.T) {
	loads := load.NewTracker()
	a, view := newAssigner(loads), newView(4, 1)
	for e := range view.All {
		loads.SetCapacity(e.ID, engineLimits.CacheTokens)
	}
	req := testRequest(8000)
	loads.Sent(0, load.Item{Ref: load.Ref{Target: "p2"}, Kind: load.Prefill, Chain: req.Chain})
	loads.Finished(0, load.Ref{Target: "p2"})
	next := *req
	next.Prompt = &core.Prompt{Model: "m", Tokens: 8000, Parts: []core.PromptPart{req.Prompt.Parts[0], {ID: 9, Tokens: 4000}}}
	next.Chain = prompt.NewChain(next.Prompt)
	d := a.Assign(core.Instant(time.Second), view, &next)
	if d.Target == nil || d.Target.ID != "p2" || d.CachedTokens != 4000 || d.Reason != core.ReasonPrefixHit {
		t.Errorf("%+v", d)
	}
}

// fixedCells is a load.CellProvider whose cells never change.
type fixedCells struct{ cells *load.Cells }

func (c fixedCells) Cells() *load.Cells { return c.cells }

// newTwoCells returns an assigner in the data centre here of a fleet whose loads are shared
// within each of two data centres, and a view with a prefill and a decode engine in each.
func newTwoCells(loads *load.Tracker) (*assign.Assigner, *roster.View) {
	source := random.New(3)
	a := assign.New(assign.Options{
		Loads: loads, Health: retry.NewHealth(retry.DefaultHealthOptions(), source), Random: source, Home: "here",
		Cells:  fixedCells{load.NewCells("here", map[core.DataCentre]int{"here": 20, "there": 20})},
		Tuning: assign.DefaultTuning(),
	})
	r := roster.New(time.Second)
	var list []core.Registration
	for _, e := range []struct {
		id   core.TargetID
		dc   core.DataCentre
		role core.Role
	}{{"near-p", "here", core.RolePrefill}, {"near-g", "here", core.RoleDecode}, {"far-p", "there", core.RolePrefill}, {"far-g", "there", core.RoleDecode}} {
		list = append(list, core.Registration{
			Target: core.Target{ID: e.id, Service: "models", DataCentre: e.dc, Role: e.role}, Slots: slots,
		})
	}
	r.Replace(0, 1, list)
	return a, r.View()
}

// unsharedRequest returns a request whose prompt has nothing in common with others.
func unsharedRequest() *assign.Request {
	const tokens = 6000
	req := testRequest(tokens)
	req.Prompt = &core.Prompt{Model: "m", Tokens: tokens, Parts: []core.PromptPart{{ID: 7, Tokens: tokens}}}
	req.Chain = prompt.NewChain(req.Prompt)
	return req
}

// Guards against treating engines of unknown load as idle, and against refusals while another
// cell has spare capacity.
func TestOtherCellsAreUsedOnlyForOverflow(t *testing.T) {
	loads := load.NewTracker()
	a, view := newTwoCells(loads)
	for serial := range uint32(8) {
		loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: 100 + serial}, Target: "near-g"}, Kind: load.Generate})
	}
	if d := a.Assign(0, view, unsharedRequest()); d.Target == nil || d.Target.ID != "near-p" {
		t.Fatalf("%+v", d)
	}
	for serial := range uint32(8) {
		loads.Sent(0, load.Item{
			Ref: load.Ref{Key: load.Key{Serial: serial}, Target: "near-p"}, Kind: load.Prefill, ComputeTime: 40 * time.Millisecond,
		})
	}
	d := a.Assign(0, view, unsharedRequest())
	if d.Target == nil || d.Target.ID != "far-p" {
		t.Fatalf("the local cell is full, but the request was not sent to the other one: %+v", d)
	}
	// A prompt that waits a second shows that the other cell is full as well.
	far, _ := view.Find("far-p")
	a.ObserveRemoteWait(0, far, time.Second)
	if d := a.Assign(0, view, unsharedRequest()); d.Target != nil {
		t.Errorf("a prompt was sent to a cell where prompts wait a second: %+v", d)
	}
	if d := a.Assign(core.Instant(5*time.Second), view, unsharedRequest()); d.Target == nil {
		t.Errorf("the other cell was not tried again after 5 s: %+v", d)
	}
}

// Guards against an engine of unknown load that generates an answer while one of the local cell
// has a free slot, and against a refusal while only the cell of the prompt's cache has one.
func TestGeneratorOfTheLocalCellIsPreferred(t *testing.T) {
	loads := load.NewTracker()
	a, view := newTwoCells(loads)
	far, _ := view.Find("far-p")
	if g, ok := a.AssignGenerator(0, view, testRequest(6000), far); !ok || g.ID != "near-g" {
		t.Errorf("generator %+v with a free slot on near-g", g)
	}
	for serial := range uint32(slots) {
		loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: 100 + serial}, Target: "near-g"}, Kind: load.Generate})
	}
	if g, ok := a.AssignGenerator(0, view, testRequest(6000), far); !ok || g.ID != "far-g" {
		t.Errorf("generator %+v with no free slot on near-g", g)
	}
}

// Guards against calls that wait at one target while another has free slots, and against
// calls that are sent to targets with full queues.
func TestCallsGoToFreeSlots(t *testing.T) {
	loads := load.NewTracker()
	a := newAssigner(loads)
	r := roster.New(time.Second)
	r.Replace(0, 1, []core.Registration{
		{Target: core.Target{ID: "c0", Service: "calls", DataCentre: "here"}, Slots: 2},
		{Target: core.Target{ID: "c1", Service: "calls", DataCentre: "here"}, Slots: 2},
	})
	counts := map[core.TargetID]int{}
	serial := uint32(0)
	send := func() bool {
		d := a.AssignCall(0, r.View(), &assign.CallRequest{Service: "calls", Remaining: time.Second})
		if d.Target == nil {
			if d.RetryAfter <= 0 || d.RetryAfter > time.Second/3 {
				t.Errorf("retry time %v", d.RetryAfter)
			}
			return false
		}
		serial++
		counts[d.Target.ID]++
		loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: serial}, Target: d.Target.ID}, Kind: load.Call})
		return true
	}
	for range 4 {
		send()
	}
	if counts["c0"] != 2 || counts["c1"] != 2 {
		t.Errorf("sends %v", counts)
	}
	for range 20 {
		if !send() {
			break
		}
	}
	if total := counts["c0"] + counts["c1"]; total != 12 {
		t.Errorf("%d calls accepted by two targets with two slots, want 12", total)
	}
}
