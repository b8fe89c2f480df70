package node

import (
	"fmt"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/roster"
	"gorseline/core/streamstart"
)

// BenchmarkObserveVersions measures one observation, of which an instance makes 10 a second.
func BenchmarkObserveVersions(b *testing.B) {
	for _, targets := range []int{14, 4500} {
		b.Run(fmt.Sprintf("Targets%d", targets), func(b *testing.B) {
			r := roster.New(time.Second)
			var list []core.Registration
			for i := range targets {
				list = append(list, core.Registration{Target: core.Target{
					ID: core.TargetID(fmt.Sprintf("t%d", i)), Service: core.Service(fmt.Sprintf("s%d", i%90)),
				}, Version: "v1"})
			}
			r.Replace(0, 1, list)
			s := streamSource{catchup.New(random.New(1)), r, nil, func() *core.Forwarding { return nil }}
			register := streamstart.New(streamstart.DefaultCapacity)
			now := core.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				register.Observe(now, s.Observation())
			}
		})
	}
}
