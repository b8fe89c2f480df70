package bench

import (
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
	"gorseline/core/routing"
)

// cacheEventLoss is how many cache events arrive for each one that is lost.
const cacheEventLoss = 50

// fleet is what the router knows about the targets. It feeds the store that
// production uses with late reports and with late, incomplete cache events.
type fleet struct {
	*routing.Store
	clock     *agenda
	lag       time.Duration
	ids       []core.TargetID
	positions map[core.TargetID]int
	// assigned counts the unfinished work per engine, that of prompts included.
	assigned []int
	// withdrawn and moving are the two reasons for a drain.
	withdrawn, moving []bool
	drained           map[core.TargetID]bool
	// blocks are the block hashes of each shared prefix.
	blocks    [][]uint64
	sequences []uint64
}

func newFleet(d *Deployment, s *Scenario, clock *agenda) *fleet {
	n := len(d.Engines)
	f := &fleet{
		Store: routing.NewStore(routing.StoreOptions{}), clock: clock, lag: s.ReportLag,
		positions: map[core.TargetID]int{}, assigned: make([]int, n), withdrawn: make([]bool, n),
		moving: make([]bool, n), drained: map[core.TargetID]bool{},
		blocks: prefixBlocks(d), sequences: make([]uint64, n),
	}
	f.SetTargets(append(append([]core.Target{}, d.Engines...), d.Servers...))
	for i, target := range d.Engines {
		f.ids = append(f.ids, target.ID)
		f.positions[target.ID] = i
	}
	for i, target := range d.Servers {
		f.positions[target.ID] = i
	}
	f.learn(d)
	return f
}

// learnedAnswers is the number of answers per target that the rates are learned from
// before the trace begins.
const learnedAnswers = 300

// learn teaches the store the targets' rates, as a long-running instance knows them.
func (f *fleet) learn(d *Deployment) {
	m := &d.EngineModel
	const prompt = 4000
	for i := range learnedAnswers {
		sequences := 1 + i*7%m.Slots
		step := seconds(m.stepTime(sequences))
		for _, target := range d.Engines {
			f.Observe(target.ID, estimate.Observation{
				Computed: prompt, FirstToken: seconds(prompt/m.PrefillRate) + step,
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

// meanServiceTime is the mean time of a call of a plain service.
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
func (f *fleet) index(id core.TargetID) int { return f.positions[id] }

// engines returns what is known about the engines, in their configured order.
func (f *fleet) engines() []core.TargetState {
	states := make([]core.TargetState, len(f.ids))
	for i, id := range f.ids {
		states[i], _ = f.State(id)
	}
	return states
}

func (f *fleet) inFlight(e *engine) int { return f.assigned[e.index] }

// sent notes a request that leaves for its targets.
func (f *fleet) sent(now core.Instant, j *job) {
	f.Sent(now, &j.call.Request, j.decision)
	if j.server != nil {
		return
	}
	f.assigned[j.target.index]++
	if j.prefill != j.target {
		f.assigned[j.prefill.index]++
		j.paired = true
	}
}

// prompted notes that the prefill engine of a pair has handed the prompt over.
func (f *fleet) prompted(j *job) {
	if j.paired {
		j.paired = false
		f.assigned[j.prefill.index]--
	}
}

// finished notes the end of an attempt, whatever its outcome.
func (f *fleet) finished(j *job) {
	f.Finished(f.clock.now, j.decision)
	if j.server == nil {
		f.prompted(j)
		f.assigned[j.target.index]--
	}
}

// cacheEvent delivers the events of one segment late; some of them never arrive.
func (f *fleet) cacheEvent(e *engine, id uint64, evicted bool) {
	if id > uint64(len(f.blocks)) {
		return // hashes of the rest of a prompt are not kept
	}
	blocks := f.blocks[id-1]
	events := make([]core.CacheEvent, 0, len(blocks))
	for _, block := range blocks {
		f.sequences[e.index]++
		if f.sequences[e.index]%cacheEventLoss != 0 {
			events = append(events, core.CacheEvent{Sequence: f.sequences[e.index], Block: block, Evicted: evicted})
		}
	}
	f.clock.at(f.clock.now.Add(f.lag), func() { f.CacheEvents(e.ID, events) })
}

// withdraw sets or ends an operator's drain.
func (f *fleet) withdraw(e *engine, on bool) {
	f.withdrawn[e.index] = on
	f.drain(e)
}

// changing sets or ends the drain for a role change.
func (f *fleet) changing(e *engine, on bool) {
	f.moving[e.index] = on
	f.drain(e)
}

func (f *fleet) drain(e *engine) {
	f.drained[e.ID] = f.withdrawn[e.index] || f.moving[e.index]
	f.SetDrained(f.drained)
}

// circuit opens or closes the circuit; the hints of a crashed engine are void.
func (f *fleet) circuit(e *engine, open bool) {
	f.SetCircuit(e.ID, open)
	f.ClearPrefixes(e.ID)
	f.sequences[e.index] = 0
}
