package check

import (
	"context"
	"slices"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/configuration"
	"gorseline/core/operation"
	client "gorseline/io/table"
)

// instance is one process of an instance in the system under test.
type instance struct {
	w     *world
	id    core.InstanceID
	tasks []*task
	alive bool
	// leaving is set during a graceful shutdown.
	leaving bool
	// pausedUntil is the end of a pause, and partitionedUntil the end of a partition from
	// all other instances, the table and the targets. These and the other times below are
	// times of the world's clock.
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	// resumedAt is the end of the last pause.
	resumedAt time.Duration
	// loseTableReplies is how many of the next transactions lose their reply, and
	// delayWrites how many run only after the instance has given up on them.
	loseTableReplies int
	delayWrites      int
	// targetsUnreachableUntil is the end of a partition from the targets only.
	targetsUnreachableUntil time.Duration
	// loseTargetReplies is how many of the next replies of targets are lost.
	loseTargetReplies int
	// pauseBeforeWrite is the length of a pending pause between the last check and the next
	// write to a target. pauseInWrite is the same for a pause inside that write, after the
	// socket has checked the write deadline. 0 means none.
	pauseBeforeWrite time.Duration
	pauseInWrite     time.Duration
	clock            driftingClock

	leaseManager *authority.LeaseManager
	reconciler   *authority.Reconciler
	forwarder    *authority.Forwarder
	executor     *operation.Executor
	// table is the client that this instance uses, and applier holds its configuration in
	// force.
	table   core.Table
	applier *configuration.Applier
	// era is the latest era of the table that this process has seen.
	era uint64
	// usageFence is the fence of the last transaction that fixes usage reports.
	usageFence core.Fence
}

func formatSerial(n uint64) string { return strconv.FormatUint(n, 36) }

// startInstance starts a process of a new instance.
func (w *world) startInstance() {
	w.startProcess(core.InstanceID("i" + strconv.Itoa(len(w.instances))))
}

// startProcess starts a process of an instance and the activities of all workloads on it.
// An earlier process of the instance must have ended.
func (w *world) startProcess(id core.InstanceID) {
	i := &instance{w: w, id: id, alive: true}
	// The maximum drift of 0.5% is ten times the 500 ppm that clock discipline may slew.
	i.clock = driftingClock{
		w: w, offset: w.between(0, time.Hour), ppm: w.random.Int64N(10001) - 5000,
	}
	// Safety must not depend on the retrier, so only half of the processes use it.
	i.table = remoteTable{i}
	if w.eras {
		i.table = eraTable{i.table, i}
	}
	if w.chance(0.5) {
		i.table = client.NewRetrier(client.RetrierOptions{
			Table: i.table, MaxTries: 3, Random: w.random.Float64,
			Sleep: func(_ context.Context, d time.Duration) { w.sleep(d) },
		})
	}
	opts := authority.Options{
		Self: i.id, Shards: shardCount, Table: i.table, Clock: i.clock, Recorder: i,
		NewAttemptID: w.newAttemptID, Members: i.members, Orderer: directOrderer{i}, Timing: authority.DefaultTiming(),
	}
	if w.unfencedTargets {
		opts.Orderer, opts.SingleProcess, opts.Timing = unfencedOrderer{i}, true, w.unfencedTiming()
	}
	i.forwarder = authority.NewForwarder(opts)
	if w.peerForwarding {
		opts.PeerOrderer = peerOrderer{i}
	}
	i.leaseManager = authority.NewLeaseManager(opts)
	i.reconciler = authority.NewReconciler(opts, i.leaseManager)
	calls := operation.DefaultOptions()
	calls.Self, calls.Table, calls.Clock, calls.Recorder = i.id, i.table, i.clock, i
	calls.NewAttemptID, calls.IsLive = w.newAttemptID, w.isAlive
	calls.Sleep = func(_ context.Context, d time.Duration) { w.sleep(d) }
	i.executor = operation.New(calls)
	w.instances = append(w.instances, i)
	for _, wl := range w.workloads {
		wl.start(i)
	}
}

// kill ends a process without warning.
func (i *instance) kill() {
	i.alive = false
	for _, t := range i.tasks {
		t.end()
	}
}

func (w *world) isAlive(id core.InstanceID) bool {
	return slices.ContainsFunc(w.instances, func(i *instance) bool { return i.id == id && i.alive })
}

// members returns the live instances as this one sees them. An instance is left out while
// more than 3 s of its pause or partition remain, except in the view of an instance that is
// partitioned itself.
func (i *instance) members() []core.InstanceID {
	var ids []core.InstanceID
	for _, m := range i.w.instances {
		unreachable := max(m.pausedUntil, m.partitionedUntil)-i.w.now > 3*time.Second
		if m == i || m.alive && (!unreachable || i.isPartitioned()) {
			ids = append(ids, m.id)
		}
	}
	return ids
}

func (i *instance) isPartitioned() bool { return i.partitionedUntil > i.w.now }

// pauseIfPending pauses the instance at this point if pending is not 0, for that duration, and
// resets it. It counts the fault name and reports whether it paused.
func (i *instance) pauseIfPending(pending *time.Duration, name string) bool {
	if *pending == 0 {
		return false
	}
	i.pausedUntil = i.w.now + *pending
	*pending = 0
	i.w.faults[name]++
	i.w.sleep(0)
	return true
}

// targetDelivery draws the delivery of one request to a target and of its reply. The
// request takes up to maxLatency to arrive.
func (i *instance) targetDelivery(maxLatency, timeout time.Duration) delivery {
	d := delivery{latency: i.w.between(time.Millisecond, maxLatency), timeout: timeout}
	switch {
	case i.isPartitioned() || i.targetsUnreachableUntil > i.w.now:
		d.requestLost, d.replyLost = i.w.chance(0.5), true
	case i.loseTargetReplies > 0:
		i.loseTargetReplies--
		i.w.faults["AnswerLost"]++
		d.replyLost = true
	}
	return d
}

// Record counts the event and checks the invariants that apply to single events.
func (i *instance) Record(e core.Event) {
	i.w.activity[string(e.Kind)]++
	if e.Kind == authority.EventShardAcquired {
		i.w.checkSoleHolder(i, e)
	}
}

// driftingClock is the local monotonic clock of an instance. It differs from the clock of
// the world by an offset and a drift in parts per million.
type driftingClock struct {
	w      *world
	offset time.Duration
	ppm    int64
}

// Now returns the local time.
func (c driftingClock) Now() core.Instant {
	return core.Instant(c.offset + c.w.now + c.w.now/1e6*time.Duration(c.ppm))
}

// deadline is a context that ends in virtual time.
type deadline struct {
	context.Context
	clock driftingClock
	at    core.Instant
}

type deadlineKey struct{}

// WithDeadline returns a context that ends at a local instant.
func (c driftingClock) WithDeadline(ctx context.Context, at core.Instant) (context.Context, context.CancelFunc) {
	return deadline{ctx, c, at}, func() {}
}

// Err reports whether the context has ended.
func (d deadline) Err() error {
	if d.clock.Now() >= d.at {
		return context.DeadlineExceeded
	}
	return d.Context.Err()
}

// Value returns the instant of the write deadline for deadlineKey.
func (d deadline) Value(key any) any {
	if key == (deadlineKey{}) {
		return d.at
	}
	return d.Context.Value(key)
}
