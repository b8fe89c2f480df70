package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
)

// tickInterval equals that of the real component.
const tickInterval = 100 * time.Millisecond

// Instance is one instance of the fleet.
type Instance struct {
	membership.Record
	// Node, Applier and Isolation belong to the current process.
	Node      *propagation.Node
	Applier   *configuration.Applier
	Isolation *configuration.IsolationDetector

	fleet   *Fleet
	store   *configuration.Store
	running bool
	// process counts starts: events of an earlier process are dropped.
	process     int
	pausedUntil core.Instant
	last        core.Revision
	reverts     int
	traffic     Traffic
	// ignoreRevisions is passed to the applier of each process.
	ignoreRevisions bool
}

// Running reports whether the process of the instance lives.
func (i *Instance) Running() bool { return i.running }

// Ready reports whether the instance takes new work.
func (i *Instance) Ready() configuration.Readiness { return i.Isolation.Ready(i.fleet.now) }

// Reverts returns how often the revision in force went backwards within one
// process.
func (i *Instance) Reverts() int { return i.reverts }

// Traffic returns what the instance sent and received.
func (i *Instance) Traffic() Traffic { return i.traffic }

// DisableRevisionCheck makes the instance apply old revisions too, for mutation checks.
func (i *Instance) DisableRevisionCheck() {
	i.ignoreRevisions = true
	i.Applier.DisableRevisionCheck()
}

// Kill ends the process at once.
func (i *Instance) Kill() { i.running = false }

// Pause stops the process for some time; messages wait.
func (i *Instance) Pause(d time.Duration) { i.pausedUntil = i.fleet.now.Add(d) }

// Restart starts a new process with the same identity and nothing remembered.
func (i *Instance) Restart() {
	i.Kill()
	i.begin()
}

// Leave announces that the instance leaves; it goes on until Kill.
func (i *Instance) Leave() { i.make(i.Node.Leave(i.fleet.now)) }

// Propose proposes a change through this instance.
func (i *Instance) Propose(seen core.Revision, operation configuration.Operation) configuration.Proposal {
	p := i.store.Propose(context.Background(), seen, configuration.Change{
		Operation: operation, Operator: string(i.ID),
	})
	if p.Kind == configuration.ProposalAccepted {
		i.make(i.Node.HandleAcceptedChange(i.fleet.now))
	}
	return p
}

func (i *Instance) begin() {
	f := i.fleet
	i.running = true
	i.process++
	i.last = 0
	i.Applier = configuration.NewApplier()
	if i.ignoreRevisions {
		i.Applier.DisableRevisionCheck()
	}
	i.store = configuration.NewStore(configuration.Options{Table: f.table, NewAttemptID: f.attempt, InForce: i.Applier})
	i.Isolation = configuration.NewIsolationDetector(i.Applier)
	i.Node = propagation.NewNode(propagation.Options{
		Self: i.Record, Random: rand.New(rand.NewPCG(f.rng.Uint64(), 0)),
		Applier: i.Applier, Isolation: i.Isolation,
	})
	var seeds []core.ListedInstance
	for _, other := range f.instances {
		seeds = append(seeds, core.ListedInstance{ID: other.ID, Address: other.Address, DataCentre: other.DataCentre})
	}
	i.Node.Members().SetSeeds(seeds)
	first := time.Duration(f.rng.Int64N(int64(time.Second)))
	if f.now > 0 {
		first = time.Duration(f.rng.Int64N(int64(tickInterval)))
	}
	i.later(first, i.tick)
}

func (i *Instance) tick() {
	i.make(i.Node.Tick(i.fleet.now))
	i.later(tickInterval, i.tick)
}

// later runs a step of the current process after some time. It waits while the
// process is paused, and is dropped with the process.
func (i *Instance) later(d time.Duration, step func()) {
	process := i.process
	var run func()
	run = func() {
		if !i.running || i.process != process {
			return
		}
		if wait := i.pausedUntil.Sub(i.fleet.now); wait > 0 {
			i.fleet.after(wait, run)
			return
		}
		step()
		i.observe()
	}
	i.fleet.after(d, run)
}

// observe checks that the revision in force never goes backwards.
func (i *Instance) observe() {
	revision := i.Applier.Revision()
	if revision < i.last {
		i.reverts++
	}
	i.last = revision
}

// make starts the calls of a step.
func (i *Instance) make(calls []propagation.Call) {
	for _, call := range calls {
		switch call.Kind {
		case propagation.CallHead, propagation.CallUpdates, propagation.CallLoad:
			i.callStore(call)
		default:
			i.callPeer(call)
		}
	}
}

func (i *Instance) done(call propagation.Call, result propagation.Result) {
	i.make(i.Node.HandleResult(i.fleet.now, call, result))
}
