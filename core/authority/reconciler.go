package authority

import (
	"context"
	"strconv"
	"sync"

	"gorseline/core"
)

// Reconciler gives orders to targets under the leases of a LeaseManager. It is safe for
// concurrent use. A call for a target that another call is working on returns at once
// without effect.
type Reconciler struct {
	opts     Options
	leases   *LeaseManager
	mu       sync.Mutex
	busy     map[core.TargetID]bool
	progress map[core.TargetID]*progress
}

// progress caches the intent of a target and the state of its delivery. It is valid only
// for the fence under which the intent was read.
type progress struct {
	fence   core.Fence
	version uint64 // of the intent row
	era     uint64 // of the table when the row was read or written
	intent  Intent
	// sentAt is when the last delivery started, and deliveryEnd is when earlier
	// deliveries can no longer arrive. accepted says that the target accepted the order.
	sentAt      core.Instant
	deliveryEnd core.Instant
	sent        bool
	accepted    bool
	// forwarded says that an order of this intent was forwarded without an answer. The
	// other instance may still deliver it.
	forwarded bool
	// reload says that the intent row must be read again before the next decision.
	reload bool
	// uncertainVersion is the version of the lease row that a write with an unknown
	// outcome expects. The write may still commit until a renewal changes that version.
	uncertainVersion uint64
}

// carryOver copies the delivery state from an earlier progress under the same fence.
func (p *progress) carryOver(earlier *progress, shardVersion uint64, forwardingEnd core.Instant) {
	if earlier == nil || earlier.fence != p.fence {
		return
	}
	p.deliveryEnd = earlier.deliveryEnd
	if earlier.intent.Sequence == p.intent.Sequence {
		p.sentAt, p.sent, p.accepted, p.forwarded = earlier.sentAt, earlier.sent, earlier.accepted, earlier.forwarded
	} else if earlier.forwarded {
		p.deliveryEnd = forwardingEnd
	}
	if earlier.uncertainVersion == shardVersion {
		p.uncertainVersion, p.reload = shardVersion, true
	}
}

// NewReconciler returns a reconciler. Its options must agree with those of leases.
func NewReconciler(opts Options, leases *LeaseManager) *Reconciler {
	return &Reconciler{
		opts: opts, leases: leases, busy: map[core.TargetID]bool{}, progress: map[core.TargetID]*progress{},
	}
}

// targetLock is the exclusive access of one call to a target, with the pinned lease of the
// target's shard.
type targetLock struct {
	target core.Target
	lease  Lease
	*progress
}

// lockTarget locks the target, pins its lease and loads its intent if needed. If that
// fails, it returns nil and the reason.
func (r *Reconciler) lockTarget(ctx context.Context, target core.Target) (*targetLock, SubmitResult) {
	lease, ok := r.leases.pin(ShardOf(target, r.opts.Shards, r.opts.Groups))
	if !ok {
		return nil, SubmitRefused
	}
	if !target.ChecksFence && r.opts.Clock.Now() < lease.UnfencedFrom {
		r.leases.unpin(lease)
		return nil, SubmitRefused
	}
	known, free := r.reserve(target.ID)
	if !free {
		r.leases.unpin(lease)
		return nil, SubmitBusy
	}
	t := &targetLock{target: target, lease: lease, progress: known}
	if known != nil && known.fence == lease.Fence && !known.reload {
		return t, SubmitAccepted
	}
	_, version, _ := r.leases.lease(lease.Shard) // read before the intent row
	if t.progress = r.load(ctx, target.ID, lease.Fence); t.progress == nil {
		r.unlockTarget(t)
		return nil, SubmitRefused
	}
	isLost := t.isOlderThan(known)
	if isLost {
		t.intent = known.intent
	}
	t.carryOver(known, version, r.forwardingEnd())
	r.mu.Lock()
	r.progress[target.ID] = t.progress
	r.mu.Unlock()
	if isLost {
		if result := r.write(ctx, t, t.intent, EventOrderRestored); result != SubmitRecorded {
			t.reload = true
			r.unlockTarget(t)
			return nil, result
		}
	}
	return t, SubmitAccepted
}

// isOlderThan reports whether the table has gone back to a copy without the intent that this
// holder knows.
func (p *progress) isOlderThan(known *progress) bool {
	return known != nil && known.fence == p.fence && p.era != known.era && p.intent.Sequence < known.intent.Sequence
}

// reserve marks a target as busy and returns its cached progress, if any. It returns false
// if the target is already busy.
func (r *Reconciler) reserve(target core.TargetID) (known *progress, free bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[target] {
		return nil, false
	}
	r.busy[target] = true
	return r.progress[target], true
}

