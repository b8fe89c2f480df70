package authority_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

var (
	fenced   = core.Target{ID: "e", Address: "e", ChecksFence: true}
	unfenced = core.Target{ID: "e", Address: "e"}
	decode   = authority.Desired{Role: core.RoleDecode, Model: "m", WeightsVersion: "v7"}
	prefill  = authority.Desired{Role: core.RolePrefill, Model: "m", WeightsVersion: "v7"}
)

// recordingOrderer records orders and accepts them.
type recordingOrderer struct {
	mu     sync.Mutex
	orders []core.Order
}

func (r *recordingOrderer) Order(_ context.Context, _ string, order core.Order) core.OrderResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, order)
	return core.OrderAccepted
}

func (r *recordingOrderer) last() core.Order { return r.orders[len(r.orders)-1] }

// reportOf returns the load report of a target that has applied the order.
func reportOf(order core.Order) core.LoadReport {
	return core.LoadReport{
		Role: order.Role, Model: order.Model, WeightsVersion: order.WeightsVersion,
		AppliedFence: order.Fence, AppliedSequence: order.Sequence,
	}
}

// Guards against a stale order to a target that doesn't check fences: the holder is paused
// between its last check and the write, and its order arrives after the successor's. The
// pause occurs before or after the write deadline is set on the connection.
func TestPauseBetweenCheckAndWrite(t *testing.T) {
	for _, deadlineFirst := range []bool{false, true} {
		t.Run("deadline set first "+strconv.FormatBool(deadlineFirst), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				arrived := make(chan string, 4)
				go func() {
					buffer := make([]byte, 64)
					for {
						n, err := far.Read(buffer)
						if err != nil {
							close(arrived)
							return
						}
						arrived <- string(buffer[:n])
					}
				}()
				write := func(ctx context.Context, text string, pause time.Duration) core.OrderResult {
					limit, _ := ctx.Deadline()
					if deadlineFirst {
						near.SetWriteDeadline(limit)
					}
					time.Sleep(pause)
					near.SetWriteDeadline(limit)
					if _, err := near.Write([]byte(text)); err != nil {
						return core.OrderUnknown
					}
					return core.OrderAccepted
				}
				f := newFleet(1, "a")
				a := f.instance(t, "a", orderFunc(func(ctx context.Context, _ core.Order) core.OrderResult {
					return write(ctx, "old", time.Minute)
				}))
				b := f.instance(t, "b", orderFunc(func(ctx context.Context, _ core.Order) core.OrderResult {
					return write(ctx, "new", 0)
				}))
				time.Sleep(5 * time.Second)
				paused := make(chan core.OrderResult, 1)
				go func() {
					a.reconciler.Submit(t.Context(), unfenced, decode)
					paused <- core.OrderUnknown
				}()
				synctest.Wait()
				a.stop()
				f.members.Store(&[]core.InstanceID{"b"})
				time.Sleep(40 * time.Second)
				if got := b.reconciler.Submit(t.Context(), unfenced, prefill); got != authority.SubmitBusy {
					t.Errorf("successor's order before adoption: %v", got)
				}
				if got := <-arrived; got != "new" {
					t.Errorf("first order that arrived: %q", got)
				}
				<-paused
				near.Close()
				if late, open := <-arrived; open {
					t.Errorf("order %q arrived after the pause", late)
				}
				if intent := f.table.intent(t, "e"); intent.Desired() != decode || intent.Sequence != 2 {
					t.Errorf("adopted intent: %+v", intent)
				}
				b.stop()
			})
		})
	}
}

