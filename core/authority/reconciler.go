package authority

import (
	"context"
	"strconv"
	"sync"

	"gorseline/core"
)

// Reconciler gives orders to targets under the leases of a Keeper. It is safe for
// concurrent use; calls for the same target exclude each other without waiting.
type Reconciler struct {
	opts   Options
	keeper *LeaseManager
	mu     sync.Mutex
	busy   map[core.TargetID]bool
	known  map[core.TargetID]*progress
}

// progress is what the holder knows about the intent of a target. It is valid only
// under the fence that it was read with.
type progress struct {
	fence   core.Fence
	version uint64
	intent  Intent
	// sentAt is when the last delivery started and quietAt when it can no longer
	// arrive; answered says that the target answered it.
	sentAt   core.Instant
	quietAt  core.Instant
	sent     bool
	answered bool
	// forwarded says that a second instance may still hold a delivery of this intent.
	forwarded bool
	// reload says that the row must be read again before the next decision.
	reload bool
	// unclear is the shard's version that a write with an unknown outcome expects. The
	// write may still commit until a renewal has changed that version.
	unclear uint64
}

// inherit takes over what an earlier reading under the same fence knows about
// deliveries.
func (p *progress) inherit(earlier *progress, shardVersion uint64, quietAt core.Instant) {
	if earlier == nil || earlier.fence != p.fence {
		return
	}
	p.quietAt = earlier.quietAt
	if earlier.intent.Sequence == p.intent.Sequence {
		p.sentAt, p.sent, p.answered, p.forwarded = earlier.sentAt, earlier.sent, earlier.answered, earlier.forwarded
	} else if earlier.forwarded {
		p.quietAt = quietAt
	}
	if earlier.unclear == shardVersion {
		p.unclear, p.reload = shardVersion, true
	}
}

// NewReconciler returns a commander. The options should be those of the keeper.
func NewReconciler(opts Options, keeper *LeaseManager) *Reconciler {
	return &Reconciler{
		opts: opts, keeper: keeper, busy: map[core.TargetID]bool{}, known: map[core.TargetID]*progress{},
	}
}

// turn is one call's exclusive hold of a target under a lease.
type turn struct {
	target core.Target
	lease  Lease
	*progress
}

// begin takes the target's turn. The result tells why it could not.
func (c *Reconciler) begin(ctx context.Context, target core.Target) (*turn, SubmitResult) {
	lease, ok := c.keeper.enter(ShardOf(target, c.opts.Shards, c.opts.Groups))
	if !ok {
		return nil, SubmitRefused
	}
	if !target.ChecksFence && c.opts.Clock.Now() < lease.UnfencedFrom {
		c.keeper.leave(lease)
		return nil, SubmitRefused
	}
	known, free := c.reserve(target.ID)
	if !free {
		c.keeper.leave(lease)
		return nil, SubmitBusy
	}
	t := &turn{target: target, lease: lease, progress: known}
	if known != nil && known.fence == lease.Fence && !known.reload {
		return t, SubmitAccepted
	}
	_, version, _ := c.keeper.lease(lease.Shard) // read before the row
	if t.progress = c.load(ctx, target.ID, lease.Fence); t.progress == nil {
		c.end(t)
		return nil, SubmitRefused
	}
	t.inherit(known, version, c.forwardsEnd())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[target.ID] = t.progress
	return t, SubmitAccepted
}

// reserve marks a target as busy and returns what is known about its intent.
func (c *Reconciler) reserve(target core.TargetID) (known *progress, free bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[target] {
		return nil, false
	}
	c.busy[target] = true
	return c.known[target], true
}

func (c *Reconciler) end(t *turn) {
	c.mu.Lock()
	delete(c.busy, t.target.ID)
	c.mu.Unlock()
	c.keeper.leave(t.lease)
}

// load reads the intent of a target. It returns nil if it can't be read.
func (c *Reconciler) load(ctx context.Context, target core.TargetID, fence core.Fence) *progress {
	rows, err := c.opts.Table.Read(ctx, OrderKey(target))
	if err != nil || len(rows) != 1 {
		return nil
	}
	intent, err := DecodeIntent(rows[0])
	if err != nil {
		return nil
	}
	return &progress{fence: fence, version: rows[0].Version, intent: intent}
}

