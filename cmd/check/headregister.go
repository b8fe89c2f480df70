package check

import (
	"context"
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"

	"gorseline/core"
	"gorseline/core/configuration"
)

// headMark is the state of the head: its revision and the attempt that made it.
type headMark struct {
	revision core.Revision
	attempt  core.AttemptID
}

// headStep is one operation on the head.
type headStep struct {
	called, returned uint64
	kind             headStepKind
	// mark is the head that was read or made. For headAtMost it bounds the revision.
	mark headMark
}

type headStepKind uint8

const (
	// headRead is a read, or a conflict, that showed this head.
	headRead headStepKind = iota
	// headMade is a proposal that made this head of the revision before.
	headMade
	// headAt is a proposal that changed nothing at this revision.
	headAt
	// headAtMost is an answer that nobody has made a later revision.
	headAtMost
)

func readOf(h configuration.Head, called, returned uint64) *headStep {
	return &headStep{called, returned, headRead, headMark{h.Revision, h.Attempt}}
}

// headRegister is a register that only a comparison with the newest revision may set.
var headRegister = porcupine.Model{
	Init: func() any { return headMark{} },
	Step: func(from, input, _ any) (bool, any) {
		state, step := from.(headMark), input.(*headStep)
		switch step.kind {
		case headRead:
			return state == step.mark, state
		case headMade:
			return state.revision+1 == step.mark.revision, step.mark
		case headAt:
			return state.revision == step.mark.revision, state
		case headAtMost:
			return state.revision <= step.mark.revision, state
		}
		return false, state
	},
}

// steps returns what a proposal did to the head. made says that its row is in the
// history: a proposal without a definite answer then took effect at any later time. One
// without a row is left out, so that a head that shows it doesn't fit.
func (r *proposal) steps(made bool) (steps []*headStep) {
	own := &headStep{r.called, math.MaxInt64, headMade, headMark{r.seen + 1, r.attempt}}
	for n, a := range r.answers {
		switch {
		case a.Kind == configuration.ProposalConflict:
			steps = append(steps, readOf(a.Head, a.called, a.returned))
		case r.changedNothing() || a.Kind == configuration.ProposalInvalid:
			steps = append(steps, &headStep{a.called, a.returned, headAt, headMark{revision: r.seen}})
		case a.Kind == configuration.ProposalAccepted:
			made = true
			own.returned = min(own.returned, a.returned)
		case n > 0 && a.Kind == configuration.ProposalUnknown && a.Err == nil:
			steps = append(steps, &headStep{a.called, a.returned, headAtMost, headMark{revision: r.seen}})
		}
	}
	if made {
		steps = append(steps, own)
	}
	return steps
}

// changedNothing reports whether a proposal was accepted without a new revision.
func (r *proposal) changedNothing() bool {
	return len(r.answers) > 0 && r.answers[0].Kind == configuration.ProposalAccepted && r.answers[0].Revision == r.seen
}

// accepted reports whether the operator was told that a new revision was made.
func (r *proposal) accepted() bool {
	for _, a := range r.answers {
		if a.Kind == configuration.ProposalAccepted && !r.changedNothing() {
			return true
		}
	}
	return false
}

