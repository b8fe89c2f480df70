// Package authority decides which instance may give orders to a target, and delivers
// these orders. Targets are spread over shards; the holder of a shard's lease may give
// orders to the targets of that shard.
//
// An order is recorded as an intent before it is sent. It carries the fencing token of
// the lease and is sent only while the lease is valid. The next holder of the shard
// adopts an unfinished intent. When the reported state of a target differs from its
// intent, the order is repeated.
//
// LeaseManager holds the leases. Reconciler records intents and sends orders under them.
package authority

import (
	"time"

	"gorseline/core"
)

// Options configures a LeaseManager and a Reconciler.
type Options struct {
	// Self is the ID of this instance. A restarted process may use the same ID. Leases
	// under this ID that the process has not acquired itself belong to another process.
	Self core.InstanceID
	// Shards is the number of shards that targets are spread over. Groups is the number
	// of groups that the targets of each service are divided into; see ShardOf. Both
	// must be the same on all instances.
	Shards int
	Groups int
	// Table stores the lease and intent rows.
	Table    core.Table
	Clock    core.DeadlineClock
	Recorder core.Recorder
	// NewAttemptID returns an ID that is unique across all processes.
	NewAttemptID func() core.AttemptID
	// Members returns the live instances, including this one. Instances may disagree
	// about the members: the table decides who holds a lease.
	Members func() []core.InstanceID
	// Orderer sends orders to targets.
	Orderer core.Orderer
	// PeerOrderer sends orders for targets that don't check fences to another instance,
	// whose Forwarder delivers them. If it is nil, these orders are sent directly.
	PeerOrderer core.Orderer
	// SingleProcess says that no two processes of an instance run at the same time. A
	// process then takes over the leases of an earlier process of its instance at once.
	SingleProcess bool
	Timing
}

// Timing holds the durations of leases and orders.
type Timing struct {
	// LeaseDuration is how long a lease is valid after a renewal, and RenewInterval is
	// the time between renewals. With the default values two renewals may fail before
	// the lease expires.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	// OrderLifetime bounds the delivery of one order.
	OrderLifetime time.Duration
	// ClockMargin covers the drift between two local clocks over one lease. 500 ms in
	// 15 s is 3%, far above the 0.05% that clock discipline may slew.
	ClockMargin time.Duration
	// HolderGap is the minimum time between orders of two holders to a target that
	// doesn't check fences. ClockMargin applies instead if it is longer, or if the earlier
	// holder was a process of the same instance and SingleProcess is set.
	HolderGap time.Duration
	// ReleaseTimeout bounds the attempts to release leases when the process ends; the
	// default is LeaseDuration. A lease that isn't released expires.
	ReleaseTimeout time.Duration
	// MaxRepeats is how often an order without effect is repeated before its intent is
	// abandoned.
	MaxRepeats int
}

// DefaultTiming returns the timing for targets without a minimum gap between orders of
// two holders: leases of 15 s that are renewed every 5 s.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration: 15 * time.Second, RenewInterval: 5 * time.Second, OrderLifetime: 2 * time.Second,
		ClockMargin: 500 * time.Millisecond, MaxRepeats: 5,
	}
}

// HolderGapTiming returns the timing for targets that don't check fences and need a
// minimum gap between orders of two instances. A lease of 4 s costs the table one write
// and three reads every 1.25 s, and the successor of a killed holder may give orders
// after 8 s.
func HolderGapTiming(gap time.Duration) Timing {
	return Timing{
		LeaseDuration: 4 * time.Second, RenewInterval: 1250 * time.Millisecond, OrderLifetime: time.Second,
		ClockMargin: 500 * time.Millisecond, HolderGap: gap, MaxRepeats: 3, ReleaseTimeout: time.Second,
	}
}

// Kinds of events that this package records.
const (
	EventShardAcquired core.EventKind = "ShardAcquired"
	EventShardLost     core.EventKind = "ShardLost"
	EventShardReleased core.EventKind = "ShardReleased"
	EventOrderIntended core.EventKind = "OrderIntended"
	EventOrderAdopted  core.EventKind = "OrderAdopted"
	// EventOrderRestored is the record of an order that is written again after the table has gone
	// back.
	EventOrderRestored  core.EventKind = "OrderRestored"
	EventOrderSent      core.EventKind = "OrderSent"
	EventOrderApplied   core.EventKind = "OrderApplied"
	EventOrderRejected  core.EventKind = "OrderRejected"
	EventOrderStale     core.EventKind = "OrderStale"
	EventOrderRepaired  core.EventKind = "OrderRepaired"
	EventOrderAbandoned core.EventKind = "OrderAbandoned"
)
