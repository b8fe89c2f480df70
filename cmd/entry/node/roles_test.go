package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/placement"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/io/boottime"
	"gorseline/io/forward"
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