func (r *Reconciler) unlockTarget(t *targetLock) {
	r.mu.Lock()
	delete(r.busy, t.target.ID)
	r.mu.Unlock()
	r.leases.unpin(t.lease)
}

// load reads the intent of a target. It returns nil if the row can't be read or decoded. An intent
// of another holder that an older copy of the table had is not adopted or repeated: it may have
// been carried out or replaced since, and the record of that is lost.
func (r *Reconciler) load(ctx context.Context, target core.TargetID, fence core.Fence) *progress {
	rows, err := r.opts.Table.Read(ctx, OrderKey(target))
	if err != nil || len(rows) != 1 {
		return nil
	}
	intent, err := DecodeIntent(rows[0])
	if err != nil {
		return nil
	}
	if intent.Fence != fence && intent.Era != rows[0].Era {
		intent.State = IntentAbandoned
	}
	return &progress{fence: fence, version: rows[0].Version, era: rows[0].Era, intent: intent}
}

// Submit records the desired state of a target as its intent and sends the order. If the
// same order is already pending, Submit delivers it again. If an earlier holder left a
// pending intent, Submit adopts that one instead and returns SubmitBusy.
func (r *Reconciler) Submit(ctx context.Context, target core.Target, desired Desired) SubmitResult {
	t, result := r.lockTarget(ctx, target)
	if t == nil {
		return result
	}
	defer r.unlockTarget(t)
	if t.intent.State == IntentPending {
		if t.intent.Fence != t.lease.Fence {
			r.adopt(ctx, t)
			return SubmitBusy
		}
		if t.intent.Desired() != desired {
			return SubmitBusy
		}
		return r.deliver(ctx, t)
	}
	if t.intent.State == IntentApplied && t.intent.Desired() == desired {
		return SubmitAccepted
	}
	next := t.intent.next(target.ID, desired, t.lease, r.opts.NewAttemptID())
	if result := r.write(ctx, t, next, EventOrderIntended); result != SubmitRecorded {
		return result
	}
	return r.deliver(ctx, t)
}

// Observe compares a target's load report with its intent; at is the local time of the
// report. As needed, it adopts the intent, delivers it, marks it as applied, repeats it or
// abandons it. Reports of targets whose shard this instance doesn't hold are ignored.
func (r *Reconciler) Observe(ctx context.Context, target core.Target, report core.LoadReport, at core.Instant) {
	t, _ := r.lockTarget(ctx, target)
	if t == nil {
		return
	}
	defer r.unlockTarget(t)
	intent := t.intent
	switch {
	case intent.State != IntentPending && intent.State != IntentApplied:
	case intent.State == IntentPending && intent.Fence != t.lease.Fence:
		r.adopt(ctx, t)
	case report.Changing:
	case t.sent && at <= t.sentAt.Add(r.opts.OrderLifetime):
		// The report may predate the arrival of the order.
	case intent.matches(target, report):
		if intent.State == IntentPending {
			intent.State, intent.Repeats = IntentApplied, 0
			r.write(ctx, t, intent, EventOrderApplied)
		}
	case intent.State == IntentPending && !t.accepted && report.AppliedSequence < intent.Sequence:
		r.deliver(ctx, t)
	default:
		r.repair(ctx, t)
	}
}

// adopt records the pending intent of an earlier holder under the current fence and
// delivers it.
func (r *Reconciler) adopt(ctx context.Context, t *targetLock) {
	next := t.intent.next(t.target.ID, t.intent.Desired(), t.lease, r.opts.NewAttemptID())
	next.Repeats = t.intent.Repeats
	if r.write(ctx, t, next, EventOrderAdopted) == SubmitRecorded {
		r.deliver(ctx, t)
	}
}

// repair repeats an order that the target received but whose effect it doesn't report,
// because it crashed during the change or because another order took effect. It abandons
// the intent after MaxRepeats repeats.
func (r *Reconciler) repair(ctx context.Context, t *targetLock) {
	if t.intent.Repeats >= r.opts.MaxRepeats {
		abandoned := t.intent
		abandoned.State = IntentAbandoned
		r.write(ctx, t, abandoned, EventOrderAbandoned)
		return
	}
	next := t.intent.next(t.target.ID, t.intent.Desired(), t.lease, r.opts.NewAttemptID())
	next.Repeats = t.intent.Repeats + 1
	if r.write(ctx, t, next, EventOrderRepaired) == SubmitRecorded {
		r.deliver(ctx, t)
	}
}