// Guards against a new holder that gives its first order to a target that doesn't check
// fences while orders of an earlier holder may still arrive.
func TestUnfencedTargetWaitsForOrderLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, target := newFleet(1, "a"), &recordingOrderer{}
		a := f.instance(t, "a", target)
		time.Sleep(time.Second)
		if got := a.reconciler.Submit(t.Context(), unfenced, decode); got != authority.SubmitRefused {
			t.Errorf("1 s after acquisition: %v", got)
		}
		other := core.Target{ID: "f", Address: "f", ChecksFence: true}
		if got := a.reconciler.Submit(t.Context(), other, decode); got != authority.SubmitAccepted {
			t.Errorf("target that checks fences: %v", got)
		}
		time.Sleep(2 * time.Second)
		if got := a.reconciler.Submit(t.Context(), unfenced, decode); got != authority.SubmitAccepted {
			t.Errorf("3 s after acquisition: %v", got)
		}
		a.stop()
	})
}

// Guards against an engine that stays in the wrong state after a crash during a role
// change, and against an order that is repeated forever.
func TestRepairOfObservedState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, target := newFleet(1, "a"), &recordingOrderer{}
		a := f.instance(t, "a", target)
		time.Sleep(4 * time.Second)
		observe := func(report core.LoadReport) {
			time.Sleep(3 * time.Second)
			a.reconciler.Observe(t.Context(), fenced, report, a.Clock.Now())
		}
		a.reconciler.Submit(t.Context(), fenced, decode)
		changing := reportOf(target.last())
		changing.Changing = true
		observe(changing)
		if len(target.orders) != 1 {
			t.Fatal("an order was repeated during the change")
		}
		crashed := reportOf(target.last())
		crashed.Role, crashed.Model = core.RoleMixed, ""
		observe(crashed)
		if order := target.last(); order.Sequence != 2 || order.Role != core.RoleDecode {
			t.Fatalf("repair after a crash: %+v", order)
		}
		observe(reportOf(target.last()))
		if intent := f.table.intent(t, "e"); intent.State != authority.IntentApplied || intent.Repeats != 0 {
			t.Errorf("intent after the change: %+v", intent)
		}
		for range 10 {
			observe(crashed)
		}
		if intent := f.table.intent(t, "e"); intent.State != authority.IntentAbandoned {
			t.Errorf("intent of an engine that never changes: %+v", intent)
		}
		if got := a.reconciler.Submit(t.Context(), fenced, prefill); got != authority.SubmitAccepted {
			t.Errorf("order after an abandoned one: %v", got)
		}
		for kind, want := range map[core.EventKind]int{
			authority.EventOrderRepaired: 6, authority.EventOrderAbandoned: 1, authority.EventOrderApplied: 1,
		} {
			if got := f.journal.count(kind); got != want {
				t.Errorf("%d events %s were recorded, want %d", got, kind, want)
			}
		}
		a.stop()
	})
}

// Guards against an intent that is never delivered because its write commits late, after
// the writer has read the row again.
func TestLateIntentIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, target := newFleet(1, "a"), &recordingOrderer{}
		a := f.instance(t, "a", target)
		time.Sleep(4 * time.Second)
		f.table.withholdNext.Store(true)
		if got := a.reconciler.Submit(t.Context(), fenced, decode); got != authority.SubmitUnknown {
			t.Fatalf("lost reply: %v", got)
		}
		observe := func() { a.reconciler.Observe(t.Context(), fenced, core.LoadReport{}, a.Clock.Now()) }
		observe()
		f.table.runWithheld()
		observe()
		if len(target.orders) != 1 {
			t.Fatalf("%d orders after the intent was recorded", len(target.orders))
		}
		f.table.withholdNext.Store(true)
		time.Sleep(3 * time.Second)
		a.reconciler.Observe(t.Context(), fenced, reportOf(target.last()), a.Clock.Now())
		time.Sleep(6 * time.Second) // a renewal changes the shard's version
		reads := f.table.reads()
		observe()
		f.table.runWithheld()
		for range 5 {
			observe()
		}
		if got := f.table.reads() - reads; got != 1 {
			t.Errorf("%d reads after the late write could no longer commit", got)
		}
		a.stop()
	})
}

