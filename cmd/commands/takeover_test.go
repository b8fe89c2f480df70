package commands

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/timeline"
	"gorseline/standin/table"
)

// orderFunc is a function that implements core.Orderer.
type orderFunc func(context.Context, core.Order) core.OrderResult

func (f orderFunc) Order(ctx context.Context, _ string, order core.Order) core.OrderResult {
	return f(ctx, order)
}

// leaseHolder is an instance that holds leases and sends orders.
type leaseHolder struct {
	events     *timeline.Timeline
	reconciler *authority.Reconciler
}

// newLeaseHolder returns an instance that renews its leases until ctx is done.
func newLeaseHolder(ctx context.Context, id core.InstanceID, shared *table.Table, members *atomic.Pointer[[]core.InstanceID], orders core.Orderer) leaseHolder {
	wall := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	h := leaseHolder{events: timeline.New(id, timeline.NewClock(wall), 64)}
	attempts := 0
	options := authority.Options{
		Self: id, Shards: 1, Table: shared, Clock: core.NewDeadlineClock(), Recorder: h.events,
		NewAttemptID: func() core.AttemptID { attempts++; return core.AttemptID(string(id) + strconv.Itoa(attempts)) },
		Members:      func() []core.InstanceID { return *members.Load() },
		Orderer:      orders, Timing: authority.DefaultTiming(),
	}
	manager := authority.NewLeaseManager(options)
	h.reconciler = authority.NewReconciler(options, manager)
	// LeaseManager.Run would release the leases at its end, which a killed process doesn't.
	go func() {
		for ctx.Err() == nil {
			manager.Step(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	return h
}

// leaseTakeoverEvents runs two instances in virtual time. The lease holder is killed after it has
// recorded the intent of a role change and before the order is delivered, and the other one takes
// the lease over. It returns the events of both.
func leaseTakeoverEvents(t *testing.T) []core.Event {
	t.Helper()
	var merged []core.Event
	synctest.Test(t, func(t *testing.T) {
		shared := table.New()
		var members atomic.Pointer[[]core.InstanceID]
		members.Store(&[]core.InstanceID{"entry-1"})
		holderCtx, kill := context.WithCancel(t.Context())
		a := newLeaseHolder(holderCtx, "entry-1", shared, &members, orderFunc(func(context.Context, core.Order) core.OrderResult {
			kill()
			return core.OrderUnknown
		}))
		time.Sleep(5500 * time.Millisecond) // between two steps of the lease manager
		target := core.Target{ID: "ledger-llm-3", Service: "ledger-llm", Models: []core.Model{"ledger-note-v3"}}
		a.reconciler.Submit(holderCtx, target, authority.Desired{Role: core.RoleDecode, Model: "ledger-note-v3"})
		members.Store(&[]core.InstanceID{"entry-2"})
		var order core.Order
		b := newLeaseHolder(t.Context(), "entry-2", shared, &members, orderFunc(func(_ context.Context, o core.Order) core.OrderResult {
			order = o
			return core.OrderAccepted
		}))
		report := core.LoadReport{Role: core.RolePrefill, Model: "ledger-note-v3"}
		clock := core.NewProcessClock()
		time.Sleep(250 * time.Millisecond)
		for range 30 {
			time.Sleep(2 * time.Second)
			if order.Sequence > 0 {
				report.Role, report.AppliedFence, report.AppliedSequence = order.Role, order.Fence, order.Sequence
			}
			b.reconciler.Observe(t.Context(), target, report, clock.Now())
		}
		merged = timeline.Merge(a.events.Events(timeline.Filter{}), b.events.Events(timeline.Filter{}))
	})
	return merged
}

// A lease holder is killed while it sends an order. Guards against a timeline that doesn't show
// who held the lease, what was intended, who took over, and that the order was applied once, with
// the successor's fence.
func TestTimelineOfKilledLeaseHolder(t *testing.T) {
	s := newTestInstance(t)
	s.events = leaseTakeoverEvents(t)
	checkGolden(t, "timeline-killed-lease-holder", s.run("timeline", "--fleet"))
}
