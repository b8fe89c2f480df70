package bench

import "gorseline/core"

// planPlacement runs the policy's placer on the rates of the last interval and starts the
// role changes that it plans.
func (r *run) planPlacement() {
	seconds := placementInterval.Seconds()
	view := core.PlacementView{
		Model: r.deployment.Model, Engines: r.fleet.engineStates(),
		PromptRate: r.window.prompt / seconds, OutputRate: r.window.output / seconds,
		Offered: r.window.offered / seconds, Goodput: r.window.goodput / seconds,
	}
	r.window.prompt, r.window.output, r.window.offered, r.window.goodput = 0, 0, 0, 0
	for _, change := range r.policy.Plan(r.now, &view) {
		r.startRoleChange(change)
	}
	if next := r.now.Add(placementInterval); next < core.Instant(r.scenario.Duration) {
		r.schedule(next, r.planPlacement)
	}
}

// startRoleChange drains an engine and changes its role once it is idle.
func (r *run) startRoleChange(change core.RoleChange) {
	e := r.engines[r.fleet.index(change.Target)]
	if _, ok := r.roleChanges[e]; ok || !e.up || e.role != change.From {
		return
	}
	r.result.RoleChanges++
	r.roleChanges[e] = change
	r.fleet.setChangingRole(e, true)
	r.changeRoleWhenIdle(e)
}

// changeRoleWhenIdle executes an engine's role change once its unfinished attempts are done.
func (r *run) changeRoleWhenIdle(e *engine) {
	change, ok := r.roleChanges[e]
	if !ok {
		return
	}
	if r.fleet.inFlight(e) > 0 {
		r.schedule(r.now.Add(drainCheckInterval), func() { r.changeRoleWhenIdle(e) })
		return
	}
	e.changingRole = true
	if r.crashNextRoleChange && r.now >= r.scenario.timeAt(r.scenario.CrashRoleChangeFrom) {
		r.crashNextRoleChange = false
		model := &r.deployment.EngineModel
		r.schedule(r.now.Add(model.RoleChangeTime/2), func() { r.crash(e, r.now.Add(model.RestartTime)) })
		return
	}
	r.schedule(r.now.Add(r.deployment.EngineModel.RoleChangeTime), func() { r.finishRoleChange(e, change) })
}

// finishRoleChange returns the engine to service in its new role.
func (r *run) finishRoleChange(e *engine, change core.RoleChange) {
	if !e.up || !e.changingRole {
		return // crashed during the change
	}
	e.changingRole = false
	e.role = change.To
	e.cache.clear()
	delete(r.roleChanges, e)
	r.fleet.setChangingRole(e, false)
	r.deliverReport(e.ID, r.now, e.report(r.deployment.Model))
}
