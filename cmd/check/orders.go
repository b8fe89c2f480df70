package check

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"gorseline/core"
	"gorseline/core/authority"
)

// Size of the simulated fleet.
const (
	shardCount       = 2
	initialInstances = 3
	engineCount      = 3
)

// orderWorkload acquires leases, sends orders to the engines and checks both.
type orderWorkload struct{ w *world }

// orderStep is one order to an engine with its result, or one load report of an engine.
type orderStep struct {
	// called and returned are logical times.
	called, returned uint64
	order            core.Order // of a report: the last applied order
	result           core.OrderResult
	isReport         bool
}

func newOrderWorkload(w *world) *orderWorkload {
	for n := range engineCount {
		id := core.TargetID("e" + strconv.Itoa(n))
		w.targets = append(w.targets, &engine{
			w: w, Target: core.Target{ID: id, Address: "at-" + string(id), ChecksFence: n != 0 && !w.unfencedTargets},
			report: core.LoadReport{Role: core.RoleMixed}, exempt: map[core.Order]bool{},
		})
	}
	return &orderWorkload{w}
}

func (wl *orderWorkload) start(i *instance) {
	w, ctx := wl.w, context.Background()
	w.spawn(i, func() {
		for {
			i.leaseManager.Step(ctx)
			w.sleep(w.between(800*time.Millisecond, 1200*time.Millisecond))
		}
	})
	w.spawn(i, func() {
		for {
			w.sleep(w.between(time.Second, 6*time.Second))
			if e := w.targets[w.random.IntN(engineCount)]; !w.recovering {
				i.reconciler.Submit(ctx, e.Target, authority.Desired{
					Role:           core.Role(1 + w.random.IntN(3)),
					Model:          "m",
					WeightsVersion: "v" + strconv.Itoa(w.random.IntN(4)),
				})
			}
		}
	})
	for _, e := range w.targets {
		w.spawn(i, func() {
			for {
				w.sleep(w.between(1500*time.Millisecond, 2500*time.Millisecond))
				wl.observe(ctx, i, e)
			}
		})
	}
}

// observe fetches a load report of an engine and passes it to the reconciler of an instance.
func (wl *orderWorkload) observe(ctx context.Context, i *instance, e *engine) {
	w := wl.w
	called := w.tick()
	if i.isPartitioned() || i.targetsUnreachableUntil > w.now {
		return
	}
	at := i.clock.Now() // the report is not older than the request for it
	w.sleep(w.between(time.Millisecond, 10*time.Millisecond))
	report := e.report
	if e.ChecksFence {
		e.history = append(e.history, &orderStep{
			called: called, returned: w.tick(), isReport: true,
			order: core.Order{Fence: report.AppliedFence, Sequence: report.AppliedSequence},
		})
	} else {
		report.AppliedFence, report.AppliedSequence = 0, 0 // a target without fence checks reports no fence
	}
	w.sleep(w.between(time.Millisecond, 10*time.Millisecond))
	i.reconciler.Observe(ctx, e.Target, report, at)
}

// recordIntents records the intents among the writes of a committed transaction.
func (w *world) recordIntents(writes []core.Write) {
	for _, write := range writes {
		if write.CheckOnly || !strings.HasPrefix(write.Key, "Order/") {
			continue
		}
		intent, err := authority.DecodeIntent(core.Row{Key: write.Key, Version: 1, Value: write.Value})
		if err != nil {
			w.reportViolation(err.Error())
		}
		w.intents[intentKey(intent.Order)] = intent
	}
}

// checkSoleHolder reports a lease that is acquired while another instance still considers
// itself the holder at the same point of true time. It also reports fences that don't
// increase.
func (w *world) checkSoleHolder(i *instance, e core.Event) {
	for _, other := range w.instances {
		if other == i || !other.alive {
			continue
		}
		for _, lease := range other.leaseManager.Leases() {
			if strings.HasPrefix(e.Detail, "shard "+strconv.Itoa(lease.Shard)+" ") {
				w.reportViolation(fmt.Sprintf("%s acquired %s while %s holds fence %d", i.id, e.Detail, other.id, lease.Fence))
			}
		}
	}
	var shard int
	var fence uint64
	if _, err := fmt.Sscanf(e.Detail, "shard %d fence %d", &shard, &fence); err != nil {
		w.reportViolation("event without shard and fence: " + e.Detail)
	}
	if fence <= w.lastFences[shard] {
		w.reportViolation(fmt.Sprintf("shard %d: fence %d acquired after %d", shard, fence, w.lastFences[shard]))
	}
	w.lastFences[shard] = fence
}

// check compares the history of each engine with a fencing register, and the final
// state of each engine with its intent.
func (wl *orderWorkload) check() (violations []string) {
	for _, e := range wl.w.targets {
		if e.ChecksFence && !porcupine.CheckOperations(fencingRegister, fencingHistory(e.history)) {
			violations = append(violations, "target "+string(e.ID)+": history does not fit a fencing register")
		}
		rows, err := wl.w.table.Read(context.Background(), authority.OrderKey(e.ID))
		if err != nil {
			return append(violations, err.Error())
		}
		intent, err := authority.DecodeIntent(rows[0])
		if err != nil {
			return append(violations, err.Error())
		}
		if intent.State == "" || intent.State == authority.IntentAbandoned {
			continue
		}
		if intent.Era != core.EraOf(rows[0].Version) {
			continue // an older copy had it: the record of what came after it is lost
		}
		shown := authority.Desired{Role: e.report.Role, Model: e.report.Model, WeightsVersion: e.report.WeightsVersion}
		if intent.State != authority.IntentApplied || shown != intent.Desired() {
			violations = append(violations, fmt.Sprintf("target %s: shows %v after the faults ended, intent %s %v",
				e.ID, shown, intent.State, intent.Desired()))
		}
	}
	return violations
}

// fencingState is the state of a fencing register: the last order that took effect.
type fencingState struct {
	fence    core.Fence
	sequence uint64
}

// fencingRegister accepts an order only if no newer one took effect before.
var fencingRegister = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{fencingState{}} },
	Step: func(from, _, output any) []any {
		state, step := from.(fencingState), output.(*orderStep)
		order := fencingState{step.order.Fence, step.order.Sequence}
		newer := order.fence > state.fence || order.fence == state.fence && order.sequence >= state.sequence
		switch {
		case step.isReport && order == state:
			return []any{state}
		case step.isReport:
			return nil
		case step.result == core.OrderAccepted && newer:
			return []any{order}
		case step.result == core.OrderStale && !newer:
			return []any{state}
		case step.result == core.OrderUnknown && newer:
			return []any{state, order}
		case step.result == core.OrderUnknown:
			return []any{state}
		}
		return nil
	},
}).ToModel()

func fencingHistory(steps []*orderStep) []porcupine.Operation {
	history := make([]porcupine.Operation, 0, len(steps))
	for _, s := range steps {
		history = append(history, porcupine.Operation{
			Input: s, Output: s, Call: int64(s.called), Return: int64(s.returned),
		})
	}
	return history
}
