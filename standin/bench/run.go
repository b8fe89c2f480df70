package bench

import (
	"time"

	"gorseline/core"
)

const (
	// placementInterval is the time between two runs of the placer.
	placementInterval = 2 * time.Second
	// crashDetection is the time until the router detects a lost connection.
	crashDetection = 50 * time.Millisecond
	// drainCheckInterval is the time between two checks of whether an engine is drained.
	drainCheckInterval = 200 * time.Millisecond
	// maxAttempts is the maximum number of attempts per call.
	maxAttempts = 3
)

// callState is the state of one call in a run.
type callState struct {
	// job is the latest attempt.
	job          *job
	attempts     int
	firstTokenAt core.Instant
	ended        bool
}

// run simulates one trace with one policy.
type run struct {
	eventQueue
	deployment *Deployment
	scenario   *Scenario
	policy     core.Policy
	calls      []call
	callStates []callState
	engines    []*engine
	servers    []*server
	fleet      *fleet
	result     Result
	// sentJobs is the number of jobs sent, the source of job.seq.
	sentJobs uint64
	// window sums up the model requests since the last placement: the estimates of the
	// uncached prompt tokens and of the output tokens, the weight of the arrivals and the
	// weight answered in time.
	window struct{ prompt, output, offered, goodput float64 }
	// roleChanges holds the role change in progress of each engine.
	roleChanges map[*engine]core.RoleChange
	// crashNextRoleChange is set until the role change that is to crash has started.
	crashNextRoleChange bool
	// failedAttempts counts the attempts that an engine lost in a crash or refused.
	failedAttempts int
	kindResults    []KindResult
}

// runPolicy simulates a trace with a policy and returns the result.
func runPolicy(d *Deployment, s *Scenario, calls []call, policy core.Policy) Result {
	r := newRun(d, s, calls, policy)
	for r.step() {
	}
	r.result.Kinds = r.kindResults
	return r.result
}

// newRun returns a run with the outages, the load reports, the first arrival and the first
// placement scheduled.
func newRun(d *Deployment, s *Scenario, calls []call, policy core.Policy) *run {
	r := &run{
		deployment: d, scenario: s, policy: policy, calls: calls, callStates: make([]callState, len(calls)),
		roleChanges: map[*engine]core.RoleChange{}, crashNextRoleChange: s.CrashRoleChangeFrom > 0,
		kindResults: make([]KindResult, len(d.Workloads)),
	}
	r.fleet = newFleet(d, s, &r.eventQueue)
	for i, target := range d.Engines {
		r.engines = append(r.engines, newEngine(i, target, &d.EngineModel))
	}
	for i, target := range d.Servers {
		r.servers = append(r.servers, newServer(i, target, d.ServerSlots))
	}
	for i := range d.Workloads {
		r.kindResults[i].Kind = d.Workloads[i].Name
	}
	r.scheduleOutages()
	r.scheduleReports()
	r.scheduleArrival(0)
	r.schedule(core.Instant(placementInterval), r.planPlacement)
	return r
}

// scheduleArrival schedules the arrival of call i, which in turn schedules the next one.
func (r *run) scheduleArrival(i int) {
	if i == len(r.calls) {
		return
	}
	r.schedule(r.calls[i].Arrived, func() {
		r.handleArrival(i)
		r.scheduleArrival(i + 1)
	})
}

// handleArrival routes a call and sends it unless the policy refuses it.
func (r *run) handleArrival(i int) {
	c := &r.calls[i]
	kind := &r.kindResults[c.workload]
	kind.Arrived++
	r.result.Offered += c.Kind.Weight
	decision := r.policy.Route(r.now, &c.Request, r.fleet)
	if c.Service == "" {
		r.window.offered += c.Kind.Weight
		r.window.prompt += float64(c.PromptTokens - decision.Estimate.PrefixTokens)
		r.window.output += float64(c.OutputTokens)
	}
	if !decision.Found() || !r.policy.Admit(r.now, &c.Request, decision.Estimate).Admitted {
		kind.Refused++
		r.callStates[i].ended = true
		return
	}
	r.schedule(c.Deadline, func() { r.expire(i) })
	r.send(i, &decision)
}

