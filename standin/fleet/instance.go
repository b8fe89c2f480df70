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

// tickInterval is the tick interval of production.
const tickInterval = 100 * time.Millisecond

// Instance is a simulated instance of a Fleet.
type Instance struct {
	membership.Record
	// Node, Applier and Isolation are the state of the current process; Restart
	// replaces them.
	Node      *propagation.Node
	Applier   *configuration.Applier
	Isolation *configuration.IsolationDetector

	fleet   *Fleet
	store   *configuration.Store
	running bool
	// process counts the starts of the instance. Events that an earlier process
	// scheduled are dropped.
	process      int
	pausedUntil  core.Instant
	lastRevision core.Revision
	reverts      int
	traffic      Traffic
	// revisionCheckDisabled applies to the current and all later processes.
	revisionCheckDisabled bool
}

// Running reports whether the process of the instance is running. A paused process counts
// as running.
func (i *Instance) Running() bool { return i.running }

// Ready reports whether the instance accepts new work and, if not, the reason.
func (i *Instance) Ready() configuration.Readiness { return i.Isolation.Ready(i.fleet.now) }

// Reverts returns how often a process of the instance replaced its revision in force by
// an older one. A restart is not counted.
func (i *Instance) Reverts() int { return i.reverts }

// Traffic returns the traffic that the instance sent and received.
func (i *Instance) Traffic() Traffic { return i.traffic }

// DisableRevisionCheck makes the instance apply older revisions too. Mutation tests use it
// to show that they would detect a revert.
func (i *Instance) DisableRevisionCheck() {
	i.revisionCheckDisabled = true
	i.Applier.DisableRevisionCheck()
}

// Kill terminates the process without a leave announcement.
func (i *Instance) Kill() { i.running = false }

// Pause suspends the process for d. Messages and timers that are due in this time are
// handled when it ends.
func (i *Instance) Pause(d time.Duration) { i.pausedUntil = i.fleet.now.Add(d) }

// Restart kills the process and starts one with the same identity and empty state.
func (i *Instance) Restart() {
	i.Kill()
	i.start()
}

// Leave announces to the members that the instance leaves. The process runs until Kill.
func (i *Instance) Leave() { i.startCalls(i.Node.Leave(i.fleet.now)) }

// Propose proposes a change through this instance. base is the revision that the change is
// based on; the proposal conflicts if a newer one has been accepted.
func (i *Instance) Propose(base core.Revision, operation configuration.Operation) configuration.Proposal {
	p := i.store.Propose(context.Background(), base, configuration.Change{
		Operation: operation, Operator: string(i.ID),
	})
	if p.Kind == configuration.ProposalAccepted {
		i.startCalls(i.Node.HandleAcceptedChange(i.fleet.now))
	}
	return p
}

func (i *Instance) start() {
	f := i.fleet
	i.running = true
	i.process++
	i.lastRevision = 0
	i.Applier = configuration.NewApplier()
	if i.revisionCheckDisabled {
		i.Applier.DisableRevisionCheck()
	}
	i.store = configuration.NewStore(configuration.Options{Table: f.table, NewAttemptID: f.newAttemptID, InForce: i.Applier})
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
	firstTick := time.Duration(f.rng.Int64N(int64(time.Second)))
	if f.now > 0 {
		firstTick = time.Duration(f.rng.Int64N(int64(tickInterval)))
	}
	i.schedule(firstTick, i.tick)
}

func (i *Instance) tick() {
	i.startCalls(i.Node.Tick(i.fleet.now))
	i.schedule(tickInterval, i.tick)
}

// schedule runs a step of the current process after d of virtual time, or when a pause
// that lasts longer ends. The step is dropped if the process ends first.
func (i *Instance) schedule(d time.Duration, step func()) {
	process := i.process
	var run func()
	run = func() {
		if !i.running || i.process != process {
			return
		}
		if wait := i.pausedUntil.Sub(i.fleet.now); wait > 0 {
			i.fleet.schedule(wait, run)
			return
		}
		step()
		i.countRevert()
	}
	i.fleet.schedule(d, run)
}

// countRevert counts a revert if the revision in force is older than at the last step.
func (i *Instance) countRevert() {
	revision := i.Applier.Revision()
	if revision < i.lastRevision {
		i.reverts++
	}
	i.lastRevision = revision
}

// startCalls starts the calls that a step of the node requests.
func (i *Instance) startCalls(calls []propagation.Call) {
	for _, call := range calls {
		switch call.Kind {
		case propagation.CallHead, propagation.CallUpdates, propagation.CallLoad:
			i.callStore(call)
		default:
			i.callPeer(call)
		}
	}
}

func (i *Instance) handleResult(call propagation.Call, result propagation.Result) {
	i.startCalls(i.Node.HandleResult(i.fleet.now, call, result))
}
