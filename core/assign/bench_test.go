package assign_test

import (
	"testing"
	"time"

	"gorseline/core"
)

// BenchmarkAssign measures one decision among 14 engines with work. The target is 5 µs
// without allocation.
func BenchmarkAssign(b *testing.B) {
	w := newWorld()
	list := arrivals(1, 500, time.Second)
	w.play(list, nil)
	req := testRequest(9000)
	b.ReportAllocs()
	for b.Loop() {
		w.assigner.Assign(core.Instant(time.Second), w.view, req)
	}
}
