package bench

import "gorseline/core"

// place asks the policy's placer and starts the role changes that it plans.
func (r *run) place() {
	seconds := placementEvery.Seconds()
	view := core.PlacementView{
		Model: r.deployment.Model, Engines: r.fleet.engines(),
		PromptRate: r.window.prompt / seconds, OutputRate: r.window.output / seconds,
		Offered: r.window.offered / seconds, Goodput: r.window.goodput / seconds,
	}
	r.window.prompt, r.window.output, r.window.offered, r.window.goodput = 0, 0, 0, 0
	for _, change := range r.policy.Plan(r.now, &view) {
		r.beginChange(change)
	}
	if next := r.now.Add(placementEvery); next < core.Instant(r.scenario.Duration) {
		r.at(next, r.place)
	}
}

// beginChange takes an engine out of service; the order follows once it is idle.
func (r *run) beginChange(change core.RoleChange) {
	e := r.engines[r.fleet.index(change.Target)]
	if _, busy := r.changing[e]; busy || !e.up || e.role != change.From {
		return
	}
	r.result.RoleChanges++
	r.changing[e] = change
	r.fleet.changing(e, true)
	r.awaitIdle(e)
}

func (r *run) awaitIdle(e *engine) {
	change, under := r.changing[e]
	if !under {
		return
	}
	if r.fleet.inFlight(e) > 0 {
		r.at(r.now.Add(drainCheck), func() { r.awaitIdle(e) })
		return
	}
	e.change = true
	if r.failChange && r.now >= r.scenario.moment(r.scenario.CrashRoleChangeFrom) {
		r.failChange = false
		model := &r.deployment.EngineModel
		r.at(r.now.Add(model.ChangeTime/2), func() { r.crash(e, r.now.Add(model.RestartTime)) })
		return
	}
	r.at(r.now.Add(r.deployment.EngineModel.ChangeTime), func() { r.endChange(e, change) })
}

// endChange puts the engine back into service in its new role.
func (r *run) endChange(e *engine, change core.RoleChange) {
	if !e.up || !e.change {
		return // crashed in the middle
	}
	e.change = false
	e.role = change.To
	e.cache.clear()
	delete(r.changing, e)
	r.fleet.changing(e, false)
	r.deliver(e.ID, r.now, e.report(r.deployment.Model))
}
