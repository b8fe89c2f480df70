package check

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
)

// proposalTimeout is how long an operator waits for the outcome of a proposal.
const proposalTimeout = 10 * time.Second

// proposalFaultRate is the share of the transactions of proposals at which a fault is
// injected. All workloads share the instances, so a higher rate would leave leases and claims
// too few periods without faults, in which a missing safeguard shows.
const proposalFaultRate = 0.08

// maxResolveTries bounds how often an operator asks for an unknown outcome.
const maxResolveTries = 20

// revisionWorkload proposes changes of the configuration as operators do, applies accepted
// revisions on the instances, and checks the history of the head.
type revisionWorkload struct {
	w         *world
	proposals []*proposal
	// reads holds the reads of the head.
	reads []*headStep
	// contents holds the configuration that was applied as each revision.
	contents map[core.Revision]string
}

// proposal is one change that an operator proposed, and the answers to it.
type proposal struct {
	operator, note, change string

	// seen is the revision that the change is based on.
	seen core.Revision
	// called and returned are the logical times of Propose.
	called, returned uint64
	// attempt is the ID of the write. It is empty until the store requests it, and again
	// when Propose has returned without a new revision.
	attempt core.AttemptID
	// answers holds the answer of Propose, followed by those of ResolveOutcome. It is empty
	// until Propose returns, and stays empty if the instance is killed before.
	answers []proposalAnswer
}

// proposalAnswer is one outcome that was reported to an operator, with the logical times
// of the call.
type proposalAnswer struct {
	configuration.Proposal
	called, returned uint64
}

func newRevisionWorkload(w *world) *revisionWorkload {
	wl := &revisionWorkload{w: w, contents: map[core.Revision]string{}}
	// Half of the histories schedule a restart here. In the others, an instance restarts only
	// if a fault that ends one is drawn.
	if w.chance(0.5) {
		w.after(w.between(5*time.Second, faultPhase), w.restartOne)
	}
	return wl
}

// restartOne kills an instance and starts a new one within a second, without the state of
// the old one.
func (w *world) restartOne() {
	if i := w.randomLive(); w.liveCount() > 1 {
		w.faults["Restart"]++
		i.kill()
		w.after(w.between(100*time.Millisecond, time.Second), w.startInstance)
	}
}

func (wl *revisionWorkload) start(i *instance) {
	w := wl.w
	i.applier = configuration.NewApplier()
	if w.mutation.noRevisionCheck {
		i.applier.DisableRevisionCheck()
	}
	w.spawn(i, func() {
		for {
			w.sleep(w.between(time.Second, 6*time.Second))
			wl.pull(i)
		}
	})
	w.spawn(i, func() {
		for {
			w.sleep(w.between(500*time.Millisecond, 20*time.Second))
			if !w.recovering {
				wl.proposeConcurrently(i)
			}
		}
	})
}

// store returns a store that uses the table of an instance. attempts may be nil for reads.
func (wl *revisionWorkload) store(i *instance, attempts func() core.AttemptID) *configuration.Store {
	return configuration.NewStore(configuration.Options{
		Table: proposalTable{i.table, i}, NewAttemptID: attempts, InForce: i.applier,
	})
}

// readHead reads the head and records the read for the check.
func (wl *revisionWorkload) readHead(i *instance) (configuration.Head, error) {
	called := wl.w.tick()
	head, err := wl.store(i, nil).Head(context.Background())
	if err == nil {
		wl.reads = append(wl.reads, headReadStep(head, called, wl.w.tick()))
	}
	return head, err
}

// proposeConcurrently lets up to three operators, on random instances, propose changes to
// the same revision: the newest, or the one in force on i, which may be outdated.
func (wl *revisionWorkload) proposeConcurrently(i *instance) {
	w := wl.w
	seen := i.applier.Revision()
	if w.chance(0.7) {
		head, err := wl.readHead(i)
		if err != nil {
			return
		}
		seen = head.Revision
	}
	for range 1 + w.random.IntN(3) {
		other := w.randomLiveOr(i)
		w.spawn(other, func() {
			w.sleep(w.between(0, 10*time.Millisecond))
			wl.propose(other, seen)
		})
	}
}

