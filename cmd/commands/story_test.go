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

// orderFunc is an Orderer.
type orderFunc func(context.Context, core.Order) core.OrderResult

func (f orderFunc) Order(ctx context.Context, _ string, order core.Order) core.OrderResult {
	return f(ctx, order)
}

// holder is an instance that holds leases and gives orders.
type holder struct {
	events    *timeline.Timeline
	commander *authority.Reconciler
}

func newHolder(ctx context.Context, id core.InstanceID, shared *table.Table, members *atomic.Pointer[[]core.InstanceID], orders core.Orderer) holder {
	wall := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	h := holder{events: timeline.New(id, timeline.NewClock(wall), 64)}
	attempts := 0
	options := authority.Options{
		Self: id, Shards: 1, Table: shared, Clock: core.NewDeadlineClock(), Recorder: h.events,
		NewAttemptID: func() core.AttemptID { attempts++; return core.AttemptID(string(id) + strconv.Itoa(attempts)) },
		Members:      func() []core.InstanceID { return *members.Load() },
		Orderer:      orders, Timing: authority.DefaultTiming(),
	}
	keeper := authority.NewLeaseManager(options)
	h.commander = authority.NewReconciler(options, keeper)
	go func() { // a killed holder releases nothing, unlike one whose Run ends
		for ctx.Err() == nil {
			keeper.Step(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	return h
}

// leaseStory plays a lease holder that is killed between the intent of a role change
// and its delivery, and its successor, in virtual time. It returns the merged events.
func leaseStory(t *testing.T) []core.Event {
	t.Helper()
	var merged []core.Event
	synctest.Test(t, func(t *testing.T) {
		shared := table.New()
		var members atomic.Pointer[[]core.InstanceID]
		members.Store(&[]core.InstanceID{"entry-1"})
		alive, kill := context.WithCancel(t.Context())
		a := newHolder(alive, "entry-1", shared, &members, orderFunc(func(context.Context, core.Order) core.OrderResult {
			kill()
			return core.OrderUnknown
		}))
		time.Sleep(5500 * time.Millisecond) // between two steps of the lease manager
		target := core.Target{ID: "ledger-llm-3", Service: "ledger-llm", Models: []core.Model{"ledger-note-v3"}}
		a.commander.Submit(alive, target, authority.Desired{Role: core.RoleDecode, Model: "ledger-note-v3"})
		members.Store(&[]core.InstanceID{"entry-2"})
		var order core.Order
		b := newHolder(t.Context(), "entry-2", shared, &members, orderFunc(func(_ context.Context, o core.Order) core.OrderResult {
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
			b.commander.Observe(t.Context(), target, report, clock.Now())
		}
		merged = timeline.Merge(a.events.Events(timeline.Filter{}), b.events.Events(timeline.Filter{}))
	})
	return merged
}

// Guards against a time line in which a person can't read what became of an order whose
// giver was killed: who held the lease, what was intended, who took over, and that the
// order was carried out once, under the successor's fence.
func TestKilledLeaseHolderReadsAsAStory(t *testing.T) {
	s := newSite(t)
	s.events = leaseStory(t)
	checkGolden(t, "timeline-killed-lease-holder", s.run("timeline", "--fleet"))
}
