package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/placement"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/io/boottime"
	"gorseline/io/forward"
	"gorseline/io/table"
	tablestandin "gorseline/standin/table"
)

type fixedCells struct{ cells *load.Cells }

func (f fixedCells) Cells() *load.Cells { return f.cells }

// countingReporter notes whose report was read.
type countingReporter struct {
	mu        sync.Mutex
	addresses []string
}

func (c *countingReporter) Load(_ context.Context, address string) (core.LoadReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = append(c.addresses, address)
	return core.LoadReport{}, nil
}

// Guards against engines of a second service whose reports are not read, so that their
// roles are planned as if they were idle.
func TestReportsOfAllServicesAreRead(t *testing.T) {
	clock, err := boottime.NewClock()
	if err != nil {
		t.Fatal(err)
	}
	f := forward.New(forward.Options{})
	f.Configure(route.NewTable(&core.Forwarding{Version: 1, Services: map[core.Service]core.ServiceLimits{
		"one": {Name: "one", Engine: &core.EngineLimits{}}, "two": {Name: "two", Engine: &core.EngineLimits{}},
	}}))
	targets := roster.New(time.Second)
	targets.Replace(0, 1, []core.Registration{
		{Target: core.Target{ID: "i-1", Service: "one", Address: "10.0.0.1:80", DataCentre: "far", Role: core.RoleDecode}},
		{Target: core.Target{ID: "i-2", Service: "two", Address: "10.0.0.2:80", DataCentre: "far", Role: core.RoleDecode}},
	})
	reporter := &countingReporter{}
	r := &roles{
		assigner: assign.New(assign.Options{Board: load.NewBoard()}), counted: map[core.Service]assign.Counts{},
		clock: clock, steady: core.NewProcessClock(), forwarder: f, roster: targets, board: load.NewBoard(),
		log: &log.Logger{Handler: discard.Default}, planners: map[planKey]*placement.DemandPlanner{},
		ordered: map[core.TargetID]core.Instant{}, reported: map[core.TargetID]core.LoadReport{}, reporter: reporter,
		cells: fixedCells{load.NewCells("near", map[core.DataCentre]int{"near": load.WideLimit, "far": load.WideLimit})},
	}
	r.plan(t.Context())
	slices.Sort(reporter.addresses)
	if want := []string{"10.0.0.1:80", "10.0.0.2:80"}; !slices.Equal(reporter.addresses, want) {
		t.Errorf("reports of %v were read, want %v", reporter.addresses, want)
	}
}

// stepper steps a keeper as its Run does, until it is killed.
type stepper struct {
	*authority.Keeper
	kill context.CancelFunc
}

func (s stepper) run(ctx context.Context) {
	pause.Every(ctx, renewTime/5, func() { s.Step(ctx) })
}

// Guards against a fleet whose roles stay as they are for most of a burst, because the
// instance that ordered them was killed: seen on scale-1 of ksg-limits, where role
// changes stopped for 16 s.
func TestRolesAreOrderedAgainSoonAfterTheHolderIsKilled(t *testing.T) {
	const (
		turn     = 3 * time.Second  // of both deployments
		recovery = 12 * time.Second // of both deployments
	)
	synctest.Test(t, func(t *testing.T) {
		rows := tablestandin.New()
		clock := core.NewDeadlineClock()
		ids := []core.InstanceID{"a", "b", "c"}
		var members atomic.Pointer[[]core.InstanceID]
		members.Store(&ids)
		var keepers []stepper
		for _, id := range ids {
			k := authority.NewKeeper(authority.Options{
				Self: id, Shards: roleShards, Groups: 1, Table: rows, Clock: clock,
				Recorder: eventLog{&log.Logger{Handler: discard.Default}}, Attempts: table.NewAttempts(),
				Members: func() []core.InstanceID { return *members.Load() }, Timing: orderTiming(turn),
			})
			ctx, kill := context.WithCancel(t.Context())
			s := stepper{k, kill}
			keepers = append(keepers, s)
			go s.run(ctx)
		}
		time.Sleep(20 * time.Second)
		holder := slices.IndexFunc(keepers, func(s stepper) bool { return len(s.Leases()) > 0 })
		if holder < 0 {
			t.Fatal("nobody holds the lease")
		}
		// The lease ends at the latest a lease after the kill.
		lastOrder := keepers[holder].Leases()[0].Until.Add(-clockDrift)
		killed := clock.Now()
		keepers[holder].kill()
		left := slices.Delete(slices.Clone(ids), holder, holder+1)
		members.Store(&left)
		keepers = slices.Delete(keepers, holder, holder+1)
		for clock.Now().Sub(killed) < 2*recovery {
			time.Sleep(100 * time.Millisecond)
			for _, s := range keepers {
				if leases := s.Leases(); len(leases) > 0 && clock.Now() >= leases[0].ClearAt {
					took := clock.Now().Sub(killed)
					t.Logf("a successor may order %v after the kill", took)
					if took > recovery {
						t.Errorf("a successor may order %v after the kill, want %v at most", took, recovery)
					}
					if apart := clock.Now().Sub(lastOrder); apart < turn {
						t.Errorf("orders of two holders may be %v apart, want %v at least", apart, turn)
					}
					for _, s := range keepers {
						s.kill()
					}
					return
				}
			}
		}
		t.Fatal("no successor")
	})
}
