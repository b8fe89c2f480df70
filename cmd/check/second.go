package check

import (
	"context"
	"time"

	"gorseline/core"
)

// secondView sends an instance's orders through another one.
type secondView struct{ i *instance }

var _ core.Orderer = secondView{}

// Order passes the order to another live instance, whose own pauses and partitions then
// count. The caller waits for the time that its context allows.
func (v secondView) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	w, t := v.i.w, v.i.w.current
	w.sleep(w.between(0, 2*time.Millisecond))
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.violate("order forwarded without a deadline")
		return core.OrderUnknown
	}
	rest := limit.Sub(v.i.clock.Now())
	if rest <= 0 {
		return core.OrderUnknown
	}
	result, ended := core.OrderUnknown, false
	wake := func(r core.OrderResult) {
		if !ended {
			result, ended = r, true
			t.step()
		}
	}
	// Some requests travel for longer than the caller waits.
	travel := w.between(time.Millisecond, 20*time.Millisecond)
	if w.chance(0.1) {
		travel = w.between(time.Second, 6*time.Second)
		w.faults["LateForward"]++
	}
	other := w.liveInstance(v.i)
	w.after(travel, func() {
		if !other.alive {
			return
		}
		w.spawn(other, func() {
			r := other.forwarder.Order(context.Background(), address, order)
			w.activity["OrderForwarded"]++
			w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { wake(r) })
		})
	})
	w.after(rest, func() { wake(core.OrderUnknown) })
	t.park()
	return result
}
