package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
)

const model core.Model = "m"

// newView returns a view with the given numbers of engines per role.
func newView(mixed, prefill, decode int) *core.PlacementView {
	view := &core.PlacementView{Model: model, Offered: 100}
	add := func(role core.Role, n int) {
		for range n {
			view.Engines = append(view.Engines, core.TargetState{
				Target:      core.Target{ID: core.TargetID(fmt.Sprintf("e%02d", len(view.Engines)))},
				Report:      core.LoadReport{Role: role, Model: model, Running: 4},
				PrefillRate: 8000, StepBase: 15 * time.Millisecond, StepPerSequence: 400 * time.Microsecond,
			})
		}
	}
	add(core.RoleMixed, mixed)
	add(core.RolePrefill, prefill)
	add(core.RoleDecode, decode)
	return view
}

// setDemand sets the offered rates to the given engine-seconds per second.
func setDemand(view *core.PlacementView, batch int, prefill, decode float64) {
	view.PromptRate = prefill * 8000
	view.OutputRate = decode / (0.015/float64(batch) + 0.0004)
}

// apply completes a change immediately.
func apply(view *core.PlacementView, change core.RoleChange, now core.Instant) {
	engine := findEngine(view, change.Target)
	engine.Report.Role = change.To
	engine.ReportedAt = now
}

// naiveMultiple finds the served multiple by bisection over the definition: work that
// exceeds the capacity of the prefill and decode engines must fit on the mixed ones.
func naiveMultiple(c roleCounts, d demand, overhead float64) float64 {
	fits := func(f float64) bool {
		overflow := overhead*max(0, f*d.prefill-float64(c.prefill)) + max(0, f*d.decode-float64(c.decode))
		return overflow <= float64(c.mixed)
	}
	low, high := 0.0, 1e4
	for range 200 {
		if middle := (low + high) / 2; fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Guards against an error in one case of the closed form of the capacity, which would move
// engines in the wrong direction for some mixes only.
func TestServedMultipleAgreesWithDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 20)
		c := roleCounts{mixed: count.Draw(t, "mixed"), prefill: count.Draw(t, "prefill"), decode: count.Draw(t, "decode")}
		work := rapid.Float64Range(0.01, 20)
		d := demand{prefill: work.Draw(t, "prompt"), decode: work.Draw(t, "output")}
		got, want := c.servedMultiple(d, 1.1), naiveMultiple(c, d, 1.1)
		if math.Abs(got-want) > 1e-6*(1+want) {
			t.Fatalf("served multiple of %+v under %+v: got %v, want %v", c, d, got, want)
		}
	})
}

// naivePlan evaluates every engine and every role by the definition of the objective, and
// returns the best gain or 0.
func naivePlan(o Options, now core.Instant, view *core.PlacementView, changedAt map[core.TargetID]core.Instant) float64 {
	d, _ := demandOf(view, o.BatchSize)
	value := func(counts roleCounts) float64 {
		return view.Offered * min(1, naiveMultiple(counts, d, o.MixedOverhead)/(1+o.Headroom))
	}
	count := func(without, with core.Role) roleCounts {
		var c roleCounts
		for i := range view.Engines {
			if view.Engines[i].AcceptsWork() {
				c.add(view.Engines[i].Report.Role, 1)
			}
		}
		c.add(without, -1)
		c.add(with, 1)
		return c
	}
	best := 0.0
	for i := range view.Engines {
		e := &view.Engines[i]
		at, moved := changedAt[e.ID]
		if !e.AcceptsWork() || moved && now.Sub(at) < o.MinimumStay {
			continue
		}
		for _, to := range []core.Role{core.RoleMixed, core.RolePrefill, core.RoleDecode} {
			from := e.Report.Role
			out := count(from, core.RoleNone)
			if to == core.RoleMixed && !o.Mixed {
				continue
			}
			if to == from || out.acceptsPrefill() < o.FloorPrefill || out.acceptsDecode() < o.FloorDecode {
				continue
			}
			downtime := (o.DrainTime + o.ChangeTime).Seconds()
			if from == core.RolePrefill {
				tokens := float64(e.Report.QueuedPromptTokens + e.SentPromptTokens)
				downtime = o.ChangeTime.Seconds() + min(o.DrainTime.Seconds(), tokens/e.PrefillRate)
			}
			if max(e.InFlight, e.Report.Running+e.Report.QueuedRequests+e.SentRequests) == 0 {
				downtime = o.ChangeTime.Seconds()
			}
			horizon := o.Horizon.Seconds()
			gain := downtime*value(out) + (horizon-downtime)*value(count(from, to)) - horizon*value(count(core.RoleNone, core.RoleNone))
			best = max(best, gain-o.RoleChangePrice-o.Margin*view.Offered*horizon)
		}
	}
	return best
}

