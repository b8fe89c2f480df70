package check

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

// engine is a target: it carries out orders after a while, and may crash meanwhile.
type engine struct {
	w *world
	core.Target
	report core.LoadReport
	// changes numbers the changes, so that a crash cancels the change under way.
	changes int
	// flying are the orders sent and neither arrived nor lost.
	flying []core.Order
	// excused holds the orders whose sender was paused inside the socket write. They may
	// take effect late on a target that ignores fences: the documented remaining risk.
	excused map[core.Order]bool
	history []*step
	// starts counts the starts, accepted the orders since the last one, lateOrders is how many of the next orders
	// are carried out late, and last is the last that reached the target (Options.UnfencedTargets).
	accepted   uint64
	starts     int
	lateOrders int
	last       arrival
}

// order applies an order that has arrived.
func (e *engine) order(order core.Order) core.OrderResult {
	newer := order.Fence > e.report.AppliedFence ||
		order.Fence == e.report.AppliedFence && order.Sequence >= e.report.AppliedSequence
	if e.ChecksFence && !e.w.mutation.noFence && !newer {
		return core.OrderStale
	}
	if !newer {
		e.w.staleApplied(e, order)
	}
	if order.Fence == e.report.AppliedFence && order.Sequence == e.report.AppliedSequence {
		return core.OrderAccepted // a repeat of the order that is in force
	}
	e.report.AppliedFence, e.report.AppliedSequence = order.Fence, order.Sequence
	e.report.Changing = true
	e.changes++
	change := e.changes
	e.w.after(e.w.between(500*time.Millisecond, 4*time.Second), func() {
		if e.changes == change {
			e.report.Role, e.report.Model, e.report.WeightsVersion = order.Role, order.Model, order.WeightsVersion
			e.report.Changing = false
		}
	})
	return core.OrderAccepted
}

// crash restarts the engine with its first state. It keeps the fence, as engines that
// check fences must.
func (e *engine) crash() {
	if e.report.Changing {
		e.w.faults["EngineCrashInChange"]++
	} else {
		e.w.faults["EngineCrash"]++
	}
	e.changes++
	e.starts++
	e.accepted, e.last = 0, arrival{}
	e.report.Role, e.report.Model, e.report.WeightsVersion = core.RoleMixed, "", ""
	e.report.Changing = false
}

// orderView sends an instance's orders.
type orderView struct{ i *instance }

var _ core.Orderer = orderView{}

// Order sends one order. The deadline of ctx is the socket's write deadline.
func (v orderView) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	w := v.i.w
	e := w.engine(order.Target)
	if address != e.Address {
		w.violate("order sent to the wrong address " + address)
	}
	called := w.tick()
	w.sleep(w.between(0, 2*time.Millisecond))
	v.i.strike(&v.i.pauseBeforeWrite, "PauseBeforeWrite")
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.violate("order sent without a write deadline")
		return core.OrderUnknown
	}
	if v.i.clock.Now() >= limit {
		w.activity["WriteDeadlineHit"]++
		return core.OrderUnknown
	}
	if v.i.strike(&v.i.pauseInWrite, "PauseInWrite") {
		e.excused[order] = true
	}
	w.checkFlying(e, order)
	e.flying = append(e.flying, order)
	result := core.OrderUnknown
	f := v.i.targetFate(20*time.Millisecond, time.Second)
	if rest := limit.Sub(v.i.clock.Now()); rest < f.timeout && rest > 0 {
		f.timeout = rest
	}
	seen := &step{called: called, order: order}
	e.history = append(e.history, seen)
	if f.lost {
		w.after(f.travel, func() { e.landed(seen) })
	}
	w.exchange(f, func() {
		e.landed(seen)
		result = e.order(order)
	}, func() { result = core.OrderUnknown })
	seen.result, seen.returned = result, w.tick()
	return result
}

// landed removes an order from those on the way. An order whose sender was killed ends
// here for the history.
func (e *engine) landed(seen *step) {
	seen.returned = e.w.tick()
	if at := slices.Index(e.flying, seen.order); at >= 0 {
		e.flying = slices.Delete(e.flying, at, at+1)
	}
}

func (w *world) engine(id core.TargetID) *engine {
	for _, e := range w.targets {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// checkFlying reports an order that is sent while another is on its way. Targets that
// check fences choose between orders of two holders themselves.
func (w *world) checkFlying(e *engine, order core.Order) {
	for _, o := range e.flying {
		// A second instance that is paused inside its write may hold an order while its
		// holder, which waited for it, sends the next.
		excused := e.excused[o] || e.excused[order]
		if o.Fence == order.Fence {
			excused = excused && w.second && !e.ChecksFence
		} else {
			excused = excused || e.ChecksFence
		}
		if o != order && !excused {
			w.violate(fmt.Sprintf("target %s: orders %d/%d and %d/%d in flight together",
				e.ID, o.Fence, o.Sequence, order.Fence, order.Sequence))
		}
	}
	if intent, found := w.intents[intentName(order)]; !found || intent.Desired() != desiredOf(order) {
		w.violate(fmt.Sprintf("target %s: order %d/%d sent without a recorded intent", e.ID, order.Fence, order.Sequence))
	}
}

// staleApplied reports an order of an earlier holder that takes effect.
func (w *world) staleApplied(e *engine, order core.Order) {
	if !e.ChecksFence && e.excused[order] {
		w.activity["StaleOrderOnIgnoringTarget"]++
		return
	}
	w.violate(fmt.Sprintf("target %s: stale order %d/%d applied after %d/%d",
		e.ID, order.Fence, order.Sequence, e.report.AppliedFence, e.report.AppliedSequence))
}

func desiredOf(order core.Order) authority.Desired { return authority.Intent{Order: order}.Desired() }

func intentName(order core.Order) string {
	return fmt.Sprintf("%s %d %d", order.Target, order.Fence, order.Sequence)
}
