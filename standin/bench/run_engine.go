package bench

import "gorseline/core"

// engineReceives takes a prompt into the queue of the engine that computes it.
func (r *run) engineReceives(j *job) {
	e := j.prefill
	if j.stage == stageOver {
		return
	}
	if !e.up || e.change || !e.role.AcceptsPrefill() {
		r.lose(j)
		return
	}
	e.advance(r.now)
	if from := j.importFrom; from != nil && from.up && from.cache.tokens(j.call.prefix) > 0 {
		r.cache(e, j.call.prefix, j.call.prefixTokens)
	}
	j.stage = stagePrompt
	e.prompts.push(j)
	r.replan(e)
}

// cache adds a segment to an engine's prefix cache and publishes the events.
func (r *run) cache(e *engine, id uint64, tokens int) {
	if id == 0 {
		return
	}
	e.cache.add(id, tokens, func(gone uint64) { r.fleet.cacheEvent(e, gone, true) })
	r.fleet.cacheEvent(e, id, false)
}

// replan plans the next event of an engine after its composition has changed.
func (r *run) replan(e *engine) {
	e.startHead()
	e.join(func(j *job) { r.progress[j.number].first = r.now })
	e.version++
	version := e.version
	when, busy := e.next()
	if !busy {
		return
	}
	r.at(when, func() {
		if e.version == version {
			r.tick(e)
		}
	})
}

// tick handles the prompts and answers that an engine has completed.
func (r *run) tick(e *engine) {
	e.advance(r.now)
	e.promptsDone(func(j *job) { r.promptDone(e, j) })
	e.answersDone(r.complete)
	r.replan(e)
}

// promptDone keeps the computed prompt in the cache and hands it to the engine that
// generates the answer.
func (r *run) promptDone(e *engine, j *job) {
	r.cache(e, j.call.prefix, j.call.prefixTokens)
	r.cache(e, ownSegment(j), j.call.own)
	if j.target == e {
		j.stage = stageWaiting
		e.waiting.push(j)
		return
	}
	j.stage = stageTransit
	r.fleet.prompted(j)
	r.at(r.now.Add(r.deployment.Latency+r.transferTime(j.call.PromptTokens)), func() { r.targetReceives(j) })
}

// ownSegment names the part of a prompt that no other prompt shares.
func ownSegment(j *job) uint64 { return 1<<32 + uint64(j.number) }

// targetReceives takes a computed prompt into the engine that generates the answer.
func (r *run) targetReceives(j *job) {
	e := j.target
	if j.stage == stageOver {
		return
	}
	if !e.up || e.change || !e.role.AcceptsDecode() {
		r.lose(j)
		return
	}
	e.advance(r.now)
	j.stage = stageWaiting
	e.waiting.push(j)
	r.replan(e)
}

// cancel stops the work for a call that was given up.
func (r *run) cancel(j *job) {
	e := j.target
	if j.stage == stagePrompt {
		e = j.prefill
	}
	switch {
	case j.server != nil:
		// A plain service finishes what it has started.
		if j.stage == stageWaiting {
			j.server.queue.remove(j)
		}
	case j.stage != stageTransit:
		e.advance(r.now)
		e.drop(j)
		r.replan(e)
	}
	j.stage = stageOver
	r.fleet.finished(j)
}

// planOutages plans the scenario's crashes and drains.
func (r *run) planOutages() {
	for _, o := range r.scenario.Crashes {
		e := r.engines[o.Engine]
		r.at(r.scenario.moment(o.From), func() { r.crash(e, r.scenario.moment(o.To)) })
	}
	for _, o := range r.scenario.Drains {
		e := r.engines[o.Engine]
		r.at(r.scenario.moment(o.From), func() { r.fleet.withdraw(e, true) })
		r.at(r.scenario.moment(o.To), func() { r.fleet.withdraw(e, false) })
	}
}

// crash stops an engine until the given moment; everything on it is lost.
func (r *run) crash(e *engine, until core.Instant) {
	e.downUntil = max(e.downUntil, until)
	r.at(until, func() { r.restart(e) })
	if !e.up {
		return
	}
	e.advance(r.now)
	lost := e.empty()
	e.up, e.change = false, false
	e.version++
	delete(r.changing, e)
	for _, j := range lost {
		r.lose(j)
	}
	r.at(r.now.Add(crashDetection), func() { r.fleet.circuit(e, true) })
}

// restart brings an engine back in the role that it had.
func (r *run) restart(e *engine) {
	if e.up || r.now < e.downUntil {
		return
	}
	e.up, e.advanced = true, r.now
	r.fleet.circuit(e, false)
	r.fleet.changing(e, false)
	r.deliver(e.ID, r.now, e.report(r.deployment.Model))
}

// planReports plans the load reports of all targets, spread over the interval.
func (r *run) planReports() {
	n := len(r.engines) + len(r.servers)
	offset := func(i int) core.Instant {
		return core.Instant(int64(r.scenario.ReportInterval) * int64(i) / int64(n))
	}
	for i, e := range r.engines {
		r.deliver(e.ID, 0, e.report(r.deployment.Model))
		r.reports(offset(i), e.ID, func() (core.LoadReport, bool) {
			e.advance(r.now)
			defer r.replan(e)
			return e.report(r.deployment.Model), e.up
		})
	}
	for i, s := range r.servers {
		r.deliver(s.ID, 0, s.report())
		r.reports(offset(len(r.engines)+i), s.ID, func() (core.LoadReport, bool) { return s.report(), true })
	}
}

// reports plans one target's load reports; each arrives after the scenario's lag.
func (r *run) reports(at core.Instant, id core.TargetID, report func() (core.LoadReport, bool)) {
	if at > r.end() {
		return
	}
	r.at(at, func() {
		taken := r.now
		if load, up := report(); up {
			r.at(r.now.Add(r.scenario.ReportLag), func() { r.deliver(id, taken, load) })
		}
		r.reports(at.Add(r.scenario.ReportInterval), id, report)
	})
}

// end is when the last deadline of the scenario has passed.
func (r *run) end() core.Instant {
	var longest core.Instant
	for i := range r.deployment.Workloads {
		longest = max(longest, core.Instant(r.deployment.Workloads[i].Deadline))
	}
	return core.Instant(r.scenario.Duration) + longest
}

func (r *run) deliver(id core.TargetID, taken core.Instant, load core.LoadReport) {
	load.Age = r.now.Sub(taken)
	r.fleet.Report(r.now, id, load)
}