// Submit asks for the target to become want. An intent of an earlier holder is
// finished first; Submit then returns SubmitBusy.
func (c *Reconciler) Submit(ctx context.Context, target core.Target, want Desired) SubmitResult {
	t, result := c.begin(ctx, target)
	if t == nil {
		return result
	}
	defer c.end(t)
	if t.intent.State == IntentPending {
		if t.intent.Fence != t.lease.Fence {
			c.adopt(ctx, t)
			return SubmitBusy
		}
		if t.intent.Desired() != want {
			return SubmitBusy
		}
		return c.deliver(ctx, t)
	}
	if t.intent.State == IntentApplied && t.intent.Desired() == want {
		return SubmitAccepted
	}
	next := t.intent.next(target.ID, want, t.lease, c.opts.NewAttemptID())
	if result := c.write(ctx, t, next, EventOrderIntended); result != SubmitRecorded {
		return result
	}
	return c.deliver(ctx, t)
}

// Observe compares a target's state, as reported at the instant at of the local
// clock, with its intent: it adopts, delivers, confirms or repairs the intent.
// Reports of targets whose shard is not held here are ignored.
func (c *Reconciler) Observe(ctx context.Context, target core.Target, report core.LoadReport, at core.Instant) {
	t, _ := c.begin(ctx, target)
	if t == nil {
		return
	}
	defer c.end(t)
	intent := t.intent
	switch {
	case intent.State != IntentPending && intent.State != IntentApplied:
	case intent.State == IntentPending && intent.Fence != t.lease.Fence:
		c.adopt(ctx, t)
	case report.Changing:
	case t.sent && at <= t.sentAt.Add(c.opts.OrderLifetime):
		// The report may be from before the order arrived.
	case intent.inForce(target, report):
		if intent.State == IntentPending {
			intent.State, intent.Repeats = IntentApplied, 0
			c.write(ctx, t, intent, EventOrderApplied)
		}
	case intent.State == IntentPending && !t.answered && report.AppliedSequence < intent.Sequence:
		c.deliver(ctx, t)
	default:
		c.repair(ctx, t)
	}
}

// adopt takes over the unfinished intent of an earlier holder under the own fence.
func (c *Reconciler) adopt(ctx context.Context, t *turn) {
	next := t.intent.next(t.target.ID, t.intent.Desired(), t.lease, c.opts.NewAttemptID())
	next.Repeats = t.intent.Repeats
	if c.write(ctx, t, next, EventOrderAdopted) == SubmitRecorded {
		c.deliver(ctx, t)
	}
}

// repair repeats an intent that the target accepted and does not show, because it
// crashed in the change or because another order took effect.
func (c *Reconciler) repair(ctx context.Context, t *turn) {
	if t.intent.Repeats >= c.opts.MaxRepeats {
		abandoned := t.intent
		abandoned.State = IntentAbandoned
		c.write(ctx, t, abandoned, EventOrderAbandoned)
		return
	}
	next := t.intent.next(t.target.ID, t.intent.Desired(), t.lease, c.opts.NewAttemptID())
	next.Repeats = t.intent.Repeats + 1
	if c.write(ctx, t, next, EventOrderRepaired) == SubmitRecorded {
		c.deliver(ctx, t)
	}
}

