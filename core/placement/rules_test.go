package placement

import (
	"testing"
	"time"

	"gorseline/core"
)

// firstChange passes the same view to the planner every two seconds until it returns a
// change or the time is over. It returns the time and the change, or nil.
func firstChange(p *Planner, view *core.PlacementView, from, to core.Instant) (core.Instant, *core.RoleChange) {
	for now := from; now < to; now = now.Add(2 * time.Second) {
		if plan := p.Plan(now, view); len(plan) > 0 {
			return now, &plan[0]
		}
	}
	return to, nil
}

// Guards against a planner that ignores the price: a shortage of prefill capacity that
// costs about 30 weight per second is repaired at a low price, and not at a price that
// exceeds the gain.
func TestPriceDecides(t *testing.T) {
	for _, tc := range []struct {
		name   string
		price  float64
		change bool
	}{
		{"Free", 0, true},
		{"Low", 100, true},
		{"Prohibitive", 100_000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			planner := New(Options{RoleChangePrice: tc.price})
			view := newView(0, 2, 8)
			setDemand(view, 48, 3.5, 3)
			_, change := firstChange(planner, view, 0, core.Instant(time.Minute))
			if (change != nil) != tc.change {
				t.Fatalf("change %+v, want one: %v", change, tc.change)
			}
			if change != nil && (change.From != core.RoleDecode || !change.To.AcceptsPrefill() || change.Gain <= 0) {
				t.Fatalf("unexpected change %+v", change)
			}
		})
	}
}

// Guards against engines that move back and forth when the ratio alternates every 10 s, as
// under the reactive baseline. Each change takes an engine out of service for seconds.
func TestAlternatingRatioDoesNotMoveEngines(t *testing.T) {
	count := func(placer core.Placer) int {
		view := newView(0, 5, 5)
		changes := 0
		for now := core.Instant(0); now < core.Instant(5*time.Minute); now = now.Add(2 * time.Second) {
			if now/core.Instant(10*time.Second)%2 == 0 {
				setDemand(view, 48, 4.4, 3.2)
			} else {
				setDemand(view, 48, 3.2, 4.4)
			}
			for _, change := range placer.Plan(now, view) {
				apply(view, change, now+1)
				changes++
			}
		}
		return changes
	}
	if n := count(New(Options{RoleChangePrice: 20})); n > 1 {
		t.Errorf("planner changed roles %d times", n)
	}
	if n := count(Reactive{}); n < 10 {
		t.Errorf("the reactive baseline changed roles %d times; it should follow the ratio", n)
	}
}

// Guards against an engine that crashes during its role change and then blocks all
// changes of the model, or is selected again at once.
func TestCrashDuringChange(t *testing.T) {
	planner := New(Options{MinimumStay: time.Minute, ChangeTimeout: 90 * time.Second})
	view := newView(0, 2, 8)
	setDemand(view, 48, 4, 3)
	at, first := firstChange(planner, view, 0, core.Instant(time.Minute))
	if first == nil {
		t.Fatal("no change")
	}
	engine := findEngine(view, first.Target)
	engine.Drained = true
	if next, again := firstChange(planner, view, at+2e9, at.Add(20*time.Second)); again != nil {
		t.Fatalf("second change at %v while the first is under way", next)
	}
	engine.CircuitOpen = true
	if _, again := firstChange(planner, view, at.Add(20*time.Second), at.Add(40*time.Second)); again != nil {
		t.Fatal("change while the engine is down")
	}
	engine.Drained, engine.CircuitOpen, engine.ReportedAt = false, false, at.Add(40*time.Second)
	_, other := firstChange(planner, view, at.Add(40*time.Second), at.Add(80*time.Second))
	if other == nil || other.Target == first.Target {
		t.Fatalf("expected a change of another engine, got %+v", other)
	}
}

// Guards against an engine that never returns from its role change and blocks all changes
// of the model: the change ends at the timeout.
func TestLostChangeTimesOut(t *testing.T) {
	planner := New(Options{ChangeTimeout: 50 * time.Second})
	view := newView(0, 2, 8)
	setDemand(view, 48, 4, 3)
	at, first := firstChange(planner, view, 0, core.Instant(time.Minute))
	findEngine(view, first.Target).CircuitOpen = true
	next, other := firstChange(planner, view, at+2e9, at.Add(2*time.Minute))
	if other == nil || next.Sub(at) < 50*time.Second {
		t.Fatalf("next change %+v after %v", other, next.Sub(at))
	}
}

// Guards against too many simultaneous loads from the weight store: changes that load
// weights keep an interval over all models, while changes without a load don't wait.
func TestWeightStoreLimitsLoads(t *testing.T) {
	shortage := func(name, loaded core.Model) *core.PlacementView {
		view := newView(0, 2, 8)
		setDemand(view, 48, 4, 3)
		view.Model = name
		for i := range view.Engines {
			view.Engines[i].Report.Model = loaded
		}
		return view
	}
	planner := New(Options{LoadInterval: 40 * time.Second, WarmUp: time.Second})
	for _, name := range []core.Model{"a", "b", "c"} {
		planner.Plan(-1e9, shortage(name, "other"))
	}
	if len(planner.Plan(0, shortage("a", "other"))) == 0 {
		t.Fatal("no change for the first model")
	}
	if len(planner.Plan(1e9, shortage("b", "other"))) != 0 {
		t.Fatal("second load within the interval")
	}
	if len(planner.Plan(2e9, shortage("c", "c"))) == 0 {
		t.Fatal("a change without a load was held back")
	}
	if len(planner.Plan(core.Instant(41*time.Second), shortage("b", "other"))) == 0 {
		t.Fatal("no load after the interval")
	}
}

// Guards against a fleet that stays without an engine for prompts, and serves nothing,
// because the price exceeds the gain. One change is enough.
func TestViolatedFloorIsRepaired(t *testing.T) {
	for _, price := range []float64{0, 1e9} {
		planner := New(Options{RoleChangePrice: price})
		view := newView(0, 0, 6)
		setDemand(view, 48, 0.5, 3)
		at, change := firstChange(planner, view, 0, core.Instant(time.Minute))
		if change == nil || !change.To.AcceptsPrefill() || change.Reason != ReasonFloorViolation {
			t.Fatalf("price %v: unexpected change %+v", price, change)
		}
		apply(view, *change, at+1)
		if _, next := firstChange(planner, view, at+2e9, at.Add(time.Minute)); price > 0 && next != nil {
			t.Fatalf("price %v: second change %+v", price, next)
		}
	}
}

// Guards against a planner that never acts because it waits for an engine with both rates
// known: an engine in a pure role learns the rate of that role only.
func TestPureRolesAreEnoughToPlan(t *testing.T) {
	view := newView(0, 2, 8)
	setDemand(view, 48, 3.5, 3)
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.Report.Role == core.RolePrefill {
			e.StepBase, e.StepPerSequence = 0, 0
		} else {
			e.PrefillRate = 0
		}
	}
	if _, change := firstChange(New(Options{}), view, 0, core.Instant(time.Minute)); change == nil {
		t.Error("no change was planned")
	}
}
