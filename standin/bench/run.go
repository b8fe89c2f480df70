package bench

import (
	"time"

	"gorseline/core"
)

// Intervals of a run.
const (
	// placementEvery is how often the placer is asked.
	placementEvery = 2 * time.Second
	// crashDetection is how long it takes until a lost connection is noticed.
	crashDetection = 50 * time.Millisecond
	// drainCheck is how often a draining engine is looked at.
	drainCheck = 200 * time.Millisecond
	// maximumAttempts bounds the attempts of one call.
	maximumAttempts = 3
)

// progress is the state of one call in a run.
type progress struct {
	job      *job
	attempts int
	first    core.Instant
	over     bool
}

// run is one trace under one policy.
type run struct {
	agenda
	deployment *Deployment
	scenario   *Scenario
	policy     core.Policy
	calls      []call
	progress   []progress
	engines    []*engine
	servers    []*server
	fleet      *fleet
	result     Result
	jobs       uint64
	// window sums up what arrived and was answered since the last placement.
	window struct{ prompt, output, offered, goodput float64 }
	// changing holds the role change under way per engine.
	changing   map[*engine]core.RoleChange
	failChange bool
	// lost counts attempts that ended with a crash or were refused by an engine.
	lost        int
	kindResults []KindResult
}

// runPolicy plays a trace against a policy and returns what became of it.
func runPolicy(d *Deployment, s *Scenario, calls []call, policy core.Policy) Result {
	r := newRun(d, s, calls, policy)
	for r.step() {
	}
	r.result.Kinds = r.kindResults
	return r.result
}

// newRun plans what is known at the start of a run.
func newRun(d *Deployment, s *Scenario, calls []call, policy core.Policy) *run {
	r := &run{
		deployment: d, scenario: s, policy: policy, calls: calls, progress: make([]progress, len(calls)),
		changing: map[*engine]core.RoleChange{}, failChange: s.CrashRoleChangeFrom > 0,
		kindResults: make([]KindResult, len(d.Workloads)),
	}
	r.fleet = newFleet(d, s, &r.agenda)
	for i, target := range d.Engines {
		r.engines = append(r.engines, newEngine(i, target, &d.EngineModel))
	}
	for i, target := range d.Servers {
		r.servers = append(r.servers, newServer(i, target, d.ServerSlots))
	}
	for i := range d.Workloads {
		r.kindResults[i].Kind = d.Workloads[i].Name
	}
	r.planOutages()
	r.planReports()
	r.arrivals(0)
	r.at(core.Instant(placementEvery), r.place)
	return r
}

// arrivals plans the arrival of one call, which plans the next.
func (r *run) arrivals(i int) {
	if i == len(r.calls) {
		return
	}
	r.at(r.calls[i].Arrived, func() {
		r.arrive(i)
		r.arrivals(i + 1)
	})
}

func (r *run) arrive(i int) {
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
		r.progress[i].over = true
		return
	}
	r.at(c.Deadline, func() { r.giveUp(i) })
	r.send(i, &decision)
}

func (r *run) send(i int, decision *core.Decision) {
	c := &r.calls[i]
	r.jobs++
	p := &r.progress[i]
	p.attempts++
	j := &job{
		call: c, number: i, seq: r.jobs, decision: *decision,
		remaining: float64(c.PromptTokens), kv: c.PromptTokens + c.output,
	}
	p.job = j
	if c.Service != "" {
		j.server = r.servers[r.fleet.index(decision.Target)]
		r.fleet.sent(r.now, j)
		r.at(r.now.Add(r.deployment.Latency), func() { r.serverReceives(j) })
		return
	}
	j.target = r.engines[r.fleet.index(decision.Target)]
	j.prefill = j.target
	if decision.Prefill != "" {
		j.prefill = r.engines[r.fleet.index(decision.Prefill)]
	}
	r.fleet.sent(r.now, j)
	delay := r.deployment.Latency
	if decision.ImportFrom != "" && c.prefix != 0 {
		j.importFrom = r.engines[r.fleet.index(decision.ImportFrom)]
		delay += r.transferTime(c.prefixTokens)
	}
	r.at(r.now.Add(delay), func() { r.engineReceives(j) })
}

func (r *run) transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.deployment.EngineModel.TransferRate * float64(time.Second))
}

// giveUp ends a call whose deadline has passed and cancels its work.
func (r *run) giveUp(i int) {
	p := &r.progress[i]
	if p.over {
		return
	}
	if j := p.job; j != nil && j.stage != stageOver {
		r.cancel(j)
	}
	r.finish(i, false)
}

// finish records the outcome of a call that was admitted.
func (r *run) finish(i int, inTime bool) {
	c := &r.calls[i]
	r.progress[i].over = true
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

// complete hands a full answer to the caller and checks it against the kind's limits.
func (r *run) complete(j *job) {
	j.stage = stageOver
	r.fleet.finished(j)
	i := j.number
	r.at(r.now.Add(r.deployment.Latency), func() {
		if p := &r.progress[i]; !p.over {
			r.finish(i, inTime(j.call, p.first, r.now))
		}
	})
}

// inTime reports whether an answer that is complete now kept the limits of its kind.
func inTime(c *call, first, now core.Instant) bool {
	if now > c.Deadline {
		return false
	}
	if c.Kind.FirstToken > 0 && first.Sub(c.Arrived) > c.Kind.FirstToken {
		return false
	}
	mean := now.Sub(first) / time.Duration(max(1, c.output))
	return c.Kind.BetweenTokens <= 0 || mean <= c.Kind.BetweenTokens
}

// lose ends an attempt whose target crashed or refused it, and tries the call again
// elsewhere when it may be repeated.
func (r *run) lose(j *job) {
	if j.stage == stageOver {
		return
	}
	j.stage = stageOver
	r.lost++
	r.fleet.finished(j)
	i := j.number
	r.at(r.now.Add(crashDetection), func() {
		p := &r.progress[i]
		if p.over {
			return
		}
		c := &r.calls[i]
		if !c.Kind.Repeatable || p.attempts >= maximumAttempts {
			r.finish(i, false)
			return
		}
		decision := r.policy.Route(r.now, &c.Request, r.fleet)
		if !decision.Found() {
			r.finish(i, false)
			return
		}
		r.send(i, &decision)
	})
}

func (r *run) serverReceives(j *job) {
	if j.stage == stageOver {
		return
	}
	j.stage = stageWaiting
	j.server.queue.push(j)
	r.serve(j.server)
}

func (r *run) serve(s *server) {
	s.start(func(j *job) {
		r.at(r.now.Add(j.call.serviceTime), func() {
			s.busy--
			if j.stage != stageOver {
				r.progress[j.number].first = r.now
				r.complete(j)
			}
			r.serve(s)
		})
	})
}
