package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/placement"
	"gorseline/core/roster"
	"gorseline/io/boottime"
	"gorseline/io/digest"
	"gorseline/io/forward"
	"gorseline/io/table"
	"gorseline/platform"
)

const (
	// planInterval is the time between two plans.
	planInterval = time.Second
	// roleShards is 1: one instance plans the roles of all engines, which are some dozens.
	roleShards = 1
)

// planKey names a group of engines whose roles are planned together: those of one service
// and one cell.
type planKey struct {
	service core.Service
	cell    core.DataCentre
}

// roles plans the roles of engines and orders them while this instance holds the lease.
type roles struct {
	keeper    *authority.LeaseManager
	commander *authority.Reconciler
	clock     core.DeadlineClock
	steady    core.ClockProvider
	forwarder *forward.Forwarder
	roster    *roster.Roster
	board     *load.Tracker
	log       log.Interface
	options   placement.DemandOptions
	staleness time.Duration
	planners  map[planKey]*placement.DemandPlanner
	cells     load.CellProvider
	reporter  core.LoadReporter
	assigner  *assign.Assigner
	// counted are the assigner's counts at the last plan.
	counted  map[core.Service]assign.Counts
	reported map[core.TargetID]core.LoadReport
	reportAt core.Instant
	// ordered holds when an order of this instance was accepted.
	ordered map[core.TargetID]core.Instant
	done    chan struct{}
}

type rolesParts struct {
	fx.In
	Options   Options
	Settings  platform.Settings
	Table     core.Table
	Steady    core.ClockProvider
	Digests   *digest.Node
	Forwarder *forward.Forwarder
	Roster    *roster.Roster
	Board     *load.Tracker
	Assigner  *assign.Assigner
	Log       log.Interface
}

func newRoles(lc fx.Lifecycle, p rolesParts) (*roles, error) {
	clock, err := boottime.NewClock()
	if err != nil {
		return nil, err
	}
	var keeper atomic.Pointer[authority.LeaseManager]
	mayOrder := func() bool {
		k := keeper.Load()
		return k != nil && len(k.Leases()) > 0
	}
	orders := platform.NewEngineClient(p.Settings.Instance, p.Log, mayOrder)
	options := authority.Options{
		Self: p.Settings.Instance, Shards: roleShards, Groups: 1, Table: p.Table, Clock: clock,
		Recorder: eventLog{p.Log}, NewAttemptID: table.NewAttempts(),
		Members: func() []core.InstanceID { return memberIDs(p.Digests) },
		Orderer: orders,
		// The platform starts one process a machine, which the ports hold it to.
		SingleProcess: true,
		Timing:        authority.HolderGapTiming(p.Settings.Bounds.OrderTurn),
	}
	r := &roles{
		keeper: authority.NewLeaseManager(options), clock: clock, steady: p.Steady, forwarder: p.Forwarder,
		roster: p.Roster, board: p.Board, assigner: p.Assigner, log: p.Log,
		counted: map[core.Service]assign.Counts{},
		options: placement.DemandOptions{InitialPrefillShare: p.Options.StartShare},
		// What the registry shows may be two renewals and one read old.
		staleness: 2*p.Settings.Heartbeat + p.Options.Roster,
		planners:  map[planKey]*placement.DemandPlanner{}, ordered: map[core.TargetID]core.Instant{},
		cells: p.Digests, reported: map[core.TargetID]core.LoadReport{},
		done: make(chan struct{}),
	}
	r.reporter = orders
	keeper.Store(r.keeper)
	r.commander = authority.NewReconciler(options, r.keeper)
	part.Start(lc, r.keeper)
	part.Start(lc, r)
	return r, nil
}

