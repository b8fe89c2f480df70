package check

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

// engine is a simulated target. A change that an order asks for takes time, and the engine
// may crash meanwhile.
type engine struct {
	w *world
	core.Target
	report core.LoadReport
	// changeSerial numbers the changes, so that a crash cancels the change in progress.
	changeSerial int
	// inFlight holds the orders that were sent and have neither arrived nor been lost.
	inFlight []core.Order
	// exempt holds the orders whose sender was paused inside the socket write. They may
	// take effect late on a target that doesn't check fences, which is a documented
	// remaining risk.
	exempt  map[core.Order]bool
	history []*orderStep
	// starts counts the restarts, and accepted the orders accepted since the last restart.
	starts   int
	accepted uint64
	// delayOrders is how many of the next orders are applied late.
	delayOrders int
	// lastArrival is the last order that reached the target. It is set only with
	// Options.UnfencedTargets.
	lastArrival arrival
}

// apply applies an order that has arrived.
func (e *engine) apply(order core.Order) core.OrderResult {
	newer := order.Fence > e.report.AppliedFence ||
		order.Fence == e.report.AppliedFence && order.Sequence >= e.report.AppliedSequence
	if e.ChecksFence && !e.w.mutation.noFenceCheck && !newer {
		return core.OrderStale
	}
	if !newer {
		e.w.reportStaleOrder(e, order)
	}
	if order.Fence == e.report.AppliedFence && order.Sequence == e.report.AppliedSequence {
		return core.OrderAccepted // a repeat of the last applied order
	}
	e.report.AppliedFence, e.report.AppliedSequence = order.Fence, order.Sequence
	e.report.Changing = true
	e.changeSerial++
	change := e.changeSerial
	e.w.after(e.w.between(500*time.Millisecond, 4*time.Second), func() {
		if e.changeSerial == change {
			e.report.Role, e.report.Model, e.report.WeightsVersion = order.Role, order.Model, order.WeightsVersion
			e.report.Changing = false
		}
	})
	return core.OrderAccepted
}

// crash restarts the engine in its initial state. It keeps the applied fence, as engines
// that check fences must.
func (e *engine) crash() {
	if e.report.Changing {
		e.w.faults["EngineCrashInChange"]++
	} else {
		e.w.faults["EngineCrash"]++
	}
	e.changeSerial++
	e.starts++
	e.accepted, e.lastArrival = 0, arrival{}
	e.report.Role, e.report.Model, e.report.WeightsVersion = core.RoleMixed, "", ""
	e.report.Changing = false
}

// directOrderer sends an instance's orders straight to the targets.
type directOrderer struct{ i *instance }

var _ core.Orderer = directOrderer{}

// Order sends one order. The deadline of ctx is the socket's write deadline.
func (o directOrderer) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	w := o.i.w
	e := w.engine(order.Target)
	if address != e.Address {
		w.reportViolation("order sent to the wrong address " + address)
	}
	called := w.tick()
	w.sleep(w.between(0, 2*time.Millisecond))
	o.i.pauseIfPending(&o.i.pauseBeforeWrite, "PauseBeforeWrite")
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.reportViolation("order sent without a write deadline")
		return core.OrderUnknown
	}
	if o.i.clock.Now() >= limit {
		w.activity["WriteDeadlineHit"]++
		return core.OrderUnknown
	}
	if o.i.pauseIfPending(&o.i.pauseInWrite, "PauseInWrite") {
		e.exempt[order] = true
	}
	w.checkInFlight(e, order)
	e.inFlight = append(e.inFlight, order)
	result := core.OrderUnknown
	d := o.i.targetDelivery(20*time.Millisecond, time.Second)
	if remaining := limit.Sub(o.i.clock.Now()); remaining < d.timeout && remaining > 0 {
		d.timeout = remaining
	}
	step := &orderStep{called: called, order: order}
	e.history = append(e.history, step)
	if d.requestLost {
		w.after(d.latency, func() { e.recordArrival(step) })
	}
	w.roundTrip(d, func() {
		e.recordArrival(step)
		result = e.apply(order)
	}, func() { result = core.OrderUnknown })
	step.result, step.returned = result, w.tick()
	return result
}

// recordArrival removes an order from those in flight and records its arrival as the return
// time. A sender that is still alive replaces that time when its call returns.
func (e *engine) recordArrival(step *orderStep) {
	step.returned = e.w.tick()
	if at := slices.Index(e.inFlight, step.order); at >= 0 {
		e.inFlight = slices.Delete(e.inFlight, at, at+1)
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

// checkInFlight reports an order that is sent while another one is in flight, or without a
// recorded intent. Targets that check fences arbitrate between orders of two lease holders
// themselves.
func (w *world) checkInFlight(e *engine, order core.Order) {
	for _, o := range e.inFlight {
		// A forwarding peer that is paused inside its write may still have an order in
		// flight when the lease holder, whose wait has timed out, sends the next one.
		exempt := e.exempt[o] || e.exempt[order]
		if o.Fence == order.Fence {
			exempt = exempt && w.peerForwarding && !e.ChecksFence
		} else {
			exempt = exempt || e.ChecksFence
		}
		if o != order && !exempt {
			w.reportViolation(fmt.Sprintf("target %s: orders %d/%d and %d/%d in flight together",
				e.ID, o.Fence, o.Sequence, order.Fence, order.Sequence))
		}
	}
	if intent, found := w.intents[intentKey(order)]; !found || intent.Desired() != desiredState(order) {
		w.reportViolation(fmt.Sprintf("target %s: order %d/%d sent without a recorded intent", e.ID, order.Fence, order.Sequence))
	}
}

// reportStaleOrder reports an order of an earlier lease holder that takes effect, unless it
// is exempt.
func (w *world) reportStaleOrder(e *engine, order core.Order) {
	if !e.ChecksFence && e.exempt[order] {
		w.activity["StaleOrderOnIgnoringTarget"]++
		return
	}
	w.reportViolation(fmt.Sprintf("target %s: stale order %d/%d applied after %d/%d",
		e.ID, order.Fence, order.Sequence, e.report.AppliedFence, e.report.AppliedSequence))
}

func desiredState(order core.Order) authority.Desired {
	return authority.Intent{Order: order}.Desired()
}

func intentKey(order core.Order) string {
	return fmt.Sprintf("%s %d %d", order.Target, order.Fence, order.Sequence)
}
