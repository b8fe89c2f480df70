package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/placement"
	"gorseline/core/retry"
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
	// roleShards is 1 because one instance can plan the roles of all engines, a few dozen.
	roleShards = 1
)

// planKey identifies the engines whose roles are planned together: those of one service in
// one cell.
type planKey struct {
	service core.Service
	cell    core.DataCentre
}

// roleController plans the roles of engines and sends the orders while this instance holds
// the lease.
type roleController struct {
	leases        *authority.LeaseManager
	reconciler    *authority.Reconciler
	bootClock     core.DeadlineClock
	processClock  core.ClockProvider
	forwarder     *forward.Forwarder
	roster        *roster.Roster
	loads         *load.Tracker
	log           log.Interface
	demandOptions placement.DemandOptions
	// registryLag is the maximum age of the registrations in the roster.
	registryLag time.Duration
	planners    map[planKey]*placement.DemandPlanner
	cells       load.CellProvider
	reporter    core.LoadReporter
	assigner    *assign.Assigner
	// lastCounts are the assigner's counts at the last plan of each service.
	lastCounts map[core.Service]assign.Counts
	// reports are the latest load reports of engines whose load isn't known otherwise. They are next
	// read at nextReports.
	reports     map[core.TargetID]core.LoadReport
	nextReports core.Instant
	// orderedAt maps targets to the time of this instance's last order that wasn't refused.
	orderedAt map[core.TargetID]core.Instant
	// pauses holds the engines that must be sent nothing, also no orders.
	pauses *retry.Pauses
	// servers orders servers; it is nil unless the platform takes such orders.
	servers *serverController
	done    chan struct{}
}

// roleParams are the dependencies of a roleController.
type roleParams struct {
	fx.In
	Options   Options
	Settings  platform.Settings
	Table     core.Table
	Clock     core.ClockProvider
	Digests   *digest.Node
	Forwarder *forward.Forwarder
	Roster    *roster.Roster
	Loads     *load.Tracker
	Assigner  *assign.Assigner
	Engines   *platform.EngineClient
	Guard     *leaseGuard
	Pauses    *retry.Pauses
	Log       log.Interface
	Cloud     *platform.CloudClient
	Metrics   *instruments
}

// leaseGuard tells the engine client whether this instance holds the lease that orders need. The
// lease manager needs the client in turn, so it is set later.
type leaseGuard struct {
	leases atomic.Pointer[authority.LeaseManager]
}

func (g *leaseGuard) holdsLease() bool {
	l := g.leases.Load()
	return l != nil && len(l.Leases()) > 0
}

func newEngineClient(settings platform.Settings, l log.Interface, g *leaseGuard) *platform.EngineClient {
	return platform.NewEngineClient(settings.Instance, l, g.holdsLease)
}

func newCloudClient(settings platform.Settings, l log.Interface, g *leaseGuard, i *instruments) *platform.CloudClient {
	return platform.NewCloudClient(platform.CloudClientOptions{Settings: settings.Cloud, MayWrite: g.holdsLease, Log: l, Observer: i})
}

func newRoleController(lc fx.Lifecycle, p roleParams) (*roleController, error) {
	clock, err := boottime.NewClock()
	if err != nil {
		return nil, err
	}
	options := authority.Options{
		Self: p.Settings.Instance, Shards: roleShards, Groups: 1, Table: p.Table, Clock: clock,
		Recorder: eventLog{p.Log}, NewAttemptID: table.NewAttemptIDSource(),
		// An instance that reaches no engine can't give orders.
		Members: p.Digests.LeaseMembers,
		Orderer: p.Engines,
		// The platform starts one process of an instance at a time; a second one couldn't
		// listen on the same ports.
		SingleProcess: true,
		Timing:        authority.HolderGapTiming(p.Settings.Bounds.HolderGap),
	}
	r := &roleController{
		leases: authority.NewLeaseManager(options), bootClock: clock, processClock: p.Clock, forwarder: p.Forwarder,
		roster: p.Roster, loads: p.Loads, assigner: p.Assigner, log: p.Log,
		lastCounts:    map[core.Service]assign.Counts{},
		demandOptions: placement.DemandOptions{InitialPrefillShare: p.Options.InitialPrefillShare},
		// The roster may lag by two renewals and one read.
		registryLag: 2*p.Settings.HeartbeatInterval + p.Options.RosterInterval,
		planners:    map[planKey]*placement.DemandPlanner{}, orderedAt: map[core.TargetID]core.Instant{},
		cells: p.Digests, reports: map[core.TargetID]core.LoadReport{}, pauses: p.Pauses,
		done: make(chan struct{}),
	}
	r.reporter = p.Engines
	if p.Settings.Cloud.OrdersServers {
		r.servers = newServerController(&p, r.leases, clock)
	}
	p.Guard.leases.Store(r.leases)
	r.reconciler = authority.NewReconciler(options, r.leases)
	lifecycle.Register(lc, r.leases)
	lifecycle.Register(lc, r)
	if r.servers != nil {
		lifecycle.Register(lc, r.servers)
	}
	return r, nil
}

