package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/core"
	"gorseline/core/authority"
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
	// leaseTime and renewTime make an instance's orders end 9 s after it is cut off, and
	// cost the store one write each 3 s.
	leaseTime = 9 * time.Second
	renewTime = 3 * time.Second
	// orderLifetime bounds the delivery of an order.
	orderLifetime = time.Second
	// maximumRepeats bounds the orders that an engine does not carry out.
	maximumRepeats = 3
)

// roles plans the roles of engines and orders them while this instance holds the lease.
type roles struct {
	keeper    *authority.Keeper
	commander *authority.Commander
	clock     core.DeadlineClock
	steady    core.ClockProvider
	forwarder *forward.Forwarder
	roster    *roster.Roster
	board     *load.Board
	log       log.Interface
	options   placement.DemandOptions
	staleness time.Duration
	planners  map[core.Service]*placement.DemandPlanner
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
	Board     *load.Board
	Log       log.Interface
}

func newRoles(lc fx.Lifecycle, p rolesParts) (*roles, error) {
	clock, err := boottime.NewClock()
	if err != nil {
		return nil, err
	}
	var keeper atomic.Pointer[authority.Keeper]
	mayOrder := func() bool {
		k := keeper.Load()
		return k != nil && len(k.Leases()) > 0
	}
	options := authority.Options{
		Self: p.Settings.Instance, Shards: roleShards, Groups: 1, Table: p.Table, Clock: clock,
		Recorder: eventLog{p.Log}, Attempts: table.NewAttempts(),
		Members: func() []core.InstanceID { return memberIDs(p.Digests, p.Settings.Instance) },
		Orderer: platform.NewOrders(p.Settings.Instance, p.Log, mayOrder),
		Timing: authority.Timing{
			Lease: leaseTime, Renew: renewTime, OrderLifetime: orderLifetime,
			// Orders of two instances to one target must be further apart than a turn.
			Margin: p.Settings.Bounds.OrderTurn, MaxRepeats: maximumRepeats,
		},
	}
	r := &roles{
		keeper: authority.NewKeeper(options), clock: clock, steady: p.Steady, forwarder: p.Forwarder,
		roster: p.Roster, board: p.Board, log: p.Log,
		options: placement.DemandOptions{StartShare: p.Options.StartShare},
		// What the registry shows may be two renewals and one read old.
		staleness: 2*p.Settings.Heartbeat + p.Options.Roster,
		planners:  map[core.Service]*placement.DemandPlanner{}, ordered: map[core.TargetID]core.Instant{},
		done: make(chan struct{}),
	}
	keeper.Store(r.keeper)
	r.commander = authority.NewCommander(options, r.keeper)
	start(lc, r.keeper)
	start(lc, r)
	return r, nil
}

func memberIDs(d *digest.Node, self core.InstanceID) []core.InstanceID {
	members := d.Members()
	ids := make([]core.InstanceID, 0, len(members)+1)
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	if len(ids) == 0 {
		ids = append(ids, self)
	}
	return ids
}

// Run plans until ctx ends.
func (r *roles) Run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if len(r.keeper.Leases()) > 0 {
				r.plan(ctx)
			}
		}
	}
}

// Done is closed when Run has ended.
func (r *roles) Done() <-chan struct{} { return r.done }

func (r *roles) plan(ctx context.Context) {
	t := r.forwarder.Table()
	if t == nil {
		return
	}
	view := r.roster.View()
	for name, service := range t.Configuration().Services {
		if service.Engine == nil {
			continue
		}
		r.planService(ctx, view, name)
	}
}

func (r *roles) planService(ctx context.Context, view *roster.View, name core.Service) {
	planner, ok := r.planners[name]
	if !ok {
		planner = placement.NewDemandPlanner(r.options)
		r.planners[name] = planner
	}
	now := r.steady.Now()
	var engines []placement.EngineLoad
	for _, e := range view.Ready(name) {
		state := r.board.State(now, e.ID, nil)
		engines = append(engines, placement.EngineLoad{
			ID: e.ID, DataCentre: e.DataCentre, Role: e.Role, Slots: e.Slots,
			Prompts: state.Prompts, Generating: state.Generating,
		})
	}
	for _, change := range planner.Plan(now, engines) {
		r.order(ctx, view, planner, change)
	}
}

// order submits one change.
func (r *roles) order(ctx context.Context, view *roster.View, planner *placement.DemandPlanner, change core.RoleChange) {
	e, ok := view.Find(change.Target)
	if !ok {
		return
	}
	busy, full := planner.Averages()
	result := r.commander.Submit(ctx, e.Target, authority.Desired{Role: change.To})
	r.log.WithFields(log.Fields{
		"Target": change.Target, "From": change.From, "To": change.To, "Reason": change.Reason,
		"Result": result, "Roster": view.Version, "Busy": busy, "Full": full,
	}).Info("RoleChangeOrdered")
	switch result {
	case authority.SubmitRefused, authority.SubmitRejected, authority.SubmitBusy:
		planner.Failed(change.Target)
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
