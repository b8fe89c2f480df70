package bench

import (
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
	"gorseline/core/routing"
)

// Every cacheEventLossPeriod-th cache event of an engine is lost.
const cacheEventLossPeriod = 50

// fleet is the router's view of the targets. It is the routing store that production uses,
// updated with delayed load reports and with delayed and incomplete cache events.
type fleet struct {
	*routing.Store
	events    *eventQueue
	reportLag time.Duration
	engineIDs []core.TargetID
	indexes   map[core.TargetID]int
	// unfinished counts the unfinished attempts per engine. An attempt counts on its
	// prefill engine until the prompt is computed, and on its target until it ends.
	unfinished []int
	// operatorDrained and changingRole are the two reasons for draining an engine: an
	// operator has requested it, or the engine is to change its role.
	operatorDrained, changingRole []bool
	drained                       map[core.TargetID]bool
	// prefixBlocks are the block hashes of each shared prefix.
	prefixBlocks [][]uint64
	// cacheSequences holds the sequence number of the latest cache event of each engine.
	cacheSequences []uint64
}

func newFleet(d *Deployment, s *Scenario, events *eventQueue) *fleet {
	n := len(d.Engines)
	f := &fleet{
		Store: routing.NewStore(routing.StoreOptions{}), events: events, reportLag: s.ReportLag,
		indexes: map[core.TargetID]int{}, unfinished: make([]int, n), operatorDrained: make([]bool, n),
		changingRole: make([]bool, n), drained: map[core.TargetID]bool{},
		prefixBlocks: prefixBlocks(d), cacheSequences: make([]uint64, n),
	}
	f.SetTargets(append(append([]core.Target{}, d.Engines...), d.Servers...))
	for i, target := range d.Engines {
		f.engineIDs = append(f.engineIDs, target.ID)
		f.indexes[target.ID] = i
	}
	for i, target := range d.Servers {
		f.indexes[target.ID] = i
	}
	f.warmUp(d)
	return f
}

// warmUpAnswers is the number of answers per target that the store observes before the
// trace begins.
const warmUpAnswers = 300

// warmUp adds observations to the store, so that it estimates the targets' rates like the
// store of a long-running instance.
func (f *fleet) warmUp(d *Deployment) {
	m := &d.EngineModel
	const promptTokens = 4000
	for i := range warmUpAnswers {
		sequences := 1 + i*7%m.Slots
		step := seconds(m.stepTime(sequences))
		for _, target := range d.Engines {
			f.Observe(target.ID, estimate.Observation{
				Computed: promptTokens, FirstToken: seconds(promptTokens/m.PrefillRate) + step,
				Sequences: sequences, BetweenTokens: step,
			})
		}
		ahead := 1 + i%(2*d.ServerSlots)
		mean := d.meanServiceTime()
		for _, target := range d.Servers {
			f.Observe(target.ID, estimate.Observation{
				Sequences: ahead, BetweenTokens: mean + mean/time.Duration(d.ServerSlots)*time.Duration(ahead),
			})
		}
	}
}

// meanServiceTime returns the mean duration of the calls of all plain services.
func (d *Deployment) meanServiceTime() time.Duration {
	total, rate := 0.0, 0.0
	for i := range d.Workloads {
		if w := &d.Workloads[i]; w.Service != "" {
			total += w.Rate * w.ServiceTime.Seconds()
			rate += w.Rate
		}
	}
	if rate == 0 {
		return 0
	}
	return seconds(total / rate)
}

// index returns the position of a target among the engines or the servers.
func (f *fleet) index(id core.TargetID) int { return f.indexes[id] }

// engineStates returns the states of the engines, in their configured order.
func (f *fleet) engineStates() []core.TargetState {
	states := make([]core.TargetState, len(f.engineIDs))
	for i, id := range f.engineIDs {
		states[i], _ = f.State(id)
	}
	return states
}

// inFlight returns the number of unfinished attempts of an engine.
func (f *fleet) inFlight(e *engine) int { return f.unfinished[e.index] }

// recordSent records that an attempt was sent to its targets.
func (f *fleet) recordSent(now core.Instant, j *job) {
	f.Sent(now, &j.call.Request, j.decision)
	if j.server != nil {
		return
	}
	f.unfinished[j.target.index]++
	if j.prefill != j.target {
		f.unfinished[j.prefill.index]++
		j.countedOnPrefill = true
	}
}

// recordPromptComputed records that a separate prefill engine has finished its part of an
// attempt.
func (f *fleet) recordPromptComputed(j *job) {
	if j.countedOnPrefill {
		j.countedOnPrefill = false
		f.unfinished[j.prefill.index]--
	}
}

// recordFinished records the end of an attempt with any outcome.
func (f *fleet) recordFinished(j *job) {
	f.Finished(f.events.now, j.decision)
	if j.server == nil {
		f.recordPromptComputed(j)
		f.unfinished[j.target.index]--
	}
}

// publishCacheEvents delivers the cache events of a segment to the store after the report
// lag. Some events are lost.
func (f *fleet) publishCacheEvents(e *engine, id uint64, evicted bool) {
	if id > uint64(len(f.prefixBlocks)) {
		return // the router has no block hashes of the rest of a prompt
	}
	blocks := f.prefixBlocks[id-1]
	events := make([]core.CacheEvent, 0, len(blocks))
	for _, block := range blocks {
		f.cacheSequences[e.index]++
		if f.cacheSequences[e.index]%cacheEventLossPeriod != 0 {
			events = append(events, core.CacheEvent{Sequence: f.cacheSequences[e.index], Block: block, Evicted: evicted})
		}
	}
	f.events.schedule(f.events.now.Add(f.reportLag), func() { f.CacheEvents(e.ID, events) })
}

// setOperatorDrained starts or ends the drain by an operator.
func (f *fleet) setOperatorDrained(e *engine, drained bool) {
	f.operatorDrained[e.index] = drained
	f.updateDrains(e)
}

// setChangingRole starts or ends the drain for a role change.
func (f *fleet) setChangingRole(e *engine, changing bool) {
	f.changingRole[e.index] = changing
	f.updateDrains(e)
}

func (f *fleet) updateDrains(e *engine) {
	f.drained[e.ID] = f.operatorDrained[e.index] || f.changingRole[e.index]
	f.SetDrained(f.drained)
}

// setCircuit opens or closes the circuit breaker of an engine that has crashed or restarted.
// The cache of such an engine is empty, so its entries of the prefix index are removed.
func (f *fleet) setCircuit(e *engine, open bool) {
	f.SetCircuit(e.ID, open)
	f.ClearPrefixes(e.ID)
	f.cacheSequences[e.index] = 0
}