// Run plans periodically while this instance holds the lease, until ctx ends.
func (r *roleController) Run(ctx context.Context) {
	defer close(r.done)
	pause.Every(ctx, planInterval, func() {
		if len(r.leases.Leases()) > 0 {
			r.plan(ctx)
		}
	})
}

// Done returns a channel that is closed when Run has ended.
func (r *roleController) Done() <-chan struct{} { return r.done }

// plan plans the engines of all services, and reads the reports of other cells when due.
func (r *roleController) plan(ctx context.Context) {
	t := r.forwarder.Table()
	if t == nil {
		return
	}
	view := r.roster.View()
	reportsDue := r.processClock.Now() >= r.nextReports
	if reportsDue {
		r.nextReports = r.processClock.Now().Add(reportInterval)
	}
	for name, service := range t.Configuration().Services {
		if service.Engine == nil {
			continue
		}
		if reportsDue {
			r.readReports(ctx, view.Ready(name))
		}
		refused := r.refusals(name)
		engines := r.planService(ctx, view, name, refused)
		if r.servers != nil && service.Scaling != nil {
			r.servers.observe(name, serviceLoad{engines, refused.NoSlot + refused.Backlog, r.isChanging(name)})
		}
	}
}

// planService plans the roles of a service's engines, separately for each cell. It returns the loads of all
// engines.
func (r *roleController) planService(
	ctx context.Context, view *roster.View, name core.Service, ownRefused placement.Refusals,
) (all []placement.EngineLoad) {
	now := r.processClock.Now()
	cells := r.cells.Cells()
	groups := map[core.DataCentre][]placement.EngineLoad{}
	for _, e := range view.Ready(name) {
		r.observe(ctx, e)
		cell := cells.Of(e.ID, e.DataCentre)
		engine := placement.EngineLoad{ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots}
		if state := r.loads.State(now, e.ID, nil); cell == cells.Home || state.IsObserved {
			engine.Prompts, engine.Generating = state.Prompts, state.Generating
		} else {
			engine = withReport(engine, r.reports[e.ID])
		}
		groups[cell] = append(groups[cell], engine)
		all = append(all, engine)
	}
	refused := map[core.DataCentre]placement.Refusals{cells.Home: ownRefused}
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
	return all
}

// isChanging reports whether engines of a service change their role.
func (r *roleController) isChanging(name core.Service) bool {
	for key, planner := range r.planners {
		if key.service == name && planner.State().Pending > 0 {
			return true
		}
	}
	return false
}

// refusals returns the shares of requests that this instance has refused since the last
// plan. They are representative of the cell, because callers choose instances at random.
func (r *roleController) refusals(service core.Service) placement.Refusals {
	counts := r.assigner.Counts(service)
	last, known := r.lastCounts[service]
	r.lastCounts[service] = counts
	recent := counts.Sub(last)
	if !known || recent.Requests == 0 {
		return placement.Refusals{}
	}
	requests := float64(recent.Requests)
	return placement.Refusals{NoSlot: float64(recent.NoSlot) / requests, Backlog: float64(recent.Backlog) / requests}
}

// reportInterval is the time between two reads of the load reports of engines in other
// cells.
const reportInterval = 2 * time.Second

