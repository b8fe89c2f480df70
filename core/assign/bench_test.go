package assign_test

import (
	"testing"
	"time"

	"gorseline/core"
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
