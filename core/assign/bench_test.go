package assign_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/prompt"
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
	a, loads, view := newLargeFleet(func(i int, r *core.Registration) {
		if i%3 == 0 {
			r.Role = core.RolePrefill
		}
	})
	now := core.Instant(time.Second)
	i := 0
	for e := range view.All {
		i++
		loads.Observe(now, load.Summary{Target: e.ID, Backlog: time.Duration(i) * 2 * time.Millisecond, Prompts: 2, Running: 3})
	}
	req := testRequest(9000)
	b.ReportAllocs()
	for b.Loop() {
		a.Assign(now.Add(20*time.Millisecond), view, req)
	}
}
