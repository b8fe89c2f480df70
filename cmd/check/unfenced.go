package check

import (
	"context"
	"fmt"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

const (
	// holderGap is the minimum time between orders of two lease holders to one target.
	holderGap = 3 * time.Second
	// resumeGrace is how long after a pause or a partition of an instance its orders are not
	// checked, because its connections then deliver buffered data.
	resumeGrace = 300 * time.Millisecond
)

// unfencedTiming returns the durations of leases and orders. Mutations remove the gap, or
// shorten the leases of every other process, which then waits too briefly for the leases of
// the others to expire.
func (w *world) unfencedTiming() authority.Timing {
	timing := authority.HolderGapTiming(holderGap)
	if w.mutation.noHolderGap {
		timing.HolderGap = 0
	}
	if w.mutation.noLeaseWait && len(w.instances)%2 == 1 {
		timing.LeaseDuration, timing.RenewInterval = timing.OrderLifetime+2*timing.ClockMargin, 300*time.Millisecond
	}
	return timing
}

// arrival is an order that reached a target.
type arrival struct {
	at     time.Duration
	holder core.InstanceID
	fence  core.Fence
}

// isExcused reports whether what arrives now from an instance isn't checked, because its pause or
// partition has just ended.
func (i *instance) isExcused() bool {
	stopped := max(i.resumedAt, i.partitionedUntil, i.targetsUnreachableUntil)
	return stopped > 0 && i.w.now-stopped < resumeGrace
}

// checkArrival compares an order with the last one that reached the target; see checkTurn.
func (e *engine) checkArrival(from *instance, order core.Order) {
	e.w.checkTurn("target "+string(e.ID), &e.lastArrival, from, order.Fence)
}

// checkTurn compares a call with the last one that reached the same subject. It reports fences that
// decrease, a fence with two holders, and calls of two holders within the gap.
func (w *world) checkTurn(subject string, latest *arrival, from *instance, fence core.Fence) {
	if from.isExcused() {
		return
	}
	last := *latest
	*latest = arrival{w.now, from.id, fence}
	if last.holder == "" || last.holder == from.id && last.fence <= fence {
		return
	}
	switch {
	case fence < last.fence:
		w.reportViolation(fmt.Sprintf("%s: order of %s with fence %d after %d of %s", subject, from.id, fence, last.fence, last.holder))
	case fence == last.fence:
		w.reportViolation(fmt.Sprintf("%s: orders of %s and %s with fence %d", subject, last.holder, from.id, fence))
	case w.now-last.at < holderGap:
		w.reportViolation(fmt.Sprintf("%s: orders of %s and %s %v apart", subject, last.holder, from.id, w.now-last.at))
	}
}

// unfencedOrderer sends an instance's orders to targets that don't check fences but count
// the orders that they have accepted. Like the adapter of the platform, it reads the count
// first and sends the order on the condition that the count is unchanged.
type unfencedOrderer struct{ i *instance }

var _ core.Orderer = unfencedOrderer{}

// Order sends one order. The deadline of ctx is the socket's write deadline.
func (o unfencedOrderer) Order(ctx context.Context, _ string, order core.Order) core.OrderResult {
	w := o.i.w
	e := w.engine(order.Target)
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.reportViolation("order sent without a write deadline")
		return core.OrderUnknown
	}
	count, starts, known := uint64(0), 0, false
	w.roundTrip(o.i.targetDelivery(20*time.Millisecond, 500*time.Millisecond), func() {
		count, starts, known = e.accepted, e.starts, !e.report.Changing
	}, func() { known = false })
	if !known {
		return core.OrderUnknown
	}
	o.i.pauseIfPending(&o.i.pauseBeforeWrite, "PauseBeforeWrite")
	if o.i.clock.Now() >= limit && !w.mutation.noWriteDeadline {
		w.activity["WriteDeadlineHit"]++
		return core.OrderUnknown
	}
	isPaused := o.i.pauseIfPending(&o.i.pauseInWrite, "PauseInWrite")
	result := core.OrderUnknown
	d := o.i.targetDelivery(20*time.Millisecond, time.Second)
	isLate := e.delayOrders > 0 && !d.requestLost
	if isLate {
		e.delayOrders--
		d.replyLost = true
		w.faults["OrderLate"]++
	}
	w.roundTrip(d, func() {
		// A target that restarted during the pause counts from 0 and may reach the same
		// count: a remaining risk that docs/AUTHORITY.md describes.
		e.exempt[order] = isPaused && e.starts != starts
		e.checkArrival(o.i, order)
		if isLate {
			start := e.starts
			w.after(w.between(time.Second, 12*time.Second), func() {
				if e.starts == start { // a crash discards pending orders
					e.applyIfCount(order, count)
				}
			})
			return
		}
		result = e.applyIfCount(order, count)
	}, func() { result = core.OrderUnknown })
	return result
}

// applyIfCount applies an order if no change is in progress and the target has accepted the
// expected number of orders.
func (e *engine) applyIfCount(order core.Order, expected uint64) core.OrderResult {
	if !e.w.mutation.noOrderCount && (e.report.Changing || e.accepted != expected) {
		return core.OrderUnknown
	}
	e.accepted++
	return e.apply(order)
}
