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
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/io/boottime"
	"gorseline/io/forward"
	"gorseline/io/table"
	tablestandin "gorseline/standin/table"
)

type fixedCells struct{ cells *load.Cells }

func (f fixedCells) Cells() *load.Cells { return f.cells }

// countingReporter records the addresses of the engines whose reports are read.
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

// Guards against engines of a second service whose reports are not read: their roles are
// then planned as if the engines were idle.
func TestReportsOfAllServicesAreRead(t *testing.T) {
	clock, err := boottime.NewClock()
	if err != nil {
		t.Fatal(err)
	}
	assigner := assign.New(assign.Options{Loads: load.NewTracker()})
	f := forward.New(forward.Options{Assigner: assigner})
	f.Configure(route.NewTable(&core.Forwarding{Version: 1, Services: map[core.Service]core.ServiceLimits{
		"one": {Name: "one", Engine: &core.EngineLimits{}}, "two": {Name: "two", Engine: &core.EngineLimits{}},
	}}))
	targets := roster.New(time.Second)
	targets.Replace(0, 1, []core.Registration{
		{Target: core.Target{ID: "i-1", Service: "one", Address: "10.0.0.1:80", DataCentre: "far", Role: core.RoleDecode}},
		{Target: core.Target{ID: "i-2", Service: "two", Address: "10.0.0.2:80", DataCentre: "far", Role: core.RoleDecode}},
	})
	reporter := &countingReporter{}
	r := &roleController{
		assigner: assigner, lastCounts: map[core.Service]assign.Counts{},
		bootClock: clock, processClock: core.NewProcessClock(), forwarder: f, roster: targets, loads: load.NewTracker(),
		log: &log.Logger{Handler: discard.Default}, planners: map[planKey]*placement.DemandPlanner{},
		orderedAt: map[core.TargetID]core.Instant{}, reports: map[core.TargetID]core.LoadReport{}, reporter: reporter,
		pauses: retry.NewPauses(),
		cells:  fixedCells{load.NewCells("near", map[core.DataCentre]int{"near": load.FleetWideLimit, "far": load.FleetWideLimit})},
	}
	r.plan(t.Context())
	slices.Sort(reporter.addresses)
	if want := []string{"10.0.0.1:80", "10.0.0.2:80"}; !slices.Equal(reporter.addresses, want) {
		t.Errorf("reports of %v were read, want %v", reporter.addresses, want)
	}
	// An engine that asks for a pause is not asked for its report.
	paused, _ := targets.View().Find("i-1")
	r.pauses.Record(r.processClock.Now(), &paused.Registration, time.Minute)
	r.nextReports, reporter.addresses = 0, nil
	r.plan(t.Context())
	if want := []string{"10.0.0.2:80"}; !slices.Equal(reporter.addresses, want) {
		t.Errorf("during a pause reports of %v were read, want %v", reporter.addresses, want)
	}
}

// holderGap is the minimum time between orders of two holders in the known deployments.
const holderGap = 3 * time.Second

var timing = authority.HolderGapTiming(holderGap)

// Guards against a fleet that gets no role changes for most of a burst because the lease
// holder was killed. In scale-1 of ksg-limits role changes stopped for 16 s.
func TestSuccessorOrdersSoonAfterHolderIsKilled(t *testing.T) {
	const recovery = 12 * time.Second // limit of both deployments
	synctest.Test(t, func(t *testing.T) {
		f := newLeaseFleet("a", "b", "c")
		time.Sleep(20 * time.Second)
		killed := f.killHolder(t)
		f.removeMember(killed)
		took := f.waitForOrders(t, 2*recovery)
		t.Logf("a successor may order %v after the kill", took)
		if took > recovery {
			t.Errorf("a successor may order %v after the kill, want %v at most", took, recovery)
		}
		// The killed holder could send orders until its lease expired.
		if apart := took - timing.LeaseDuration + timing.ClockMargin; apart < holderGap {
			t.Errorf("orders of two holders may be only %v apart, want %v at least", apart, holderGap)
		}
		f.stop()
	})
}

// Guards against a holder that restarts after a few seconds and then waits until the lease
// of its earlier process expires. In scale-1 of ksg-limits there were no orders for 8 s.
func TestRestartedHolderOrdersSoon(t *testing.T) {
	const down = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newLeaseFleet("a", "b", "c")
		time.Sleep(20 * time.Second)
		killed := f.killHolder(t)
		time.Sleep(down)
		f.start(killed)
		took := f.waitForOrders(t, 20*time.Second)
		if most := down + timing.OrderLifetime + timing.ClockMargin + timing.RenewInterval; took > most {
			t.Errorf("orders %v after the kill, want %v at most", took, most)
		}
		f.stop()
	})
}

// leaseRunner steps a lease manager as Run does, until it is killed.
type leaseRunner struct {
	*authority.LeaseManager
	kill context.CancelFunc
}

func (s *leaseRunner) run(ctx context.Context) {
	pause.Every(ctx, timing.RenewInterval/5, func() { s.Step(ctx) })
}

// leaseFleet is a group of lease managers that share a table, one for each instance.
type leaseFleet struct {
	table    *tablestandin.Table
	clock    core.DeadlineClock
	members  atomic.Pointer[[]core.InstanceID]
	running  map[core.InstanceID]*leaseRunner
	killedAt core.Instant
}

func newLeaseFleet(ids ...core.InstanceID) *leaseFleet {
	f := &leaseFleet{table: tablestandin.New(), clock: core.NewDeadlineClock(), running: map[core.InstanceID]*leaseRunner{}}
	f.members.Store(&ids)
	for _, id := range ids {
		f.start(id)
	}
	return f
}

func (f *leaseFleet) start(id core.InstanceID) {
	manager := authority.NewLeaseManager(authority.Options{
		Self: id, Shards: roleShards, Groups: 1, Table: f.table, Clock: f.clock,
		Recorder: eventLog{&log.Logger{Handler: discard.Default}}, NewAttemptID: table.NewAttemptIDSource(),
		Members: func() []core.InstanceID { return *f.members.Load() }, SingleProcess: true, Timing: timing,
	})
	ctx, kill := context.WithCancel(context.Background())
	f.running[id] = &leaseRunner{manager, kill}
	go f.running[id].run(ctx)
}

// killHolder stops the holder of the lease, which doesn't release it.
func (f *leaseFleet) killHolder(t *testing.T) core.InstanceID {
	t.Helper()

	for id, s := range f.running {
		if len(s.Leases()) > 0 {
			s.kill()
			f.killedAt = f.clock.Now()
			delete(f.running, id)
			return id
		}
	}
	t.Fatal("no instance holds the lease")
	return ""
}

// removeMember removes an instance from the members.
func (f *leaseFleet) removeMember(id core.InstanceID) {
	remaining := slices.DeleteFunc(slices.Clone(*f.members.Load()), func(m core.InstanceID) bool { return m == id })
	f.members.Store(&remaining)
}

// waitForOrders waits until an instance may send orders and returns the time since the
// kill.
func (f *leaseFleet) waitForOrders(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()

	for f.clock.Now().Sub(f.killedAt) < limit {
		time.Sleep(100 * time.Millisecond)
		for _, s := range f.running {
			if leases := s.Leases(); len(leases) > 0 && f.clock.Now() >= leases[0].UnfencedFrom {
				return f.clock.Now().Sub(f.killedAt)
			}
		}
	}
	t.Fatalf("no orders within %v", limit)
	return 0
}

func (f *leaseFleet) stop() {
	for _, s := range f.running {
		s.kill()
	}
}
