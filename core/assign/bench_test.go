package assign_test

import (
	"fmt"
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

// BenchmarkAssign measures one decision among 14 loaded engines. The goal is 5 µs without
// allocations.
func BenchmarkAssign(b *testing.B) {
	f := newFleet()
	list := arrivals(1, 500, time.Second)
	f.run(list, nil)
	req := testRequest(9000)
	b.ReportAllocs()
	for b.Loop() {
		f.assigner.Assign(core.Instant(time.Second), f.view, req)
	}
}

// BenchmarkCanAssign measures one check whether a waiting request can be sent elsewhere, made ten
// times a second for each request that waits for a header.
func BenchmarkCanAssign(b *testing.B) {
	f := newFleet()
	list := arrivals(1, 500, time.Second)
	f.run(list, nil)
	req := testRequest(9000)
	req.Objective = -time.Second // no engine is within the limit
	b.ReportAllocs()
	for b.Loop() {
		req.Chain = prompt.NewChain(req.Prompt)
		if f.assigner.CanAssign(core.Instant(time.Second), f.view, req) {
			b.Fatal("an engine is within the limit")
		}
	}
}

// BenchmarkAssignInLargeFleet measures one decision among 66 engines in five data centres whose loads are
// known by summaries. The goal is 5 µs without allocations.
func BenchmarkAssignInLargeFleet(b *testing.B) {
	counts := map[core.DataCentre]int{"a": 59, "b": 59, "c": 59, "d": 59, "e": 59}
	var list []core.Registration
	for i := range 66 {
		role := core.RoleDecode
		if i%3 == 0 {
			role = core.RolePrefill
		}
		list = append(list, core.Registration{
			Target: core.Target{
				ID: core.TargetID(fmt.Sprint("t", i)), Service: "models", DataCentre: core.DataCentre(rune('a' + i%5)), Role: role,
			},
			Slots: slots,
		})
	}
	r := roster.New(time.Second)
	r.Replace(0, 1, list)
	loads, source := load.NewTracker(), random.New(1)
	a := assign.New(assign.Options{
		Loads: loads, Health: retry.NewHealth(retry.DefaultHealthOptions(), source), Random: source, Home: "a",
		Cells: fixedCells{load.NewCells("a", counts).WithCallerShare(1.0 / 59)}, Tuning: assign.DefaultTuning(),
	})
	setCapacities(loads, r.View())
	now := core.Instant(time.Second)
	for i := range list {
		loads.Observe(now, load.Summary{Target: list[i].ID, Backlog: time.Duration(i) * 2 * time.Millisecond, Prompts: 2, Running: 3})
	}
	req := testRequest(9000)
	b.ReportAllocs()
	for b.Loop() {
		a.Assign(now.Add(20*time.Millisecond), r.View(), req)
	}
}
