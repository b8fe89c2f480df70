package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/duty"
	"gorseline/core/placement"
	"gorseline/core/roster"
	"gorseline/core/scaling"
	"gorseline/io/forward"
)

// serverInterval is the time between two plans of servers.
const serverInterval = 500 * time.Millisecond

// serviceLoad is the load of a service's engines at the last plan of their roles.
type serviceLoad struct {
	engines []placement.EngineLoad
	// refused is the share of the requests since the plan before that were refused for lack of room.
	refused float64
	// isChanging is true while engines change their role.
	isChanging bool
}

// serverController plans the number of servers of the services that have limits for it, and orders them while
// this instance holds the lease. It doesn't wait for the roleController, whose orders take seconds when a fleet
// starts.
type serverController struct {
	holder    core.InstanceID
	leases    *authority.LeaseManager
	orderer   core.ServerOrderer
	clock     core.DeadlineClock
	log       log.Interface
	observer  *instruments
	forwarder *forward.Forwarder
	roster    *roster.Roster
	planners  map[core.Service]*scaling.Planner
	done      chan struct{}

	mu sync.Mutex
	// loads holds the latest load of each service.
	loads map[core.Service]serviceLoad
	// refused is the share of refused requests by service, averaged over refusalSmoothing.
	refused map[core.Service]float64
}

// refusalSmoothing is the number of plans over which the share of refused requests is averaged. One instance
// sees some ten requests a second, so that the share of one second says little.
const refusalSmoothing = 3

func newServerController(p *roleParams, leases *authority.LeaseManager, clock core.DeadlineClock) *serverController {
	return &serverController{
		holder: p.Settings.Instance, leases: leases, orderer: p.Cloud, clock: clock, log: p.Log, observer: p.Metrics,
		forwarder: p.Forwarder, roster: p.Roster, planners: map[core.Service]*scaling.Planner{}, done: make(chan struct{}),
		loads: map[core.Service]serviceLoad{}, refused: map[core.Service]float64{},
	}
}

// Run plans periodically while this instance holds the lease, until ctx ends.
func (s *serverController) Run(ctx context.Context) {
	defer close(s.done)
	pause.Every(ctx, serverInterval, func() {
		if len(s.leases.Leases()) > 0 {
			s.planAll(ctx)
		}
	})
}

// Done returns a channel that is closed when Run has ended.
func (s *serverController) Done() <-chan struct{} { return s.done }

// observe records the load of a service.
func (s *serverController) observe(service core.Service, load serviceLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[service] += (load.refused - s.refused[service]) / refusalSmoothing
	load.refused = s.refused[service]
	s.loads[service] = load
}

// load returns the latest load of a service.
func (s *serverController) load(service core.Service) serviceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads[service]
}

// planAll plans the servers of all services that have limits for them.
func (s *serverController) planAll(ctx context.Context) {
	t := s.forwarder.Table()
	if t == nil {
		return
	}
	view := s.roster.View()
	for _, service := range t.Configuration().Services {
		if service.Scaling != nil {
			s.plan(ctx, view, service, s.load(service.Name))
		}
	}
}

// plan plans the servers of a service and sends the orders.
func (s *serverController) plan(ctx context.Context, view *roster.View, service core.ServiceLimits, load serviceLoad) {
	planner, ok := s.planners[service.Name]
	if !ok {
		planner = scaling.NewPlanner(service.Name, scaling.Options{KeepCapacity: true})
		s.planners[service.Name] = planner
	}
	orders := planner.Plan(s.clock.Now(), serverView(view, service, load))
	s.logPlan(service.Name, planner.State(), len(orders))
	for _, order := range orders {
		result := s.order(ctx, order)
		planner.Result(s.clock.Now(), order, result)
	}
}

// order sends one order under the lease.
func (s *serverController) order(ctx context.Context, order core.ServerOrder) core.DutyResult {
	lease, _, release, ok := s.leases.Use(duty.Shard)
	if !ok {
		return core.DutyRefused
	}
	defer release()
	ctx, cancel := s.clock.WithDeadline(ctx, s.clock.Now().Add(dutyCallTimeout))
	defer cancel()
	return s.orderer.OrderServers(ctx, core.DutyCall{Holder: s.holder, Fence: lease.Fence}, order)
}

// serverView returns what a planner knows of a service.
func serverView(view *roster.View, service core.ServiceLimits, load serviceLoad) scaling.View {
	v := scaling.View{
		DataCentres: map[core.DataCentre]scaling.DataCentreView{}, PricesKnown: len(service.Scaling.Prices) > 0,
		Limits: *service.Scaling, RefusedShare: load.refused, Busy: busyServers(load.engines), IsChanging: load.isChanging,
	}
	for name := range service.Scaling.Prices {
		v.DataCentres[name] = scaling.DataCentreView{}
	}
	for e := range view.All {
		if e.Service != service.Name {
			continue
		}
		dc := v.DataCentres[e.DataCentre]
		servers := &dc.Regular
		if e.IsReclaimable {
			servers = &dc.Reclaimable
		}
		if e.Leaving {
			addLeaving(servers, e.LeavesIn)
		} else {
			servers.Ready++
		}
		v.DataCentres[e.DataCentre] = dc
	}
	return v
}

// addLeaving adds a leaving server with the time that it has left.
func addLeaving(servers *scaling.Servers, left time.Duration) {
	if servers.Leaving == 0 || left < servers.LeastLeft {
		servers.LeastLeft = left
	}
	servers.GreatestLeft = max(servers.GreatestLeft, left)
	servers.Leaving++
}

// busyServers returns the sum of the busy shares of engines: of prefill engines whether they compute a prompt,
// of others the share of their slots in use.
func busyServers(engines []placement.EngineLoad) float64 {
	busy := 0.0
	for _, e := range engines {
		if e.Role == core.RolePrefill {
			busy += min(1, float64(e.Prompts))
			continue
		}
		busy += min(1, float64(e.Generating)/float64(max(1, e.Slots)))
	}
	return busy
}

// logPlan logs the inputs of a plan and what it wants.
func (s *serverController) logPlan(service core.Service, state scaling.State, orders int) {
	s.observer.ObserveServers(service, state)
	fields := log.Fields{
		"Service": service, "Busy": state.Busy, "Peak": state.HeldPeak, "Refused": state.RefusedShare, "Capacity": state.Capacity,
		"AfterLoss": state.AfterLoss, "Orders": orders,
	}
	for name, dc := range state.DataCentres {
		fields["Regular."+string(name)] = kindNumbers(dc.Regular)
		fields["Reclaimable."+string(name)] = kindNumbers(dc.Reclaimable)
	}
	s.log.WithFields(fields).Info("ServersPlanned")
}

// kindNumbers returns the ready, leaving, ordered and wanted servers of a kind.
func kindNumbers(k scaling.KindState) [4]int {
	return [...]int{k.Ready, k.Leaving, k.Current, k.Wanted}
}