// write records an intent in a transaction that also checks the shard's row.
func (c *Reconciler) write(ctx context.Context, t *turn, next Intent, event core.EventKind) SubmitResult {
	for range 3 {
		lease, shardVersion, ok := c.keeper.lease(t.lease.Shard)
		if !ok || lease.Fence != t.lease.Fence {
			return SubmitRefused
		}
		next.Written = c.opts.NewAttemptID()
		result := c.opts.Table.Transact(ctx, next.Written, []core.Write{
			{Key: ShardKey(t.lease.Shard), Expected: shardVersion, CheckOnly: true},
			{Key: OrderKey(t.target.ID), Expected: t.version, Value: encode(next)},
		})
		switch result.Kind {
		case core.TransactCommitted:
			same := next.Sequence == t.intent.Sequence
			t.version, t.intent = result.Versions[1], next
			if !same {
				if t.forwarded {
					t.quietAt = c.forwardsEnd()
				}
				t.sent, t.answered, t.forwarded = false, false, false
			}
			c.record(event, t, string(next.State))
			return SubmitRecorded
		case core.TransactConflict:
			if !c.resolve(t, result.Conflicts) {
				return SubmitRefused
			}
		case core.TransactUnavailable:
			return SubmitRefused
		default:
			t.reload, t.unclear = true, shardVersion
			return SubmitUnknown
		}
	}
	return SubmitRefused
}

// forwardsEnd returns when a second instance can no longer pass on an intent that was
// replaced before now: it has read the row before that.
func (c *Reconciler) forwardsEnd() core.Instant {
	return c.opts.Clock.Now().Add(c.opts.OrderLifetime + c.opts.ClockMargin)
}

// resolve reports whether a conflicting write may be tried again: only a renewal of
// the own lease came between.
func (c *Reconciler) resolve(t *turn, conflicts []core.Row) bool {
	for _, row := range conflicts {
		if row.Key != ShardKey(t.lease.Shard) {
			t.reload = true
			return false
		}
		if !c.keeper.reconcile(row) {
			return false
		}
	}
	return true
}

// deliver sends the recorded intent. The order may leave this process only until
// limit, which is before the lease ends; the orderer sets it as write deadline.
func (c *Reconciler) deliver(ctx context.Context, t *turn) SubmitResult {
	lease, _, ok := c.keeper.lease(t.lease.Shard)
	now := c.opts.Clock.Now()
	if !ok || lease.Fence != t.intent.Fence {
		return SubmitRecorded
	}
	if now < t.quietAt {
		return SubmitRecorded // an earlier delivery may still arrive
	}
	limit := min(now.Add(c.opts.OrderLifetime), lease.ExpiresAt.Add(-c.opts.ClockMargin))
	ctx, cancel := c.opts.Clock.WithDeadline(ctx, limit)
	defer cancel()
	t.sent, t.sentAt, t.quietAt, t.answered = true, now, limit, false
	c.record(EventOrderSent, t, "")
	result := c.send(ctx, t)
	if result == core.OrderUnknown {
		return SubmitRecorded
	}
	t.quietAt = 0
	switch result {
	case core.OrderAccepted:
		t.answered = true
		return SubmitAccepted
	case core.OrderRejected:
		rejected := t.intent
		rejected.State = IntentRejected
		c.write(ctx, t, rejected, EventOrderRejected)
		return SubmitRejected
	}
	c.record(EventOrderStale, t, "")
	t.reload = true
	c.keeper.Drop(t.lease.Shard, t.lease.Fence)
	return SubmitRefused
}

// send sends the order, through a second instance if the target ignores fences and there
// is one. A forward without answer may be passed on later.
func (c *Reconciler) send(ctx context.Context, t *turn) core.OrderResult {
	if t.target.ChecksFence || c.opts.PeerOrderer == nil {
		return c.opts.Orderer.Order(ctx, t.target.Address, t.intent.Order)
	}
	before := t.forwarded
	t.forwarded = true
	result := c.opts.PeerOrderer.Order(ctx, t.target.Address, t.intent.Order)
	if result != core.OrderUnknown {
		t.forwarded = before
	}
	return result
}

func (c *Reconciler) record(kind core.EventKind, t *turn, detail string) {
	c.opts.Recorder.Record(core.Event{
		Instance: c.opts.Self, Kind: kind, Target: t.target.ID,
		Detail: "fence " + strconv.FormatUint(uint64(t.intent.Fence), 10) +
			" sequence " + strconv.FormatUint(t.intent.Sequence, 10) + " role " + t.intent.Role.String() + " " + detail,
	})
}