// propose proposes one change, resolves an unknown outcome and pushes an accepted
// revision.
func (wl *revisionWorkload) propose(i *instance, seen core.Revision) {
	w := wl.w
	change := configuration.Change{
		Operation: wl.operation(seen), Operator: "on " + string(i.id), Note: "n" + formatSerial(w.tick()),
	}
	p := &proposal{
		operator: change.Operator, note: change.Note, change: change.Operation.String(), seen: seen, called: w.tick(),
	}
	wl.proposals = append(wl.proposals, p)
	store := wl.store(i, func() core.AttemptID {
		p.attempt = w.newAttemptID()
		return p.attempt
	})
	ctx, cancel := i.clock.WithDeadline(context.Background(), i.clock.Now().Add(proposalTimeout))
	defer cancel()
	outcome := store.Propose(ctx, seen, change)
	p.returned = w.tick()
	p.answers = append(p.answers, proposalAnswer{outcome, p.called, p.returned})
	w.activity["Proposal"+outcome.Kind.String()]++
	if p.isNoOp() {
		p.attempt = "" // requested, but not written
	}
	for tries := 0; outcome.Kind == configuration.ProposalUnknown && tries < maxResolveTries; tries++ {
		w.sleep(w.between(500*time.Millisecond, 5*time.Second))
		outcome = wl.resolveOutcome(i, p)
	}
	if outcome.Kind == configuration.ProposalAccepted {
		wl.push(i, seen, outcome.Revision)
	}
	if p.attempt != "" && w.chance(0.2) {
		w.sleep(w.between(0, 20*time.Second))
		wl.resolveOutcome(i, p)
	}
}

// resolveOutcome asks for the outcome of a proposal and records the answer.
func (wl *revisionWorkload) resolveOutcome(i *instance, p *proposal) configuration.Proposal {
	called := wl.w.tick()
	outcome := wl.store(i, nil).ResolveOutcome(context.Background(), p.attempt, p.seen+1)
	p.answers = append(p.answers, proposalAnswer{outcome, called, wl.w.tick()})
	wl.w.activity["Settled"+outcome.Kind.String()]++
	return outcome
}

// operation returns a random change to a revision. Some changes have no effect, and some
// are invalid.
func (wl *revisionWorkload) operation(seen core.Revision) configuration.Operation {
	w := wl.w
	if seen == 0 {
		return configuration.Replace{Configuration: initialConfiguration()}
	}
	name := "P" + strconv.Itoa(w.random.IntN(3))
	switch w.random.IntN(8) {
	case 0:
		return configuration.Restore{Revision: 1 + core.Revision(w.random.Uint64N(uint64(seen)))}
	case 1:
		return configuration.DrainTarget{Target: "t0", Undrain: w.chance(0.5)}
	case 2, 3:
		return configuration.PutPreset{Preset: core.Preset{Name: name, Policy: "Full", UrgentShare: w.random.Float64()}}
	case 4:
		return configuration.PutPolicy{Policy: core.PolicyDocument{Name: "Full", Type: "T" + name}}
	case 5:
		return configuration.SwitchPreset{Name: "P" + strconv.Itoa(w.random.IntN(5))} // P3 and P4 don't exist
	}
	return configuration.SwitchPreset{Name: name}
}

func initialConfiguration() core.Configuration {
	c := core.Configuration{
		PresetInForce: "P0",
		Presets:       map[string]core.Preset{},
		Policies:      map[string]core.PolicyDocument{"Full": {Name: "Full", Type: "T"}},
		Targets:       []core.Target{{ID: "t0", Service: "s", Address: "127.0.0.1:1", Models: []core.Model{"m"}, Role: core.RoleMixed}},
	}
	for n := range 3 {
		name := "P" + strconv.Itoa(n)
		c.Presets[name] = core.Preset{Name: name, Policy: "Full"}
	}
	return c
}

// proposalTable is the table of the configuration store. It injects faults at the
// transactions of proposals, which faults at random times rarely hit.
type proposalTable struct {
	core.Table
	i *instance
}

// Transact runs a transaction.
func (t proposalTable) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	w := t.i.w
	if !w.recovering && w.chance(proposalFaultRate) {
		switch w.random.IntN(4) {
		case 0:
			t.i.loseTableReplies++
		case 1:
			// Delays every try of the store, so the outcome is known only later.
			t.i.delayWrites += 3
		case 2:
			t.i.pausedUntil = max(t.i.pausedUntil, w.now+w.between(time.Second, 8*time.Second))
			w.faults["PauseAtProposal"]++
		case 3:
			t.i.loseTableReplies++
			w.after(2*time.Millisecond, func() {
				if !w.recovering {
					t.i.partitionedUntil = max(t.i.partitionedUntil, w.now+w.between(time.Second, 8*time.Second))
					w.faults["PartitionAtProposal"]++
				}
			})
		}
	}
	return t.Table.Transact(ctx, attempt, writes)
}

func (p *proposal) String() string {
	return fmt.Sprintf("proposal %s to revision %d by %s (%s)", p.note, p.seen, p.operator, p.change)
}
