package ring_test

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gorseline/core/common/ring"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against lost, reordered or uncounted values when the ring wraps around: every
// pushed value must be in the ring, drained or counted as dropped, oldest first.
func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := ring.New[int](capacity)
		var want []int
		var dropped uint64
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "drain") {
				n := min(rapid.IntRange(0, 3).Draw(t, "limit"), len(want))
				if diff := cmp.Diff(append([]int{}, want[:n]...), r.Drain(n)); diff != "" {
					t.Fatal(diff)
				}
				want = want[n:]
				continue
			}
			r.Push(i)
			want = append(want, i)
			if len(want) > capacity {
				want, dropped = want[1:], dropped+1
			}
		}
		if diff := cmp.Diff(append([]int{}, want...), r.Snapshot()); diff != "" {
			t.Fatal(diff)
		}
		if r.Dropped() != dropped || r.Len() != len(want) {
			t.Fatalf("dropped %d, len %d, want %d, %d", r.Dropped(), r.Len(), dropped, len(want))
		}
	})
}
