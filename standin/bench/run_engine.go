package bench

import "gorseline/core"

// receiveOnPrefill queues a prompt on the engine that computes it.
func (r *run) receiveOnPrefill(j *job) {
	e := j.prefill
	if j.stage == stageEnded {
		return
	}
	if !e.up || e.changingRole || !e.role.AcceptsPrefill() {
		r.failAttempt(j)
		return
	}
	e.advance(r.now)
	if from := j.importFrom; from != nil && from.up && from.cache.lookup(j.call.prefixID) > 0 {
		r.cacheSegment(e, j.call.prefixID, j.call.prefixTokens)
	}
	j.stage = stagePrompt
	e.promptQueue.push(j)
	r.reschedule(e)
}

// cacheSegment adds a segment to an engine's prefix cache and publishes the cache events. An
// id of 0 means that there is no segment.
func (r *run) cacheSegment(e *engine, id uint64, tokens int) {
	if id == 0 {
		return
	}
	e.cache.add(id, tokens, func(evicted uint64) { r.fleet.publishCacheEvents(e, evicted, true) })
	r.fleet.publishCacheEvents(e, id, false)
}

// reschedule schedules the next completion of an engine after its queues or its batch have
// changed.
func (r *run) reschedule(e *engine) {
	e.startNextPrompt()
	e.fillBatch(func(j *job) { r.callStates[j.callIndex].firstTokenAt = r.now })
	e.scheduleVersion++
	version := e.scheduleVersion
	when, busy := e.nextCompletion()
	if !busy {
		return
	}
	r.schedule(when, func() {
		if e.scheduleVersion == version {
			r.handleCompletions(e)
		}
	})
}

// handleCompletions handles the prompts and answers that an engine has completed.
func (r *run) handleCompletions(e *engine) {
	e.advance(r.now)
	e.removeComputedPrompts(func(j *job) { r.finishPrompt(e, j) })
	e.removeCompleteAnswers(r.complete)
	r.reschedule(e)
}

// finishPrompt caches a computed prompt and passes it on to the engine that generates the
// answer.
func (r *run) finishPrompt(e *engine, j *job) {
	r.cacheSegment(e, j.call.prefixID, j.call.prefixTokens)
	r.cacheSegment(e, uniqueSegment(j), j.call.uniqueTokens)
	if j.target == e {
		j.stage = stageWaiting
		e.decodeQueue.push(j)
		return
	}
	j.stage = stageInTransit
	r.fleet.recordPromptComputed(j)
	r.schedule(r.now.Add(r.deployment.Latency+r.transferTime(j.call.PromptTokens)), func() { r.receiveOnTarget(j) })
}

// uniqueSegment returns the cache ID of the part of a prompt that no other prompt shares.
func uniqueSegment(j *job) uint64 { return 1<<32 + uint64(j.callIndex) }

// receiveOnTarget queues a computed prompt on the engine that generates the answer.
func (r *run) receiveOnTarget(j *job) {
	e := j.target
	if j.stage == stageEnded {
		return
	}
	if !e.up || e.changingRole || !e.role.AcceptsDecode() {
		r.failAttempt(j)
		return
	}
	e.advance(r.now)
	j.stage = stageWaiting
	e.decodeQueue.push(j)
	r.reschedule(e)
}

// cancel ends an attempt whose call has reached its deadline.
func (r *run) cancel(j *job) {
	e := j.target
	if j.stage == stagePrompt {
		e = j.prefill
	}
	switch {
	case j.server != nil:
		// A plain service doesn't abort calls that it has started.
		if j.stage == stageWaiting {
			j.server.queue.remove(j)
		}
	case j.stage != stageInTransit:
		e.advance(r.now)
		e.remove(j)
		r.reschedule(e)
	}
	j.stage = stageEnded
	r.fleet.recordFinished(j)
}

// scheduleOutages schedules the crashes and drains of the scenario.
func (r *run) scheduleOutages() {
	for _, o := range r.scenario.Crashes {
		e := r.engines[o.Engine]
		r.schedule(r.scenario.timeAt(o.From), func() { r.crash(e, r.scenario.timeAt(o.To)) })
	}
	for _, o := range r.scenario.Drains {
		e := r.engines[o.Engine]
		r.schedule(r.scenario.timeAt(o.From), func() { r.fleet.setOperatorDrained(e, true) })
		r.schedule(r.scenario.timeAt(o.To), func() { r.fleet.setOperatorDrained(e, false) })
	}
}

// crash stops an engine until the given time. All its jobs and its prefix cache are lost.
func (r *run) crash(e *engine, until core.Instant) {
	e.downUntil = max(e.downUntil, until)
	r.schedule(until, func() { r.restart(e) })
	if !e.up {
		return
	}
	e.advance(r.now)
	removed := e.removeAll()
	e.up, e.changingRole = false, false
	e.scheduleVersion++
	delete(r.roleChanges, e)
	for _, j := range removed {
		r.failAttempt(j)
	}
	r.schedule(r.now.Add(crashDetection), func() { r.fleet.setCircuit(e, true) })
}

// restart starts a crashed engine in its previous role, unless a later outage still lasts.
func (r *run) restart(e *engine) {
	if e.up || r.now < e.downUntil {
		return
	}
	e.up, e.advancedAt = true, r.now
	r.fleet.setCircuit(e, false)
	r.fleet.setChangingRole(e, false)
	r.deliverReport(e.ID, r.now, e.report(r.deployment.Model))
}

// scheduleReports schedules the load reports of all targets, evenly spread over the report
// interval.
func (r *run) scheduleReports() {
	n := len(r.engines) + len(r.servers)
	offset := func(i int) core.Instant {
		return core.Instant(int64(r.scenario.ReportInterval) * int64(i) / int64(n))
	}
	for i, e := range r.engines {
		r.deliverReport(e.ID, 0, e.report(r.deployment.Model))
		r.scheduleTargetReports(offset(i), e.ID, func() (core.LoadReport, bool) {
			e.advance(r.now)
			defer r.reschedule(e)
			return e.report(r.deployment.Model), e.up
		})
	}
	for i, s := range r.servers {
		r.deliverReport(s.ID, 0, s.report())
		r.scheduleTargetReports(offset(len(r.engines)+i), s.ID, func() (core.LoadReport, bool) { return s.report(), true })
	}
}

// scheduleTargetReports schedules a target's next load report, which in turn schedules the
// following one. Each arrives after the scenario's lag.
func (r *run) scheduleTargetReports(at core.Instant, id core.TargetID, report func() (core.LoadReport, bool)) {
	if at > r.endTime() {
		return
	}
	r.schedule(at, func() {
		takenAt := r.now
		if load, ok := report(); ok {
			r.schedule(r.now.Add(r.scenario.ReportLag), func() { r.deliverReport(id, takenAt, load) })
		}
		r.scheduleTargetReports(at.Add(r.scenario.ReportInterval), id, report)
	})
}

// endTime returns the latest possible deadline of the scenario's calls.
func (r *run) endTime() core.Instant {
	var longest core.Instant
	for i := range r.deployment.Workloads {
		longest = max(longest, core.Instant(r.deployment.Workloads[i].Deadline))
	}
	return core.Instant(r.scenario.Duration) + longest
}

// deliverReport passes a load report that was taken at takenAt to the fleet.
func (r *run) deliverReport(id core.TargetID, takenAt core.Instant, load core.LoadReport) {
	load.Age = r.now.Sub(takenAt)
	r.fleet.Report(r.now, id, load)
}
