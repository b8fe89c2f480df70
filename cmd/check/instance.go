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

// instance is one process of the system under test.
type instance struct {
	w     *world
	id    core.InstanceID
	tasks []*task
	alive bool
	// leaving is set while a planned stop is under way.
	leaving bool
	// pausedUntil and cutUntil are in true time; cutUntil ends a partition from the
	// table and the targets.
	pausedUntil time.Duration
	cutUntil    time.Duration
	// wokeAt is when the last pause ended.
	wokeAt time.Duration
	// loseReplies and lateWrites are how many of the next transactions suffer it.
	loseReplies int
	lateWrites  int
	// muteUntil ends a partition from the targets only.
	muteUntil time.Duration
	// loseAnswers is how many of the next answers of targets are lost.
	loseAnswers int
	// pauseBeforeWrite is how long the process stops between its last check and its
	// next write to a target; pauseInWrite strikes inside that write, after the socket
	// has compared the write deadline.
	pauseBeforeWrite time.Duration
	pauseInWrite     time.Duration
	clock            driftingClock

	keeper    *authority.LeaseManager
	commander *authority.Reconciler
	forwarder *authority.Forwarder
	executor  *operation.Executor
	// view is the table as this instance uses it, applier its configuration in force.
	view    core.Table
	applier *configuration.Applier
}

func formatSerial(n uint64) string { return strconv.FormatUint(n, 36) }

// startInstance starts a process of a new instance and the parts' activities on it.
func (w *world) startInstance() {
	w.startProcess(core.InstanceID("i" + strconv.Itoa(len(w.instances))))
}

// startProcess starts a process of an instance. An earlier one has ended.
func (w *world) startProcess(id core.InstanceID) {
	i := &instance{w: w, id: id, alive: true}
	// 0.5% drift is ten times what clock discipline may slew.
	i.clock = driftingClock{
		w: w, offset: w.between(0, time.Hour), ppm: w.random.Int64N(10001) - 5000,
	}
	// Safety must not depend on the settler: every other instance does without.
	var view core.Table = tableView{i}
	if w.chance(0.5) {
		view = client.NewRetrier(client.RetrierOptions{
			Table: view, MaxTries: 3, Random: w.random.Float64,
			Sleep: func(_ context.Context, d time.Duration) { w.sleep(d) },
		})
	}
	i.view = view
	opts := authority.Options{
		Self: i.id, Shards: shards, Table: view, Clock: i.clock, Recorder: i,
		NewAttemptID: w.attempt, Members: i.members, Orderer: orderView{i}, Timing: authority.DefaultTiming(),
	}
	if w.turns {
		opts.Orderer, opts.SingleProcess, opts.Timing = turnView{i}, true, w.turnTiming()
	}
	i.forwarder = authority.NewForwarder(opts)
	if w.second {
		opts.PeerOrderer = secondView{i}
	}
	i.keeper = authority.NewLeaseManager(opts)
	i.commander = authority.NewReconciler(opts, i.keeper)
	calls := operation.DefaultOptions()
	calls.Self, calls.Table, calls.Clock, calls.Recorder = i.id, view, i.clock, i
	calls.NewAttemptID, calls.IsLive = w.attempt, w.isAlive
	calls.Sleep = func(_ context.Context, d time.Duration) { w.sleep(d) }
	i.executor = operation.New(calls)
	w.instances = append(w.instances, i)
	for _, p := range w.parts {
		p.start(i)
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

// members returns the live instances as this one sees them: one that is paused or cut
// off stays in the view for 3 s, and one that is cut off itself sees the old view.
func (i *instance) members() []core.InstanceID {
	var ids []core.InstanceID
	for _, m := range i.w.instances {
		silent := max(m.pausedUntil, m.cutUntil)-i.w.now > 3*time.Second
		if m == i || m.alive && (!silent || i.isCut()) {
			ids = append(ids, m.id)
		}
	}
	return ids
}

func (i *instance) isCut() bool { return i.cutUntil > i.w.now }

// strike pauses the instance at this point if the fault is pending.
func (i *instance) strike(pending *time.Duration, name string) bool {
	if *pending == 0 {
		return false
	}
	i.pausedUntil = i.w.now + *pending
	*pending = 0
	i.w.faults[name]++
	i.w.sleep(0)
	return true
}

// targetFate is what happens to one message to a target, which travels for at most a time,
// and its answer.
func (i *instance) targetFate(travel, timeout time.Duration) fate {
	f := fate{travel: i.w.between(time.Millisecond, travel), timeout: timeout}
	switch {
	case i.isCut() || i.muteUntil > i.w.now:
		f.lost, f.replyLost = i.w.chance(0.5), true
	case i.loseAnswers > 0:
		i.loseAnswers--
		i.w.faults["AnswerLost"]++
		f.replyLost = true
	}
	return f
}

// Record counts the event and checks the invariants that hold at single steps.
func (i *instance) Record(e core.Event) {
	i.w.activity[string(e.Kind)]++
	if e.Kind == authority.EventShardAcquired {
		i.w.checkSoleHolder(i, e)
	}
}

// driftingClock is the local monotonic clock of an instance.
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

// Value gives the sending side the instant of the write deadline.
func (d deadline) Value(key any) any {
	if key == (deadlineKey{}) {
		return d.at
	}
	return d.Context.Value(key)
}