// maxConcurrentReports bounds the concurrent reads of reports.
const maxConcurrentReports = 8

// readReports reads the load reports of the engines in other cells without a recent summary of their
// load. The report of an engine that doesn't answer is dropped.
func (r *roleController) readReports(ctx context.Context, engines []*roster.Entry) {
	cells := r.cells.Cells()
	var mu sync.Mutex
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentReports)
	for _, e := range engines {
		isKnown := cells.Includes(e.ID, e.DataCentre) || r.loads.State(r.processClock.Now(), e.ID, nil).IsObserved
		if isKnown || r.isPaused(e) {
			continue
		}
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			report, err := r.reporter.Load(ctx, e.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				delete(r.reports, e.ID)
				r.log.WithFields(log.Fields{"Target": e.ID, "Error": err.Error()}).Warn("ReportNotRead")
				return
			}
			r.reports[e.ID] = report
		})
	}
	calls.Wait()
}

// observe passes the role of an engine to the reconciler, which compares it with the last
// order, once the roster is certain to reflect that order.
func (r *roleController) observe(ctx context.Context, e *roster.Entry) {
	at, ok := r.orderedAt[e.ID]
	now := r.bootClock.Now()
	if !ok || now.Sub(at) < r.registryLag+r.roleChangeTime(e.Service) || r.isPaused(e) {
		return
	}
	delete(r.orderedAt, e.ID)
	r.reconciler.Observe(ctx, e.Target, core.LoadReport{Role: e.Role}, now.Add(-r.registryLag))
}

// isPaused reports whether an engine has asked to be sent nothing.
func (r *roleController) isPaused(e *roster.Entry) bool {
	return r.pauses.Left(r.processClock.Now(), &e.Registration) > 0
}

// roleChangeTime returns how long an engine is unavailable while it changes its role.
func (r *roleController) roleChangeTime(service core.Service) time.Duration {
	if t := r.forwarder.Table(); t != nil {
		if engine := t.Configuration().Services[service].Engine; engine != nil {
			return engine.RoleChangeTime
		}
	}
	return 0
}

// withReport returns the engine with the load of its report, which counts as prompts or as
// generations by the engine's role.
func withReport(e placement.EngineLoad, report core.LoadReport) placement.EngineLoad {
	if e.Role == core.RolePrefill {
		e.Prompts = report.Running + report.QueuedRequests
		return e
	}
	e.Generating = report.Running + report.QueuedRequests
	return e
}

// planner returns the planner of a group of engines.
func (r *roleController) planner(key planKey) *placement.DemandPlanner {
	planner, ok := r.planners[key]
	if !ok {
		planner = placement.NewDemandPlanner(r.demandOptions)
		r.planners[key] = planner
	}
	return planner
}

// order submits a role change to the reconciler. If the reconciler or the engine refuses it,
// the planner cancels the change.
func (r *roleController) order(ctx context.Context, view *roster.View, planner *placement.DemandPlanner, change core.RoleChange) {
	e, ok := view.Find(change.Target)
	if !ok {
		return
	}
	if r.isPaused(e) {
		planner.CancelChange(change.Target)
		return
	}
	demand := planner.State()
	result := r.reconciler.Submit(ctx, e.Target, authority.Desired{Role: change.To})
	r.log.WithFields(log.Fields{
		"Target": change.Target, "From": change.From, "To": change.To, "Reason": change.Reason,
		"Result": result, "Roster": view.Version, "Busy": demand.Busy, "Full": demand.SlotUse,
	}).Info("RoleChangeOrdered")
	switch result {
	case authority.SubmitRefused, authority.SubmitRejected, authority.SubmitBusy:
		planner.CancelChange(change.Target)
	default:
		r.orderedAt[change.Target] = r.bootClock.Now()
	}
}

// eventLog logs the events of leases and orders.
type eventLog struct{ log log.Interface }

var _ core.Recorder = eventLog{}

// Record logs an event.
func (l eventLog) Record(e core.Event) {
	l.log.WithFields(log.Fields{"Target": e.Target, "Detail": e.Detail}).Info(string(e.Kind))
}