// write records an intent in a transaction that also checks the version of the lease row.
func (r *Reconciler) write(ctx context.Context, t *targetLock, next Intent, event core.EventKind) SubmitResult {
	for range maxTransactions {
		lease, shardVersion, ok := r.leases.lease(t.lease.Shard)
		if !ok || lease.Fence != t.lease.Fence {
			return SubmitRefused
		}
		next.Written, next.Era = r.opts.NewAttemptID(), core.EraOf(shardVersion)
		result := r.opts.Table.Transact(ctx, next.Written, []core.Write{
			{Key: ShardKey(t.lease.Shard), Expected: shardVersion, CheckOnly: true},
			{Key: OrderKey(t.target.ID), Expected: t.version, Value: encode(next)},
		})
		switch result.Kind {
		case core.TransactCommitted:
			if core.EraOf(result.Versions[0]) != core.EraOf(shardVersion) {
				// The lease row was compared with that of another era.
				t.reload = true
				return SubmitRefused
			}
			same := next.Sequence == t.intent.Sequence
			t.version, t.era, t.intent = result.Versions[1], core.EraOf(result.Versions[1]), next
			if !same {
				if t.forwarded {
					t.deliveryEnd = r.forwardingEnd()
				}
				t.sent, t.accepted, t.forwarded = false, false, false
			}
			r.record(event, t, string(next.State))
			return SubmitRecorded
		case core.TransactConflict:
			if !r.canRetry(t, result.Conflicts) {
				return SubmitRefused
			}
		case core.TransactUnavailable:
			return SubmitRefused
		default:
			t.reload, t.uncertainVersion = true, shardVersion
			return SubmitUnknown
		}
	}
	return SubmitRefused
}

// forwardingEnd returns when another instance can no longer deliver an intent that was
// replaced before now: it must have read the intent row before the replacement.
func (r *Reconciler) forwardingEnd() core.Instant {
	return r.opts.Clock.Now().Add(r.opts.OrderLifetime + r.opts.ClockMargin)
}

// canRetry reports whether a write may be retried after a conflict. It may if a renewal of
// this holder's lease is the only cause. If the intent row has changed, canRetry has it
// read again.
func (r *Reconciler) canRetry(t *targetLock, conflicts []core.Row) bool {
	for _, row := range conflicts {
		if row.Key != ShardKey(t.lease.Shard) {
			t.reload = true
			return false
		}
		if !r.leases.reconcile(row) {
			return false
		}
	}
	return true
}

// deliver sends the order of the recorded intent. The deadline lies before the end of the
// lease. The orderer sets it as the write deadline, so that a paused process can't send
// the order later.
func (r *Reconciler) deliver(ctx context.Context, t *targetLock) SubmitResult {
	lease, _, ok := r.leases.lease(t.lease.Shard)
	now := r.opts.Clock.Now()
	if !ok || lease.Fence != t.intent.Fence {
		return SubmitRecorded
	}
	if now < t.deliveryEnd {
		return SubmitRecorded // an earlier delivery may still arrive
	}
	limit := min(now.Add(r.opts.OrderLifetime), lease.ExpiresAt.Add(-r.opts.ClockMargin))
	ctx, cancel := r.opts.Clock.WithDeadline(ctx, limit)
	defer cancel()
	t.sent, t.sentAt, t.deliveryEnd, t.accepted = true, now, limit, false
	r.record(EventOrderSent, t, "")
	result := r.send(ctx, t)
	if result == core.OrderUnknown {
		return SubmitRecorded
	}
	t.deliveryEnd = 0
	switch result {
	case core.OrderAccepted:
		t.accepted = true
		return SubmitAccepted
	case core.OrderRejected:
		rejected := t.intent
		rejected.State = IntentRejected
		r.write(ctx, t, rejected, EventOrderRejected)
		return SubmitRejected
	}
	r.record(EventOrderStale, t, "")
	t.reload = true
	r.leases.Drop(t.lease.Shard, t.lease.Fence)
	return SubmitRefused
}

// send sends the order directly if the target checks fences or there is no PeerOrderer,
// and otherwise through another instance. The other instance may deliver a forwarded
// order later even if it didn't answer.
func (r *Reconciler) send(ctx context.Context, t *targetLock) core.OrderResult {
	if t.target.ChecksFence || r.opts.PeerOrderer == nil {
		return r.opts.Orderer.Order(ctx, t.target.Address, t.intent.Order)
	}
	before := t.forwarded
	t.forwarded = true
	result := r.opts.PeerOrderer.Order(ctx, t.target.Address, t.intent.Order)
	if result != core.OrderUnknown {
		t.forwarded = before
	}
	return result
}

func (r *Reconciler) record(kind core.EventKind, t *targetLock, detail string) {
	r.opts.Recorder.Record(core.Event{
		Instance: r.opts.Self, Kind: kind, Target: t.target.ID,
		Detail: "fence " + strconv.FormatUint(uint64(t.intent.Fence), 10) +
			" sequence " + strconv.FormatUint(t.intent.Sequence, 10) + " role " + t.intent.Role.String() + " " + detail,
	})
}