// Guards against a planner that misses the best change, or returns one without a gain,
// because it considers one engine per role only and uses the closed form.
func TestPlanAgreesWithExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 5)
		view := newView(count.Draw(t, "mixed"), 1+count.Draw(t, "prefill"), 1+count.Draw(t, "decode"))
		for i := range view.Engines {
			e := &view.Engines[i]
			e.Report.QueuedPromptTokens = rapid.SampledFrom([]int{0, 3000, 300_000}).Draw(t, "queued")
			e.Report.Running = rapid.IntRange(0, 2).Draw(t, "running")
			e.Drained = rapid.IntRange(0, 9).Draw(t, "drained") == 0
		}
		options := Options{
			RoleChangePrice: rapid.Float64Range(0, 200).Draw(t, "price"),
			FloorPrefill:    rapid.IntRange(1, 2).Draw(t, "floor"),
			Mixed:           rapid.Bool().Draw(t, "allowMixed"),
		}.withDefaults()
		inService := countInService(view)
		if inService.acceptsPrefill() < options.FloorPrefill || inService.acceptsDecode() < options.FloorDecode {
			t.Skip("the floors are violated already")
		}
		work := rapid.Float64Range(0.01, 8)
		setDemand(view, options.BatchSize, work.Draw(t, "prompt"), work.Draw(t, "output"))
		planner := New(options)
		now := core.Instant(10 * time.Minute)
		planner.models[model] = newModelState(&planner.options)
		if d, known := demandOf(view, options.BatchSize); known {
			planner.models[model].trend.observe(0, d)
		}
		changedAt := planner.models[model].changedAt
		for i := range view.Engines {
			if rapid.Bool().Draw(t, "moved") {
				changedAt[view.Engines[i].ID] = now - core.Instant(rapid.IntRange(0, 120).Draw(t, "ago"))*core.Instant(time.Second)
			}
		}
		want := naivePlan(options, now, view, changedAt)
		got := 0.0
		if plan := planner.Plan(now, view); len(plan) > 0 {
			got = plan[0].Gain
		}
		if math.Abs(got-want) > 1e-3*(1+want) {
			t.Fatalf("best gain: got %v, want %v", got, want)
		}
	})
}

// Guards against a sequence of mixes that violates the minimum stay, the floors or the
// limit of one change at a time per model, on which operators rely.
func TestPlansRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{MinimumStay: 40 * time.Second, FloorPrefill: 2, FloorDecode: 2, Margin: 1e-9, Mixed: true}.withDefaults()
		planner := New(options)
		view := newView(1, 3, 3)
		last := map[core.TargetID]core.Instant{}
		var open *core.RoleChange
		var ends core.Instant
		for now := core.Instant(0); now < core.Instant(20*time.Minute); now = now.Add(4 * time.Second) {
			if rapid.IntRange(0, 4).Draw(t, "swing") == 0 {
				work := rapid.Float64Range(0.2, 7)
				setDemand(view, options.BatchSize, work.Draw(t, "prompt"), work.Draw(t, "output"))
			}
			if open != nil && now >= ends {
				findEngine(view, open.Target).Drained = false
				apply(view, *open, now)
				last[open.Target], open = now, nil
			}
			plan := planner.Plan(now, view)
			if len(plan) == 0 {
				continue
			}
			change := plan[0]
			if len(plan) > 1 || open != nil {
				t.Fatalf("%v changes at %v while %v is under way", len(plan), now, open)
			}
			if at, moved := last[change.Target]; moved && now.Sub(at) < options.MinimumStay {
				t.Fatalf("%s changes again after %v", change.Target, now.Sub(at))
			}
			findEngine(view, change.Target).Drained = true
			out := countInService(view)
			if out.acceptsPrefill() < 2 || out.acceptsDecode() < 2 {
				t.Fatalf("floor violated: %+v", out)
			}
			open, ends = &change, now.Add(20*time.Second)
		}
	})
}