// check compares the history of the head with a register, and the rows of the history
// with the proposals.
func (p *revisions) check() (violations []string) {
	ctx := context.Background()
	store := configuration.NewStore(configuration.Options{Table: p.w.table})
	head, err := store.Head(ctx)
	if err != nil {
		return []string{err.Error()}
	}
	last := p.w.tick()
	p.reads = append(p.reads, readOf(head, last, p.w.tick()))
	rows, err := store.History(ctx, 0, int(head.Revision))
	if err != nil {
		return []string{"configuration: " + err.Error()}
	}
	byAttempt := make(map[core.AttemptID]configuration.Head, len(rows))
	byRevision := make(map[core.Revision]configuration.Head, len(rows))
	for _, row := range rows {
		byAttempt[row.Attempt], byRevision[row.Revision] = row, row
	}
	if byRevision[head.Revision] != head {
		violations = append(violations, fmt.Sprintf("head %+v differs from its row %+v", head, byRevision[head.Revision]))
	}
	violations = append(violations, p.checkRows(rows)...)
	var history []porcupine.Operation
	add := func(steps []*headStep) {
		for _, s := range steps {
			history = append(history, porcupine.Operation{Input: s, Call: int64(s.called), Return: int64(s.returned)})
		}
	}
	add(p.reads)
	for _, r := range p.proposals {
		row, made := byAttempt[r.attempt]
		if r.attempt != "" {
			final := store.ResolveOutcome(ctx, r.attempt, r.seen+1)
			r.answers = append(r.answers, proposalAnswer{final, p.w.tick(), p.w.tick()})
		}
		violations = append(violations, r.checkAnswers(row, made, byRevision)...)
		add(r.steps(made))
	}
	if !porcupine.CheckOperations(headRegister, history) {
		violations = append(violations, "configuration: the history of the head does not fit a compare-and-set register")
	}
	return append(violations, p.checkInForce(head.Revision)...)
}

// checkRows reports two accepted changes of one revision, and rows that belong to no
// proposal or to another one.
func (p *revisions) checkRows(rows []configuration.Head) (violations []string) {
	byAttempt, winners := map[core.AttemptID]*proposal{}, map[core.Revision]*proposal{}
	for _, r := range p.proposals {
		if r.attempt != "" {
			byAttempt[r.attempt] = r
		}
		if !r.accepted() {
			continue
		}
		if other := winners[r.seen]; other != nil {
			violations = append(violations, fmt.Sprintf("%s and %s were both accepted", other, r))
		}
		winners[r.seen] = r
	}
	for _, row := range rows {
		r := byAttempt[row.Attempt]
		if r == nil || row.Revision != r.seen+1 || row.Operator != r.operator || row.Note != r.note || row.Change != r.change {
			violations = append(violations, fmt.Sprintf("row of revision %d, %+v, does not belong to %v", row.Revision, row, r))
		}
	}
	return violations
}

// checkAnswers compares what an operator was told with the rows of the history.
func (r *proposal) checkAnswers(row configuration.Head, made bool, byRevision map[core.Revision]configuration.Head) (violations []string) {
	for _, a := range r.answers {
		problem := ""
		switch a.Kind {
		case configuration.ProposalAccepted:
			if !r.changedNothing() && (!made || row.Revision != a.Revision) {
				problem = "was told as accepted and has no row"
			}
		case configuration.ProposalConflict:
			if made || a.Head.Revision == r.seen || byRevision[a.Head.Revision] != a.Head {
				problem = fmt.Sprintf("conflicts with %+v, which did not win", a.Head)
			}
		case configuration.ProposalUnknown:
		default:
			if made {
				problem = "was told as " + a.Kind.String() + " and has a row"
			}
		}
		if problem != "" {
			violations = append(violations, fmt.Sprintf("%s %s", r, problem))
		}
	}
	// At the end no write is on its way, so only the newest revision may be unsettled.
	if n := len(r.answers); r.attempt != "" && r.answers[n-1].Kind == configuration.ProposalUnknown {
		if _, later := byRevision[r.seen+1]; later {
			violations = append(violations, fmt.Sprintf("%s stays unknown although revision %d was made", r, r.seen+1))
		}
	}
	return violations
}

// checkInForce reports instances that don't hold the newest revision after the faults.
func (p *revisions) checkInForce(newest core.Revision) (violations []string) {
	for _, i := range p.w.instances {
		if i.alive && i.applier.Revision() != newest {
			violations = append(violations, fmt.Sprintf("instance %s: revision %d in force after the faults ended, %d accepted",
				i.id, i.applier.Revision(), newest))
		}
	}
	return violations
}
