package check

import (
	"context"
	"time"

	"gorseline/core"
)

// peerOrderer sends an instance's orders through another instance.
type peerOrderer struct{ i *instance }

var _ core.Orderer = peerOrderer{}

// Order passes the order to a random live instance, whose pauses and partitions then apply.
// The caller waits until the deadline of its context.
func (o peerOrderer) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	w, t := o.i.w, o.i.w.current
	w.sleep(w.between(0, 2*time.Millisecond))
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.reportViolation("order forwarded without a deadline")
		return core.OrderUnknown
	}
	remaining := limit.Sub(o.i.clock.Now())
	if remaining <= 0 {
		return core.OrderUnknown
	}
	result, ended := core.OrderUnknown, false
	finish := func(r core.OrderResult) {
		if !ended {
			result, ended = r, true
			t.step()
		}
	}
	// Some requests arrive after the caller has given up.
	latency := w.between(time.Millisecond, 20*time.Millisecond)
	if w.chance(0.1) {
		latency = w.between(time.Second, 6*time.Second)
		w.faults["LateForward"]++
	}
	other := w.randomLiveOr(o.i)
	w.after(latency, func() {
		if !other.alive {
			return
		}
		w.spawn(other, func() {
			r := other.forwarder.Order(context.Background(), address, order)
			w.activity["OrderForwarded"]++
			w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { finish(r) })
		})
	})
	w.after(remaining, func() { finish(core.OrderUnknown) })
	t.park()
	return result
}
