package instance

import (
	"context"

	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/random"
	"gorseline/core/membership"
	"gorseline/core/watch"
)

// leaseAuthority holds the components that manage the shard leases of this instance and send
// orders under them.
type leaseAuthority struct {
	options      authority.Options
	leaseManager *authority.LeaseManager
	reconciler   *authority.Reconciler
	// forwarder delivers the orders that other instances send through this one.
	forwarder *authority.Forwarder
	// releaseLeases stops the lease manager, which releases all leases.
	releaseLeases func(context.Context) error
}

type authorityInputs struct {
	fx.In

	Lifecycle    fx.Lifecycle
	Settings     Settings
	Platform     *platform
	Control      *control
	Serving      *serving
	Clock        core.DeadlineClock
	Recorder     core.Recorder
	NewAttemptID attemptIDGenerator
	Random       *random.Source
}

func newAuthority(in authorityInputs) *leaseAuthority {
	options := authority.Options{
		Self: core.InstanceID(in.Settings.Instance), Shards: in.Settings.Shards, Groups: in.Settings.Groups,
		Table: in.Platform.table.Leases, Clock: in.Clock, Recorder: in.Recorder, NewAttemptID: in.NewAttemptID,
		Members: in.Control.liveInstances, Orderer: in.Serving.engines, Timing: authority.DefaultTiming(),
	}
	// The forwarder keeps PeerOrderer unset: it sends orders to the targets itself.
	forwarder := authority.NewForwarder(options)
	if in.Settings.OrdersViaPeer {
		options.PeerOrderer = &peerOrderer{in.Control, options.Self, in.Random}
	}
	leaseManager := authority.NewLeaseManager(options)
	a := &leaseAuthority{
		options: options, leaseManager: leaseManager,
		reconciler: authority.NewReconciler(options, leaseManager), forwarder: forwarder,
	}
	watcher := watch.New(watch.Options{
		Fleet: in.Serving.fleet, Load: in.Serving.engines, Events: in.Serving.engines,
		Clock: in.Clock, Random: in.Random, LeaseHeld: leaseManager.Holds, PollsPerRound: in.Settings.LoadPolls,
		OnReport: func(state core.TargetState, err error) {
			if err == nil {
				in.Serving.markLeaving(in.Clock.Now(), state)
				a.observe(in.Clock, state)
			}
		},
	})
	a.releaseLeases = lifecycle.Register(in.Lifecycle, leaseManager)
	in.Serving.watcher = watcher
	lifecycle.Register(in.Lifecycle, watcher)
	return a
}

// observe passes an engine's load report to the reconciler, which compares it with the
// desired state and repeats orders as needed.
func (a *leaseAuthority) observe(clock core.ClockProvider, state core.TargetState) {
	if !state.IsEngine() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.options.OrderLifetime)
	defer cancel()
	a.reconciler.Observe(ctx, state.Target, state.Report, clock.Now())
}

func (a *leaseAuthority) shardOf(target core.Target) int {
	return authority.ShardOf(target, a.options.Shards, a.options.Groups)
}

// heldShards returns the shards whose lease this instance holds now.
func (a *leaseAuthority) heldShards() []int {
	leases := a.leaseManager.Leases()
	shards := make([]int, len(leases))
	for i, lease := range leases {
		shards[i] = lease.Shard
	}
	return shards
}

// peerOrderer sends orders through another instance, which reads the shard's fence again
// before it delivers them.
type peerOrderer struct {
	control *control
	self    core.InstanceID
	random  *random.Source
}

var _ core.Orderer = (*peerOrderer)(nil)

// Order sends the order through a random live peer. If there is none, the result is
// unknown, so that the reconciler repeats the order.
func (o *peerOrderer) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	var peers []string
	for _, record := range o.control.member.Members() {
		if record.Status == membership.StatusAlive && record.ID != o.self {
			peers = append(peers, record.Address)
		}
	}
	if len(peers) == 0 {
		return core.OrderUnknown
	}
	return o.control.peerClient.Forward(ctx, peers[o.random.IntN(len(peers))], address, order)
}