// memberIDs returns the IDs of the members, this instance included.
func memberIDs(d *digest.Node) []core.InstanceID {
	members := d.Members()
	ids := make([]core.InstanceID, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	return ids
}

// Run plans until ctx ends.
func (r *roles) Run(ctx context.Context) {
	defer close(r.done)
	pause.Every(ctx, planInterval, func() {
		if len(r.keeper.Leases()) > 0 {
			r.plan(ctx)
		}
	})
}

// Done is closed when Run has ended.
func (r *roles) Done() <-chan struct{} { return r.done }

func (r *roles) plan(ctx context.Context) {
	t := r.forwarder.Table()
	if t == nil {
		return
	}
	view := r.roster.View()
	isDue := r.steady.Now() >= r.reportAt
	if isDue {
		r.reportAt = r.steady.Now().Add(reportInterval)
	}
	for name, service := range t.Configuration().Services {
		if service.Engine == nil {
			continue
		}
		if isDue {
			r.askAll(ctx, view.Ready(name))
		}
		r.planService(ctx, view, name)
	}
}

// planService plans the engines of a service, those of each cell by themselves.
func (r *roles) planService(ctx context.Context, view *roster.View, name core.Service) {
	now := r.steady.Now()
	cells := r.cells.Cells()
	groups := map[core.DataCentre][]placement.EngineLoad{}
	for _, e := range view.Ready(name) {
		r.observe(ctx, e)
		cell := cells.Of(e.ID, e.DataCentre)
		engine := placement.EngineLoad{ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots}
		if cell == cells.Home {
			state := r.board.State(now, e.ID, nil)
			engine.Prompts, engine.Generating = state.Prompts, state.Generating
		} else {
			engine = withReport(engine, r.reported[e.ID])
		}
		groups[cell] = append(groups[cell], engine)
	}
	refused := map[core.DataCentre]placement.Refusals{cells.Home: r.refusals(name)}
	for cell, engines := range groups {
		planner := r.planner(planKey{name, cell})
		changes := planner.Plan(now, engines, refused[cell])
		demand := planner.State()
		r.log.WithFields(log.Fields{
			"Service": name, "Cell": cell, "Busy": demand.Busy, "Full": demand.SlotUse, "Peak": demand.PeakSlotUse,
			"NoSlot": refused[cell].NoSlot, "Backlog": refused[cell].Backlog, "Regret": demand.RefusalBalance, "Cost": demand.ChangeCost,
			"Prefill": demand.PrefillEngines, "Decode": demand.DecodeEngines, "Pending": demand.Pending,
			"Changes": len(changes), "Roster": view.Version,
		}).Info("RolesPlanned")
		for _, change := range changes {
			r.order(ctx, view, planner, change)
		}
	}
}

// refusals returns the shares of the requests that this instance has refused since the
// last plan. Callers choose instances at random, so that they stand for those of the
// others in the cell.
func (r *roles) refusals(service core.Service) placement.Refusals {
	counts := r.assigner.Counts(service)
	last, known := r.counted[service]
	r.counted[service] = counts
	recent := counts.Sub(last)
	if !known || recent.Requests == 0 {
		return placement.Refusals{}
	}
	requests := float64(recent.Requests)
	return placement.Refusals{NoSlot: float64(recent.NoSlot) / requests, Backlog: float64(recent.Backlog) / requests}
}

// reportInterval is the time between two reads of the reports of other cells' engines.
const reportInterval = 2 * time.Second

// reportCalls bounds the reports that are read at once.
const reportCalls = 8

// askAll reads the reports of the engines whose load this instance does not share.
func (r *roles) askAll(ctx context.Context, engines []*roster.Entry) {
	cells := r.cells.Cells()
	var mu sync.Mutex
	var calls sync.WaitGroup
	free := make(chan struct{}, reportCalls)
	for _, e := range engines {
		if cells.Includes(e.ID, e.DataCentre) {
			continue
		}
		free <- struct{}{}
		calls.Go(func() {
			defer func() { <-free }()
			report, err := r.reporter.Load(ctx, e.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				delete(r.reported, e.ID)
				r.log.WithFields(log.Fields{"Target": e.ID, "Error": err.Error()}).Warn("ReportNotRead")
				return
			}
			r.reported[e.ID] = report
		})
	}
	calls.Wait()
}

// observe lets the reconciler compare an engine that was ordered with its order, once the
// registry must show the effect.
func (r *roles) observe(ctx context.Context, e *roster.Entry) {
	at, ok := r.ordered[e.ID]
	now := r.clock.Now()
	if !ok || now.Sub(at) < r.staleness+r.roleChange(e.Service) {
		return
	}
	delete(r.ordered, e.ID)
	r.commander.Observe(ctx, e.Target, core.LoadReport{Role: e.Role}, now.Add(-r.staleness))
}

// roleChange returns how long an engine is away while it changes its role.
func (r *roles) roleChange(service core.Service) time.Duration {
	if t := r.forwarder.Table(); t != nil {
		if engine := t.Configuration().Services[service].Engine; engine != nil {
			return engine.RoleChangeTime
		}
	}
	return 0
}

// withReport returns the engine with the load of its report.
func withReport(e placement.EngineLoad, report core.LoadReport) placement.EngineLoad {
	if e.Role == core.RolePrefill {
		e.Prompts = report.Running + report.QueuedRequests
		return e
	}
	e.Generating = report.Running + report.QueuedRequests
	return e
}

func (r *roles) planner(key planKey) *placement.DemandPlanner {
	planner, ok := r.planners[key]
	if !ok {
		planner = placement.NewDemandPlanner(r.options)
		r.planners[key] = planner
	}
	return planner
}

// order submits one change.
func (r *roles) order(ctx context.Context, view *roster.View, planner *placement.DemandPlanner, change core.RoleChange) {
	e, ok := view.Find(change.Target)
	if !ok {
		return
	}
	demand := planner.State()
	result := r.commander.Submit(ctx, e.Target, authority.Desired{Role: change.To})
	r.log.WithFields(log.Fields{
		"Target": change.Target, "From": change.From, "To": change.To, "Reason": change.Reason,
		"Result": result, "Roster": view.Version, "Busy": demand.Busy, "Full": demand.SlotUse,
	}).Info("RoleChangeOrdered")
	switch result {
	case authority.SubmitRefused, authority.SubmitRejected, authority.SubmitBusy:
		planner.CancelChange(change.Target)
	default:
		r.ordered[change.Target] = r.clock.Now()
	}
}

// eventLog writes the events of leases and orders to the log.
type eventLog struct{ log log.Interface }

var _ core.Recorder = eventLog{}

// Record logs an event.
func (l eventLog) Record(e core.Event) {
	l.log.WithFields(log.Fields{"Target": e.Target, "Detail": e.Detail}).Info(string(e.Kind))
}
