package intake

import (
	"math"
	"testing"
	"time"

	"gorseline/core"
)

func TestPaceDeadline(t *testing.T) {
	pace := Pace{Stall: 30 * time.Second, Rate: 1024, Start: 30 * time.Second}
	at := func(s float64) core.Instant { return core.Instant(s * float64(time.Second)) }
	for _, test := range []struct {
		name    string
		pace    Pace
		now     core.Instant
		arrived int64
		want    core.Instant
	}{
		{"at the start", pace, at(10), 0, at(40)},
		{"stalled", pace, at(12), 1 << 20, at(42)},
		{"drops", pace, at(39), 20, at(40 + 20.0/1024)},
		{"slow but steady", pace, at(60), 64 << 10, at(90)},
		{"without a rate", Pace{Stall: time.Second}, at(60), 1, at(61)},
		{"without limits", Pace{}, at(60), 1, math.MaxInt64},
	} {
		if got := test.pace.Deadline(at(10), test.now, test.arrived); got.Sub(test.want).Abs() > time.Microsecond {
			t.Errorf("%s: %v", test.name, time.Duration(got))
		}
	}
}
