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

// Size of the fleet of one history.
const (
	shards       = 2
	firstMembers = 3
	engines      = 3
)

// orders is the part of leases and orders.
type orders struct{ w *world }

// step is one order, or one report of an engine, as an instance saw it.
type step struct {
	called, returned uint64
	order            core.Order // of a report: the last applied order
	result           core.OrderResult
	isReport         bool
}

func newOrders(w *world) *orders {
	for n := range engines {
		id := core.TargetID("e" + strconv.Itoa(n))
		w.targets = append(w.targets, &engine{
			w: w, Target: core.Target{ID: id, Address: "at-" + string(id), ChecksFence: n != 0 && !w.turns},
			report: core.LoadReport{Role: core.RoleMixed}, excused: map[core.Order]bool{},
		})
	}
	return &orders{w}
}

func (p *orders) start(i *instance) {
	w, ctx := p.w, context.Background()
	w.spawn(i, func() {
		for {
			i.keeper.Step(ctx)
			w.sleep(w.between(800*time.Millisecond, 1200*time.Millisecond))
		}
	})
	w.spawn(i, func() {
		for {
			w.sleep(w.between(time.Second, 6*time.Second))
			if e := w.targets[w.random.IntN(engines)]; !w.quiet {
				i.commander.Submit(ctx, e.Target, authority.Desired{
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
				p.observe(ctx, i, e)
			}
		})
	}
}

// observe fetches a load report and passes it on.
func (p *orders) observe(ctx context.Context, i *instance, e *engine) {
	w := p.w
	called := w.tick()
	if i.isCut() || i.muteUntil > w.now {
		return
	}
	at := i.clock.Now() // the report can't be older than the request for it
	w.sleep(w.between(time.Millisecond, 10*time.Millisecond))
	report := e.report
	if e.ChecksFence {
		e.history = append(e.history, &step{
			called: called, returned: w.tick(), isReport: true,
			order: core.Order{Fence: report.AppliedFence, Sequence: report.AppliedSequence},
		})
	} else {
		report.AppliedFence, report.AppliedSequence = 0, 0 // it knows no fences
	}
	w.sleep(w.between(time.Millisecond, 10*time.Millisecond))
	i.commander.Observe(ctx, e.Target, report, at)
}

// noteIntents keeps the intents that the table holds now. It runs after each
// transaction that committed.
func (w *world) noteIntents(writes []core.Write) {
	for _, write := range writes {
		if write.CheckOnly || !strings.HasPrefix(write.Key, "Order/") {
			continue
		}
		intent, err := authority.DecodeIntent(core.Row{Key: write.Key, Version: 1, Value: write.Value})
		if err != nil {
			w.violate(err.Error())
		}
		w.intents[intentName(intent.Order)] = intent
	}
}

// checkSoleHolder reports a lease that is acquired while another instance may still
// use its own. It compares what both believe at the same point of true time.
func (w *world) checkSoleHolder(i *instance, e core.Event) {
	for _, other := range w.instances {
		if other == i || !other.alive {
			continue
		}
		for _, lease := range other.keeper.Leases() {
			if strings.HasPrefix(e.Detail, "shard "+strconv.Itoa(lease.Shard)+" ") {
				w.violate(fmt.Sprintf("%s acquired %s while %s holds fence %d", i.id, e.Detail, other.id, lease.Fence))
			}
		}
	}
	// Fences must grow in the order of acquisitions.
	var shard int
	var fence uint64
	if _, err := fmt.Sscanf(e.Detail, "shard %d fence %d", &shard, &fence); err != nil {
		w.violate("event without shard and fence: " + e.Detail)
	}
	if fence <= w.fences[shard] {
		w.violate(fmt.Sprintf("shard %d: fence %d acquired after %d", shard, fence, w.fences[shard]))
	}
	w.fences[shard] = fence
}

// check compares the history of each engine with a fencing register, and the final
// state of each engine with its intent.
func (p *orders) check() (violations []string) {
	for _, e := range p.w.targets {
		if e.ChecksFence && !porcupine.CheckOperations(fencingRegister, fencingHistory(e.history)) {
			violations = append(violations, "target "+string(e.ID)+": history does not fit a fencing register")
		}
		rows, err := p.w.table.Read(context.Background(), authority.OrderKey(e.ID))
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
		shown := authority.Desired{Role: e.report.Role, Model: e.report.Model, WeightsVersion: e.report.WeightsVersion}
		if intent.State != authority.IntentApplied || shown != intent.Desired() {
			violations = append(violations, fmt.Sprintf("target %s: shows %v after the faults ended, intent %s %v",
				e.ID, shown, intent.State, intent.Desired()))
		}
	}
	return violations
}

// mark is the state of a fencing register: the last order that took effect.
type mark struct {
	fence    core.Fence
	sequence uint64
}

// fencingRegister accepts an order only if no newer one took effect before.
var fencingRegister = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{mark{}} },
	Step: func(from, _, output any) []any {
		state, seen := from.(mark), output.(*step)
		order := mark{seen.order.Fence, seen.order.Sequence}
		newer := order.fence > state.fence || order.fence == state.fence && order.sequence >= state.sequence
		switch {
		case seen.isReport && order == state:
			return []any{state}
		case seen.isReport:
			return nil
		case seen.result == core.OrderAccepted && newer:
			return []any{order}
		case seen.result == core.OrderStale && !newer:
			return []any{state}
		case seen.result == core.OrderUnknown && newer:
			return []any{state, order}
		case seen.result == core.OrderUnknown:
			return []any{state}
		}
		return nil
	},
}).ToModel()

func fencingHistory(steps []*step) []porcupine.Operation {
	history := make([]porcupine.Operation, 0, len(steps))
	for _, s := range steps {
		history = append(history, porcupine.Operation{
			Input: s, Output: s, Call: int64(s.called), Return: int64(s.returned),
		})
	}
	return history
}
