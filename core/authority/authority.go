// Package authority decides which instance may give orders to a target, and gives
// them: shard leases with fencing numbers, recorded intents, delivery within the
// lease, adoption by a successor, and repair from the observed state.
//
// Keeper holds the leases; Commander writes intents and sends orders under them.
package authority

import (
	"time"

	"gorseline/core"
)

// Options configure a Keeper and a Commander.
type Options struct {
	// Self names this process. A restarted process may use the same name: leases
	// that it does not hold in memory count as another's.
	Self core.InstanceID
	// Shards is the number of shards that targets are spread over, Groups the number
	// of groups that the targets of one service form; see ShardOf. Both are the same
	// on all instances.
	Shards   int
	Groups   int
	Table    core.Table
	Clock    core.DeadlineClock
	Recorder core.Recorder
	// NewAttemptID returns a new ID that no process has used.
	NewAttemptID func() core.AttemptID
	// Members returns the live instances, this one included. Views of two instances
	// may differ: the table decides who holds a lease.
	Members func() []core.InstanceID
	// Orderer sends orders to targets.
	Orderer core.Orderer
	// PeerOrderer delivers orders to targets that ignore fences through another instance;
	// nil sends them directly. Forwarder is the receiving side.
	PeerOrderer core.Orderer
	// SingleProcess says that no two processes of an instance run at a time. A process then
	// succeeds an earlier one of its instance at once.
	SingleProcess bool
	Timing
}

// Timing holds the durations of leases and orders.
type Timing struct {
	// LeaseDuration is how long a renewal lasts, Renew how often it is repeated. Two
	// renewals may fail before the lease ends.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	// OrderLifetime bounds the delivery of one order.
	OrderLifetime time.Duration
	// ClockMargin covers the drift between two local clocks over one lease. 500 ms in 15 s
	// is 3%, far above the 0.05% that clock discipline may slew.
	ClockMargin time.Duration
	// HolderGap is the least time between orders of two holders to one target that does not
	// check fences; 0 takes Margin.
	HolderGap time.Duration
	// ReleaseTimeout bounds the attempts to release leases when the process ends; 0 takes
	// Lease. A lease that isn't released ends by itself.
	ReleaseTimeout time.Duration
	// MaxRepeats is how often an order that a target does not carry out is repeated.
	MaxRepeats int
}

// DefaultTiming returns the durations of the design: 15 s leases renewed every 5 s.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration: 15 * time.Second, RenewInterval: 5 * time.Second, OrderLifetime: 2 * time.Second,
		ClockMargin: 500 * time.Millisecond, MaxRepeats: 5,
	}
}

// HolderGapTiming returns the durations for targets that don't check fences and take orders of
// two instances only when these are a turn apart: a lease of 4 s costs the table a write
// and three reads each 1.25 s, and a successor of a killed holder may order 8 s later.
func HolderGapTiming(turn time.Duration) Timing {
	return Timing{
		LeaseDuration: 4 * time.Second, RenewInterval: 1250 * time.Millisecond, OrderLifetime: time.Second,
		ClockMargin: 500 * time.Millisecond, HolderGap: turn, MaxRepeats: 3, ReleaseTimeout: time.Second,
	}
}

// Kinds of events that this package records.
const (
	EventShardAcquired  core.EventKind = "ShardAcquired"
	EventShardLost      core.EventKind = "ShardLost"
	EventShardReleased  core.EventKind = "ShardReleased"
	EventOrderIntended  core.EventKind = "OrderIntended"
	EventOrderAdopted   core.EventKind = "OrderAdopted"
	EventOrderSent      core.EventKind = "OrderSent"
	EventOrderApplied   core.EventKind = "OrderApplied"
	EventOrderRejected  core.EventKind = "OrderRejected"
	EventOrderStale     core.EventKind = "OrderStale"
	EventOrderRepaired  core.EventKind = "OrderRepaired"
	EventOrderAbandoned core.EventKind = "OrderAbandoned"
)