// send starts an attempt of a call.
func (r *run) send(i int, decision *core.Decision) {
	c := &r.calls[i]
	r.sentJobs++
	state := &r.callStates[i]
	state.attempts++
	j := &job{
		call: c, callIndex: i, seq: r.sentJobs, decision: *decision,
		remainingPrompt: float64(c.PromptTokens), kvTokens: c.PromptTokens + c.actualOutput,
	}
	state.job = j
	if c.Service != "" {
		j.server = r.servers[r.fleet.index(decision.Target)]
		r.fleet.recordSent(r.now, j)
		r.schedule(r.now.Add(r.deployment.Latency), func() { r.receiveOnServer(j) })
		return
	}
	j.target = r.engines[r.fleet.index(decision.Target)]
	j.prefill = j.target
	if decision.Prefill != "" {
		j.prefill = r.engines[r.fleet.index(decision.Prefill)]
	}
	r.fleet.recordSent(r.now, j)
	delay := r.deployment.Latency
	if decision.ImportFrom != "" && c.prefixID != 0 {
		j.importFrom = r.engines[r.fleet.index(decision.ImportFrom)]
		delay += r.transferTime(c.prefixTokens)
	}
	r.schedule(r.now.Add(delay), func() { r.receiveOnPrefill(j) })
}

func (r *run) transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.deployment.EngineModel.TransferRate * float64(time.Second))
}

// expire ends a call at its deadline and cancels its current attempt.
func (r *run) expire(i int) {
	state := &r.callStates[i]
	if state.ended {
		return
	}
	if j := state.job; j != nil && j.stage != stageEnded {
		r.cancel(j)
	}
	r.recordOutcome(i, false)
}

// recordOutcome records the outcome of an admitted call.
func (r *run) recordOutcome(i int, inTime bool) {
	c := &r.calls[i]
	r.callStates[i].ended = true
	r.policy.Finish(r.now, &c.Request, inTime)
	kind := &r.kindResults[c.workload]
	if !inTime {
		kind.Late++
		return
	}
	kind.InTime++
	r.result.Goodput += c.Kind.Weight
	if c.Service == "" {
		r.window.goodput += c.Kind.Weight
	}
}

// complete sends a complete answer to the caller, which checks it against the time limits
// of the kind.
func (r *run) complete(j *job) {
	j.stage = stageEnded
	r.fleet.recordFinished(j)
	i := j.callIndex
	r.schedule(r.now.Add(r.deployment.Latency), func() {
		if state := &r.callStates[i]; !state.ended {
			r.recordOutcome(i, inTime(j.call, state.firstTokenAt, r.now))
		}
	})
}

// inTime reports whether an answer that is complete now meets the time limits of its kind.
func inTime(c *call, firstTokenAt, now core.Instant) bool {
	if now > c.Deadline {
		return false
	}
	if c.Kind.FirstToken > 0 && firstTokenAt.Sub(c.Arrived) > c.Kind.FirstToken {
		return false
	}
	mean := now.Sub(firstTokenAt) / time.Duration(max(1, c.actualOutput))
	return c.Kind.BetweenTokens <= 0 || mean <= c.Kind.BetweenTokens
}

// failAttempt ends an attempt that its engine lost in a crash or refused. It routes the call
// again if the kind is repeatable and attempts remain.
func (r *run) failAttempt(j *job) {
	if j.stage == stageEnded {
		return
	}
	j.stage = stageEnded
	r.failedAttempts++
	r.fleet.recordFinished(j)
	i := j.callIndex
	r.schedule(r.now.Add(crashDetection), func() {
		state := &r.callStates[i]
		if state.ended {
			return
		}
		c := &r.calls[i]
		if !c.Kind.Repeatable || state.attempts >= maxAttempts {
			r.recordOutcome(i, false)
			return
		}
		decision := r.policy.Route(r.now, &c.Request, r.fleet)
		if !decision.Found() {
			r.recordOutcome(i, false)
			return
		}
		r.send(i, &decision)
	})
}

// receiveOnServer queues a call on its server.
func (r *run) receiveOnServer(j *job) {
	if j.stage == stageEnded {
		return
	}
	j.stage = stageWaiting
	j.server.queue.push(j)
	r.startCalls(j.server)
}

// startCalls starts queued calls of a server while it has free slots.
func (r *run) startCalls(s *server) {
	s.startQueued(func(j *job) {
		r.schedule(r.now.Add(j.call.serviceTime), func() {
			s.running--
			if j.stage != stageEnded {
				r.callStates[j.callIndex].firstTokenAt = r.now
				r.complete(j)
			}
			r.startCalls(s)
		})
	})
}
