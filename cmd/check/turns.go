package check

import (
	"context"
	"fmt"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

const (
	// turn is the least time between the orders of two instances to one target.
	turn = 3 * time.Second
	// thaw is how long after a pause or a partition the orders of an instance don't count:
	// its connections deliver then what they held.
	thaw = 300 * time.Millisecond
)

// turnTiming returns the durations of leases and orders. With the turn or the wait for
// leases taken out, they are those of an instance without it.
func (w *world) turnTiming() authority.Timing {
	timing := authority.HolderGapTiming(turn)
	if w.mutation.noTurn {
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

// arrive checks an order against the last one that reached the target.
func (e *engine) arrive(from *instance, order core.Order) {
	w := e.w
	now := arrival{w.now, from.id, order.Fence}
	last := e.last
	if stopped := max(from.wokeAt, from.cutUntil, from.muteUntil); stopped > 0 && w.now-stopped < thaw {
		return
	}
	e.last = now
	if last.holder == "" || last.holder == from.id && last.fence <= order.Fence {
		return
	}
	switch {
	case order.Fence < last.fence:
		w.violate(fmt.Sprintf("target %s: order of %s with fence %d after %d of %s", e.ID, from.id, order.Fence, last.fence, last.holder))
	case order.Fence == last.fence:
		w.violate(fmt.Sprintf("target %s: orders of %s and %s with fence %d", e.ID, last.holder, from.id, order.Fence))
	case w.now-last.at < turn:
		w.violate(fmt.Sprintf("target %s: orders of %s and %s %v apart", e.ID, last.holder, from.id, w.now-last.at))
	}
}

// turnView sends an instance's orders to targets that check no fences and count the orders
// that they have accepted. As the adapter of the platform does, it reads the count first
// and sends the order on the condition that there was no other since.
type turnView struct{ i *instance }

var _ core.Orderer = turnView{}

// Order sends one order. The deadline of ctx is the socket's write deadline.
func (v turnView) Order(ctx context.Context, _ string, order core.Order) core.OrderResult {
	w := v.i.w
	e := w.engine(order.Target)
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.violate("order sent without a write deadline")
		return core.OrderUnknown
	}
	count, starts, known := uint64(0), 0, false
	w.exchange(v.i.targetFate(20*time.Millisecond, 500*time.Millisecond), func() {
		count, starts, known = e.accepted, e.starts, !e.report.Changing
	}, func() { known = false })
	if !known {
		return core.OrderUnknown
	}
	v.i.strike(&v.i.pauseBeforeWrite, "PauseBeforeWrite")
	if v.i.clock.Now() >= limit && !w.mutation.noWriteDeadline {
		w.activity["WriteDeadlineHit"]++
		return core.OrderUnknown
	}
	isPaused := v.i.strike(&v.i.pauseInWrite, "PauseInWrite")
	result := core.OrderUnknown
	f := v.i.targetFate(20*time.Millisecond, time.Second)
	isLate := e.lateOrders > 0 && !f.lost
	if isLate {
		e.lateOrders--
		f.replyLost = true
		w.faults["OrderLate"]++
	}
	w.exchange(f, func() {
		// A target that has restarted during the pause counts anew and may reach the same
		// count: a remaining risk that docs/AUTHORITY.md names.
		e.excused[order] = isPaused && e.starts != starts
		e.arrive(v.i, order)
		if isLate {
			start := e.starts
			w.after(w.between(time.Second, 12*time.Second), func() {
				if e.starts == start { // a crash loses the orders that wait
					e.count(order, count)
				}
			})
			return
		}
		result = e.count(order, count)
	}, func() { result = core.OrderUnknown })
	return result
}

// count carries out an order if the target has accepted as many as its sender saw.
func (e *engine) count(order core.Order, seen uint64) core.OrderResult {
	if !e.w.mutation.noOrderCount && (e.report.Changing || e.accepted != seen) {
		return core.OrderUnknown
	}
	e.accepted++
	return e.order(order)
}
