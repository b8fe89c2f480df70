package check

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
)

// proposalTime is how long an operator waits for the outcome of a proposal.
const proposalTime = 10 * time.Second

// proposalFaults is the part of the transactions of proposals at which a fault is
// brought about. Leases and claims share the instances, and more faults would leave
// them few quiet spells in which a safeguard that is missing shows.
const proposalFaults = 0.08

// settleTries bounds how often an operator asks for an unknown outcome.
const settleTries = 20

// revisions is the part of the configuration: operators propose changes, and
// instances put accepted revisions in force.
type revisions struct {
	w         *world
	proposals []*proposal
	// reads are the heads that were read, with the time of the reads.
	reads []*headStep
	// contents holds what was put in force under each revision.
	contents map[core.Revision]string
}

// proposal is one change that an operator proposed, as the operator saw it.
type proposal struct {
	operator, note, change string

	seen             core.Revision
	called, returned uint64
	// attempt is empty until the store draws it.
	attempt core.AttemptID
	// answers holds the answer of Propose and then those of ResolveOutcome; it is empty while
	// the proposal has not returned, and stays so if its instance is killed.
	answers []proposalAnswer
}

// proposalAnswer is one outcome that an operator was told.
type proposalAnswer struct {
	configuration.Proposal
	called, returned uint64
}

func newRevisions(w *world) *revisions {
	p := &revisions{w: w, contents: map[core.Revision]string{}}
	// Other histories have a restart only where a kill is drawn.
	if w.chance(0.5) {
		w.after(w.between(5*time.Second, faultTime), w.restartOne)
	}
	return p
}

// restartOne ends a process and starts it again at once, without what it held.
func (w *world) restartOne() {
	if i := w.pick(); w.liveCount() > 1 {
		w.faults["Restart"]++
		i.kill()
		w.after(w.between(100*time.Millisecond, time.Second), w.startInstance)
	}
}

func (p *revisions) start(i *instance) {
	w := p.w
	i.applier = configuration.NewApplier()
	if w.mutation.noRevisionComparison {
		i.applier.DisableRevisionCheck()
	}
	w.spawn(i, func() {
		for {
			w.sleep(w.between(time.Second, 6*time.Second))
			p.pull(i)
		}
	})
	w.spawn(i, func() {
		for {
			w.sleep(w.between(500*time.Millisecond, 20*time.Second))
			if !w.quiet {
				p.race(i)
			}
		}
	})
}

// store returns the store as an instance uses it. attempts may be nil for reads.
func (p *revisions) store(i *instance, attempts func() core.AttemptID) *configuration.Store {
	return configuration.NewStore(configuration.Options{
		Table: operatorView{i.view, i}, NewAttemptID: attempts, InForce: i.applier,
	})
}

// readHead reads the head and notes it for the check.
func (p *revisions) readHead(i *instance) (configuration.Head, error) {
	called := p.w.tick()
	head, err := p.store(i, nil).Head(context.Background())
	if err == nil {
		p.reads = append(p.reads, readOf(head, called, p.w.tick()))
	}
	return head, err
}

// race lets up to three operators on different instances propose changes to the same
// revision. It is the newest, or the one in force here, which may be old.
func (p *revisions) race(i *instance) {
	w := p.w
	seen := i.applier.Revision()
	if w.chance(0.7) {
		head, err := p.readHead(i)
		if err != nil {
			return
		}
		seen = head.Revision
	}
	for range 1 + w.random.IntN(3) {
		other := w.liveInstance(i)
		w.spawn(other, func() {
			w.sleep(w.between(0, 10*time.Millisecond))
			p.propose(other, seen)
		})
	}
}

// propose proposes one change, settles an unknown outcome and pushes what was
// accepted.
func (p *revisions) propose(i *instance, seen core.Revision) {
	w := p.w
	change := configuration.Change{
		Operation: p.operation(seen), Operator: "on " + string(i.id), Note: "n" + formatSerial(w.tick()),
	}
	r := &proposal{
		operator: change.Operator, note: change.Note, change: change.Operation.String(), seen: seen, called: w.tick(),
	}
	p.proposals = append(p.proposals, r)
	store := p.store(i, func() core.AttemptID {
		r.attempt = w.attempt()
		return r.attempt
	})
	ctx, cancel := i.clock.WithDeadline(context.Background(), i.clock.Now().Add(proposalTime))
	defer cancel()
	outcome := store.Propose(ctx, seen, change)
	r.returned = w.tick()
	r.answers = append(r.answers, proposalAnswer{outcome, r.called, r.returned})
	w.activity["Proposal"+outcome.Kind.String()]++
	if r.changedNothing() {
		r.attempt = "" // drawn and not written
	}
	for tries := 0; outcome.Kind == configuration.ProposalUnknown && tries < settleTries; tries++ {
		w.sleep(w.between(500*time.Millisecond, 5*time.Second))
		outcome = p.settle(i, r)
	}
	if outcome.Kind == configuration.ProposalAccepted {
		p.push(i, seen, outcome.Revision)
	}
	if r.attempt != "" && w.chance(0.2) {
		w.sleep(w.between(0, 20*time.Second))
		p.settle(i, r)
	}
}

// settle asks for the outcome of a proposal and notes the answer.
func (p *revisions) settle(i *instance, r *proposal) configuration.Proposal {
	called := p.w.tick()
	outcome := p.store(i, nil).ResolveOutcome(context.Background(), r.attempt, r.seen+1)
	r.answers = append(r.answers, proposalAnswer{outcome, called, p.w.tick()})
	p.w.activity["Settled"+outcome.Kind.String()]++
	return outcome
}

// operation returns a random change to a revision. Some change nothing, and some are
// invalid.
func (p *revisions) operation(seen core.Revision) configuration.Operation {
	w := p.w
	if seen == 0 {
		return configuration.Replace{Configuration: firstConfiguration()}
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

func firstConfiguration() core.Configuration {
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

// operatorView is the table of the configuration store. It brings faults about at the
// transactions of proposals, which faults at random times rarely hit.
type operatorView struct {
	core.Table
	i *instance
}

// Transact runs a transaction.
func (v operatorView) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	w := v.i.w
	if !w.quiet && w.chance(proposalFaults) {
		switch w.random.IntN(4) {
		case 0:
			v.i.loseReplies++
		case 1:
			// Enough for all tries of the store: the outcome is told late.
			v.i.lateWrites += 3
		case 2:
			v.i.pausedUntil = max(v.i.pausedUntil, w.now+w.between(time.Second, 8*time.Second))
			w.faults["PauseAtProposal"]++
		case 3:
			v.i.loseReplies++
			w.after(2*time.Millisecond, func() {
				if !w.quiet {
					v.i.cutUntil = max(v.i.cutUntil, w.now+w.between(time.Second, 8*time.Second))
					w.faults["PartitionAtProposal"]++
				}
			})
		}
	}
	return v.Table.Transact(ctx, attempt, writes)
}

func (r *proposal) String() string {
	return fmt.Sprintf("proposal %s to revision %d by %s (%s)", r.note, r.seen, r.operator, r.change)
}
