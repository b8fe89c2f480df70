package instance

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
)

// placementInterval is the time between two plans. It is short against the ten
// seconds over which the planner's fast average looks.
const placementInterval = 5 * time.Second

// eventRoleChange records a planned role change with its expected gain.
const eventRoleChange core.EventKind = "RoleChangePlanned"

// placementLoop plans the roles of engines whose shard this instance holds.
type placementLoop struct {
	control     *control
	serving     *serving
	authorities *authorities
	recorder    core.Recorder
	clock       core.ClockProvider
	log         log.Interface
	shadow      shadowPlacement
	before      map[core.Model]dispatch.Traffic
	plannedAt   core.Instant
}

type placementInputs struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Control     *control
	Serving     *serving
	Authorities *authorities
	Recorder    core.Recorder
	Clock       core.ClockProvider
	Log         log.Interface
}

func newPlacementLoop(in placementInputs) *placementLoop {
	l := &placementLoop{
		control: in.Control, serving: in.Serving, authorities: in.Authorities,
		recorder: in.Recorder, clock: in.Clock, log: in.Log,
		shadow: shadowPlacement{recorder: in.Recorder}, before: map[core.Model]dispatch.Traffic{},
	}
	part.Register(in.Lifecycle, newLoop(l.run))
	return l
}

// run plans until ctx ends.
func (l *placementLoop) run(ctx context.Context) {
	pause.Every(ctx, placementInterval, func() { l.plan(ctx) })
}

func (l *placementLoop) plan(ctx context.Context) {
	policy := l.serving.policies.InForce()
	if policy == nil || !l.control.member.Ready().Ready {
		return
	}
	now := l.clock.Now()
	elapsed := now.Sub(l.plannedAt).Seconds()
	l.plannedAt = now
	traffic := l.serving.dispatcher.Traffic()
	// Callers are spread evenly over the instances, so the own share stands for all.
	scale := float64(len(l.control.members())) / elapsed
	for _, group := range l.groups() {
		rate := traffic[group.model].Sub(l.before[group.model])
		part := scale * group.part
		view := core.PlacementView{
			Model: group.model, Engines: group.engines,
			PromptRate: rate.PromptTokens * part, OutputRate: rate.OutputTokens * part,
			Goodput: rate.Goodput * part, Offered: rate.Offered * part,
		}
		l.log.WithFields(log.Fields{
			"model": view.Model, "engines": len(view.Engines), "offered": view.Offered,
			"promptRate": view.PromptRate, "outputRate": view.OutputRate, "speeds": fmt.Sprint(speeds(view.Engines)),
		}).Debug("placement: group looked at")
		for _, change := range policy.Plan(now, &view) {
			l.submit(ctx, &view, change)
		}
		l.shadow.plan(now, l.control.applier.Configuration(), &view)
	}
	l.before = traffic
}

// engineGroup is the engines of one model in one shard that this instance holds.
type engineGroup struct {
	model   core.Model
	engines []core.TargetState
	// part is the group's part of the model's engines, from 0 to 1.
	part float64
}

// groups returns the engines to plan, each group by itself.
func (l *placementLoop) groups() []engineGroup {
	type key struct {
		model core.Model
		shard int
	}
	held := l.authorities.shards()
	total := map[core.Model]int{}
	members := map[key][]core.TargetState{}
	for _, state := range l.serving.fleet.States() {
		if !state.IsEngine() || state.ReportedAt == 0 {
			continue
		}
		total[state.Report.Model]++
		if shard := l.authorities.shardOf(state.Target); slices.Contains(held, shard) {
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

// speeds returns the learned prompt rates of engines, for the log.
func speeds(engines []core.TargetState) []int {
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
	ctx, cancel := context.WithTimeout(ctx, l.authorities.options.OrderLifetime)
	defer cancel()
	result := l.authorities.commander.Submit(ctx, engines[i].Target, authority.Desired{
		Role: change.To, Model: report.Model, WeightsVersion: report.WeightsVersion,
	})
	l.log.WithField("target", change.Target).WithField("result", result).Info("placement: role change submitted")
}

// planInputs returns the plan and what it was made on, in tokens and weight per second.
func planInputs(view *core.PlacementView, change core.RoleChange) string {
	var in timeline.Inputs
	return in.Text("From", change.From.String()).Text("To", change.To.String()).Float("Gain", change.Gain).
		Float("PromptRate", view.PromptRate).Float("OutputRate", view.OutputRate).
		Float("Goodput", view.Goodput).Float("Offered", view.Offered).String()
}
