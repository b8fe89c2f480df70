package check

import (
	"context"
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"

	"gorseline/core"
	"gorseline/core/configuration"
)

// headState is the state of the head: its revision and the attempt that wrote it.
type headState struct {
	revision core.Revision
	attempt  core.AttemptID
}

// headStep is one operation on the head.
type headStep struct {
	// called and returned are logical times.
	called, returned uint64
	kind             headStepKind
	// head is the head that was read or written. For headUnchanged only its revision is set,
	// and for headAtMost its revision is an upper bound.
	head headState
}

type headStepKind uint8

const (
	// headRead is a read, or a conflict, that returned this head.
	headRead headStepKind = iota
	// headWritten is a proposal that wrote this head as the successor of the previous revision.
	headWritten
	// headUnchanged is a proposal that left the head at this revision.
	headUnchanged
	// headAtMost is an answer that no later revision exists.
	headAtMost
)

func headReadStep(h configuration.Head, called, returned uint64) *headStep {
	return &headStep{called, returned, headRead, headState{h.Revision, h.Attempt}}
}

// headRegister is a compare-and-set register: only a write that expects the newest revision
// may set it.
var headRegister = porcupine.Model{
	Init: func() any { return headState{} },
	Step: func(from, input, _ any) (bool, any) {
		state, step := from.(headState), input.(*headStep)
		switch step.kind {
		case headRead:
			return state == step.head, state
		case headWritten:
			return state.revision+1 == step.head.revision, step.head
		case headUnchanged:
			return state.revision == step.head.revision, state
		case headAtMost:
			return state.revision <= step.head.revision, state
		}
		return false, state
	},
}

// steps returns the operations of a proposal on the head. committed tells whether the
// history has a row of the proposal. Such a proposal without a definite answer may have
// taken effect at any time after its call. The write of a proposal without a row is left
// out, so that a read that returns it doesn't fit.
func (p *proposal) steps(committed bool) (steps []*headStep) {
	write := &headStep{p.called, math.MaxInt64, headWritten, headState{p.seen + 1, p.attempt}}
	for n, a := range p.answers {
		switch {
		case a.Kind == configuration.ProposalConflict:
			steps = append(steps, headReadStep(a.Head, a.called, a.returned))
		case p.isNoOp() || a.Kind == configuration.ProposalInvalid:
			steps = append(steps, &headStep{a.called, a.returned, headUnchanged, headState{revision: p.seen}})
		case a.Kind == configuration.ProposalAccepted:
			committed = true
			write.returned = min(write.returned, a.returned)
		case n > 0 && a.Kind == configuration.ProposalUnknown && a.Err == nil:
			steps = append(steps, &headStep{a.called, a.returned, headAtMost, headState{revision: p.seen}})
		}
	}
	if committed {
		steps = append(steps, write)
	}
	return steps
}

// isNoOp reports whether a proposal was accepted without a new revision.
func (p *proposal) isNoOp() bool {
	return len(p.answers) > 0 && p.answers[0].Kind == configuration.ProposalAccepted && p.answers[0].Revision == p.seen
}

// isAccepted reports whether any answer says that the proposal made a new revision.
func (p *proposal) isAccepted() bool {
	for _, a := range p.answers {
		if a.Kind == configuration.ProposalAccepted && !p.isNoOp() {
			return true
		}
	}
	return false
}

// check compares the operations on the head with a compare-and-set register, the rows of
// the history with the proposals, and the instances with the newest revision.
func (wl *revisionWorkload) check() (violations []string) {
	ctx := context.Background()
	store := configuration.NewStore(configuration.Options{Table: wl.w.table})
	head, err := store.Head(ctx)
	if err != nil {
		return []string{err.Error()}
	}
	last := wl.w.tick()
	wl.reads = append(wl.reads, headReadStep(head, last, wl.w.tick()))
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
	violations = append(violations, wl.checkRows(rows)...)
	var history []porcupine.Operation
	add := func(steps []*headStep) {
		for _, s := range steps {
			history = append(history, porcupine.Operation{Input: s, Call: int64(s.called), Return: int64(s.returned)})
		}
	}
	add(wl.reads)
	for _, p := range wl.proposals {
		row, committed := byAttempt[p.attempt]
		if p.attempt != "" {
			final := store.ResolveOutcome(ctx, p.attempt, p.seen+1)
			p.answers = append(p.answers, proposalAnswer{final, wl.w.tick(), wl.w.tick()})
		}
		violations = append(violations, p.checkAnswers(row, committed, byRevision)...)
		add(p.steps(committed))
	}
	if !porcupine.CheckOperations(headRegister, history) {
		violations = append(violations, "configuration: the history of the head does not fit a compare-and-set register")
	}
	return append(violations, wl.checkInForce(head.Revision)...)
}

// checkRows reports two accepted changes to the same revision, and rows that don't match
// the proposal of their attempt.
func (wl *revisionWorkload) checkRows(rows []configuration.Head) (violations []string) {
	byAttempt, winners := map[core.AttemptID]*proposal{}, map[core.Revision]*proposal{}
	for _, p := range wl.proposals {
		if p.attempt != "" {
			byAttempt[p.attempt] = p
		}
		if !p.isAccepted() {
			continue
		}
		if other := winners[p.seen]; other != nil {
			violations = append(violations, fmt.Sprintf("%s and %s were both accepted", other, p))
		}
		winners[p.seen] = p
	}
	for _, row := range rows {
		p := byAttempt[row.Attempt]
		if p == nil || row.Revision != p.seen+1 || row.Operator != p.operator || row.Note != p.note || row.Change != p.change {
			violations = append(violations, fmt.Sprintf("row of revision %d, %+v, does not belong to %v", row.Revision, row, p))
		}
	}
	return violations
}

// checkAnswers compares the answers to a proposal with its row and the other rows of the
// history.
func (p *proposal) checkAnswers(row configuration.Head, committed bool, byRevision map[core.Revision]configuration.Head) (violations []string) {
	for _, a := range p.answers {
		problem := ""
		switch a.Kind {
		case configuration.ProposalAccepted:
			if !p.isNoOp() && (!committed || row.Revision != a.Revision) {
				problem = "was answered as accepted but has no row"
			}
		case configuration.ProposalConflict:
			if committed || a.Head.Revision == p.seen || byRevision[a.Head.Revision] != a.Head {
				problem = fmt.Sprintf("conflicts with %+v, which did not win", a.Head)
			}
		case configuration.ProposalUnknown:
		default:
			if committed {
				problem = "was answered as " + a.Kind.String() + " but has a row"
			}
		}
		if problem != "" {
			violations = append(violations, fmt.Sprintf("%s %s", p, problem))
		}
	}
	// No write is in flight at the end, so an outcome may stay unknown only if the next
	// revision doesn't exist.
	if n := len(p.answers); p.attempt != "" && p.answers[n-1].Kind == configuration.ProposalUnknown {
		if _, later := byRevision[p.seen+1]; later {
			violations = append(violations, fmt.Sprintf("%s stays unknown although revision %d was made", p, p.seen+1))
		}
	}
	return violations
}

// checkInForce reports live instances on which the newest revision is not in force at the
// end.
func (wl *revisionWorkload) checkInForce(newest core.Revision) (violations []string) {
	for _, i := range wl.w.instances {
		if i.alive && i.applier.Revision() != newest {
			violations = append(violations, fmt.Sprintf("instance %s: revision %d in force after the faults ended, %d accepted",
				i.id, i.applier.Revision(), newest))
		}
	}
	return violations
}
