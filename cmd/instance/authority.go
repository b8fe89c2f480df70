package instance

import (
	"context"

	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/random"
	"gorseline/core/membership"
	"gorseline/core/watch"
)

// authorities hold the leases of this instance and give orders under them.
type authorities struct {
	keeper    *authority.LeaseManager
	commander *authority.Reconciler
	options   authority.Options
	// forwarder delivers orders of other instances.
	forwarder *authority.Forwarder
	// release gives up all leases.
	release func(context.Context) error
}

type authorityInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Platform  *platform
	Control   *control
	Serving   *serving
	Clock     core.DeadlineClock
	Recorder  core.Recorder
	Attempts  attemptIDGenerator
	Random    *random.Source
}

func newAuthority(in authorityInputs) *authorities {
	options := authority.Options{
		Self: core.InstanceID(in.Settings.Instance), Shards: in.Settings.Shards, Groups: in.Settings.Groups,
		Table: in.Platform.table.Leases, Clock: in.Clock, Recorder: in.Recorder, NewAttemptID: in.Attempts,
		Members: in.Control.members, Orderer: in.Serving.engines, Timing: authority.DefaultTiming(),
	}
	forwarder := authority.NewForwarder(options)
	if in.Settings.OrdersViaPeer {
		options.PeerOrderer = &secondSender{in.Control, options.Self, in.Random}
	}
	keeper := authority.NewLeaseManager(options)
	a := &authorities{forwarder: forwarder, keeper: keeper, commander: authority.NewReconciler(options, keeper), options: options}
	watcher := watch.New(watch.Options{
		Fleet: in.Serving.fleet, Load: in.Serving.engines, Events: in.Serving.engines,
		Clock: in.Clock, Random: in.Random, LeaseHeld: keeper.Holds, PollsPerRound: in.Settings.LoadPolls,
		OnReport: func(state core.TargetState, err error) {
			if err == nil {
				in.Serving.markLeaving(in.Clock.Now(), state)
				a.observe(in.Clock, state)
			}
		},
	})
	a.release = part.Register(in.Lifecycle, keeper)
	in.Serving.watcher = watcher
	part.Register(in.Lifecycle, watcher)
	return a
}

// observe compares a report with the target's intent.
func (a *authorities) observe(clock core.ClockProvider, state core.TargetState) {
	if !state.IsEngine() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.options.OrderLifetime)
	defer cancel()
	a.commander.Observe(ctx, state.Target, state.Report, clock.Now())
}

func (a *authorities) shardOf(target core.Target) int {
	return authority.ShardOf(target, a.options.Shards, a.options.Groups)
}

// shards returns the shards whose lease this instance holds now.
func (a *authorities) shards() []int {
	leases := a.keeper.Leases()
	shards := make([]int, len(leases))
	for i, l := range leases {
		shards[i] = l.Shard
	}
	return shards
}

// secondSender delivers orders through another instance, which reads the fence again.
type secondSender struct {
	control *control
	self    core.InstanceID
	random  *random.Source
}

var _ core.Orderer = (*secondSender)(nil)

// Order sends the order through a random live peer. Without one the order is repeated
// later.
func (s *secondSender) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	var peers []string
	for _, r := range s.control.member.Members() {
		if r.Status == membership.StatusAlive && r.ID != s.self {
			peers = append(peers, r.Address)
		}
	}
	if len(peers) == 0 {
		return core.OrderUnknown
	}
	return s.control.peers.Forward(ctx, peers[s.random.IntN(len(peers))], address, order)
}