// Guards against a second order while the first one is in flight: it is neither answered
// nor past its lifetime.
func TestOneOrderInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int32
		f := newFleet(1, "a")
		a := f.instance(t, "a", orderFunc(func(context.Context, core.Order) core.OrderResult {
			sent.Add(1)
			time.Sleep(time.Second)
			return core.OrderUnknown
		}))
		time.Sleep(4 * time.Second)
		go a.reconciler.Submit(t.Context(), fenced, decode)
		synctest.Wait()
		if got := a.reconciler.Submit(t.Context(), fenced, prefill); got != authority.SubmitBusy {
			t.Errorf("while the first order is in flight: %v", got)
		}
		time.Sleep(1500 * time.Millisecond)
		if got := a.reconciler.Submit(t.Context(), fenced, decode); got != authority.SubmitRecorded || sent.Load() != 1 {
			t.Errorf("before the lifetime of the first order has ended: %v, %d sent", got, sent.Load())
		}
		time.Sleep(time.Second)
		if a.reconciler.Submit(t.Context(), fenced, decode); sent.Load() != 2 {
			t.Errorf("after the lifetime: %d sent", sent.Load())
		}
		a.stop()
	})
}

// Guards against a forwarder that delivers an order whose fence or intent is outdated. Also
// guards against an order that is sent directly although there is a PeerOrderer, and
// against one that is sent while an unanswered forwarded order may still arrive.
func TestForwarderComparesFenceAndIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, target, direct := newFleet(1, "a"), &recordingOrderer{}, &recordingOrderer{}
		a := f.instance(t, "a", target)
		time.Sleep(4 * time.Second)
		forwarder := authority.NewForwarder(a.Options)
		answered := true
		opts := a.Options
		opts.Orderer, opts.PeerOrderer = direct, orderFunc(func(ctx context.Context, order core.Order) core.OrderResult {
			if !answered {
				return core.OrderUnknown
			}
			return forwarder.Order(ctx, "e", order)
		})
		reconciler := authority.NewReconciler(opts, a.leases)
		if got := reconciler.Submit(t.Context(), unfenced, decode); got != authority.SubmitAccepted || len(direct.orders) != 0 {
			t.Fatalf("through the other instance: %v, %d direct", got, len(direct.orders))
		}
		first := target.last()
		stale := first
		stale.Fence--
		if got := forwarder.Order(t.Context(), "e", stale); got != core.OrderStale {
			t.Errorf("earlier fence: %v", got)
		}
		answered = false
		time.Sleep(3 * time.Second)
		reconciler.Observe(t.Context(), unfenced, core.LoadReport{}, a.Clock.Now()) // repeats the order
		if got := forwarder.Order(t.Context(), "e", first); got != core.OrderStale {
			t.Errorf("earlier intent: %v", got)
		}
		time.Sleep(3 * time.Second)
		reconciler.Observe(t.Context(), unfenced, reportOf(first), a.Clock.Now()) // applied, though unanswered
		answered = true
		if got := reconciler.Submit(t.Context(), unfenced, prefill); got != authority.SubmitRecorded || len(target.orders) != 1 {
			t.Errorf("right after an unanswered order: %v, %d orders", got, len(target.orders))
		}
		time.Sleep(3 * time.Second)
		if got := reconciler.Submit(t.Context(), unfenced, prefill); got != authority.SubmitAccepted || len(target.orders) != 2 {
			t.Errorf("3 s later: %v, %d orders", got, len(target.orders))
		}
		if !a.leases.Holds(core.Target{ID: "e"}) {
			t.Error("Holds is false for a target whose shard the instance holds")
		}
		a.stop()
	})
}

// Guards against a holder that keeps its lease after a target has reported a newer fence.
func TestStaleAnswerDropsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, "a")
		a := f.instance(t, "a", orderFunc(func(context.Context, core.Order) core.OrderResult { return core.OrderStale }))
		time.Sleep(4 * time.Second)
		if got := a.reconciler.Submit(t.Context(), fenced, decode); got != authority.SubmitRefused || a.holds() != 0 {
			t.Errorf("%v, holds %d", got, a.holds())
		}
		a.stop()
	})
}
