package instance

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
)

// placementInterval is the time between two plans. It is shorter than the ten seconds of the
// planner's fast moving average.
const placementInterval = 5 * time.Second

// eventRoleChange records a planned role change with its expected gain.
const eventRoleChange core.EventKind = "RoleChangePlanned"

// placementLoop plans the roles of engines whose shard this instance holds.
type placementLoop struct {
	control   *control
	serving   *serving
	authority *leaseAuthority
	recorder  core.Recorder
	clock     core.ClockProvider
	log       log.Interface
	shadow    shadowPlacement
	// previousTraffic is the cumulative traffic by model at the last plan.
	previousTraffic map[core.Model]dispatch.Traffic
	plannedAt       core.Instant
}

type placementInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Control   *control
	Serving   *serving
	Authority *leaseAuthority
	Recorder  core.Recorder
	Clock     core.ClockProvider
	Log       log.Interface
}

func newPlacementLoop(in placementInputs) *placementLoop {
	l := &placementLoop{
		control: in.Control, serving: in.Serving, authority: in.Authority,
		recorder: in.Recorder, clock: in.Clock, log: in.Log,
		shadow: shadowPlacement{recorder: in.Recorder}, previousTraffic: map[core.Model]dispatch.Traffic{},
	}
	lifecycle.Register(in.Lifecycle, newLoop(l.run))
	return l
}

// run plans until ctx ends.
func (l *placementLoop) run(ctx context.Context) {
	pause.Every(ctx, placementInterval, func() { l.plan(ctx) })
}

func (l *placementLoop) plan(ctx context.Context) {
	policy := l.serving.policies.Primary()
	if policy == nil || !l.control.member.Ready().Ready {
		return
	}
	now := l.clock.Now()
	elapsed := now.Sub(l.plannedAt).Seconds()
	l.plannedAt = now
	traffic := l.serving.dispatcher.Traffic()
	// Callers are spread evenly over the instances, so the traffic of this instance times
	// the number of instances estimates that of the fleet.
	scale := float64(len(l.control.liveInstances())) / elapsed
	for _, group := range l.engineGroups() {
		delta := traffic[group.model].Sub(l.previousTraffic[group.model])
		factor := scale * group.share // per second
		view := core.PlacementView{
			Model: group.model, Engines: group.engines,
			PromptRate: delta.PromptTokens * factor, OutputRate: delta.OutputTokens * factor,
			Goodput: delta.Goodput * factor, Offered: delta.Offered * factor,
		}
		l.log.WithFields(log.Fields{
			"model": view.Model, "engines": len(view.Engines), "offered": view.Offered,
			"promptRate": view.PromptRate, "outputRate": view.OutputRate, "speeds": fmt.Sprint(prefillRates(view.Engines)),
		}).Debug("placement: planning engine group")
		for _, change := range policy.Plan(now, &view) {
			l.submit(ctx, &view, change)
		}
		l.shadow.plan(now, l.control.applier.Configuration(), &view)
	}
	l.previousTraffic = traffic
}

// engineGroup holds the engines of one model in a shard that this instance holds.
type engineGroup struct {
	model   core.Model
	engines []core.TargetState
	// share is the group's share of all engines of the model, from 0 to 1.
	share float64
}

// engineGroups returns the groups whose roles are planned, each independently of the others.
// Engines that haven't reported yet are left out.
func (l *placementLoop) engineGroups() []engineGroup {
	type key struct {
		model core.Model
		shard int
	}
	held := l.authority.heldShards()
	total := map[core.Model]int{}
	members := map[key][]core.TargetState{}
	for _, state := range l.serving.fleet.States() {
		if !state.IsEngine() || state.ReportedAt == 0 {
			continue
		}
		total[state.Report.Model]++
		if shard := l.authority.shardOf(state.Target); slices.Contains(held, shard) {
			k := key{state.Report.Model, shard}
			members[k] = append(members[k], state)
		}
	}
	groups := make([]engineGroup, 0, len(members))
	for k, engines := range members {
		slices.SortFunc(engines, func(a, b core.TargetState) int { return cmp.Compare(a.ID, b.ID) })
		groups = append(groups, engineGroup{k.model, engines, float64(len(engines)) / float64(total[k.model])})
	}
	slices.SortFunc(groups, func(a, b engineGroup) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.engines[0].ID, b.engines[0].ID))
	})
	return groups
}

// prefillRates returns the estimated prefill rates of engines, for the log.
func prefillRates(engines []core.TargetState) []int {
	rates := make([]int, len(engines))
	for i := range engines {
		rates[i] = int(engines[i].PrefillRate)
	}
	return rates
}

func (l *placementLoop) submit(ctx context.Context, view *core.PlacementView, change core.RoleChange) {
	engines := view.Engines
	i := slices.IndexFunc(engines, func(s core.TargetState) bool { return s.ID == change.Target })
	if i < 0 {
		return
	}
	report := engines[i].Report
	l.recorder.Record(core.Event{
		Kind: eventRoleChange, Target: change.Target, Reason: change.Reason, Detail: planInputs(view, change),
	})
	ctx, cancel := context.WithTimeout(ctx, l.authority.options.OrderLifetime)
	defer cancel()
	result := l.authority.reconciler.Submit(ctx, engines[i].Target, authority.Desired{
		Role: change.To, Model: report.Model, WeightsVersion: report.WeightsVersion,
	})
	l.log.WithField("target", change.Target).WithField("result", result).Info("placement: role change submitted")
}

// planInputs formats a role change and the rates that it was planned for. Token rates are in
// tokens per second, goodput and offered load in weight per second.
func planInputs(view *core.PlacementView, change core.RoleChange) string {
	var in timeline.Inputs
	return in.Text("From", change.From.String()).Text("To", change.To.String()).Float("Gain", change.Gain).
		Float("PromptRate", view.PromptRate).Float("OutputRate", view.OutputRate).
		Float("Goodput", view.Goodput).Float("Offered", view.Offered).String()
}
