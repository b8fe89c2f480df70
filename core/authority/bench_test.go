package authority_test

import (
	"context"
	"fmt"
	"testing"

	"gorseline/core"
	"gorseline/core/authority"
)

// BenchmarkStepAtDesignSize measures one step of a lease manager with 680 instances and
// 128 shards, with and without a change of the members before the step.
func BenchmarkStepAtDesignSize(b *testing.B) {
	members := make([]core.InstanceID, 680)
	for n := range members {
		members[n] = core.InstanceID(fmt.Sprintf("instance-%03d", n))
	}
	for name, period := range map[string]int{"members change each time": 1, "members stay": 1 << 30} {
		b.Run(name, func(b *testing.B) {
			f := newFleet(128)
			timing := authority.DefaultTiming()
			timing.RenewInterval = 0
			n := 0
			leases := authority.NewLeaseManager(authority.Options{
				Self: "instance-007", Shards: 128, Table: f.table, Clock: core.NewDeadlineClock(), Recorder: f.journal,
				NewAttemptID: func() core.AttemptID { return core.AttemptID(fmt.Sprint(n)) },
				Members: func() []core.InstanceID {
					n++
					return members[n/period%2:]
				},
				Timing: timing,
			})
			b.ReportAllocs()
			for b.Loop() {
				leases.Step(context.Background())
			}
		})
	}
}
