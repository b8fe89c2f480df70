package commands

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/io/operator"
)

// maxDocumentBytes bounds a document from the standard input. A configuration at the design
// size has about 2 MB.
const maxDocumentBytes = 16 << 20

// readAll reads a document and ignores everything after its first maxDocumentBytes bytes.
func readAll(in io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxDocumentBytes))
	if err != nil {
		return nil, failure{err}
	}
	return data, nil
}

// changeSettings are the settings of all commands that change the configuration.
type changeSettings struct {
	operatorSettings
	Operator string        `long:"operator" env:"OPERATOR" description:"Your name, as recorded in the history" required:"yes"`
	Note     string        `long:"note" env:"NOTE" description:"Reason for the change, as recorded in the history"`
	Seen     core.Revision `long:"seen" env:"SEEN" description:"Revision that the change is based on; 0 takes the one in force"`
	Wait     bool          `long:"wait" env:"WAIT" description:"Wait until the change is in force everywhere"`
	WaitFor  time.Duration `long:"wait-for" env:"WAIT_FOR" description:"Timeout of --wait" default:"30s"`
}

// inForcePoll is the interval at which a command polls where a revision is in force.
const inForcePoll = 200 * time.Millisecond

// applyWait is how long a command without --wait waits for the answering instance to apply
// the revision that it has accepted.
const applyWait = time.Second

// inForce holds how many instances have a revision in force, and which ones don't.
type inForce struct {
	On, Of  int
	Missing []core.InstanceID `json:",omitempty"`
}

func (f inForce) everywhere() bool { return f.Of > 0 && f.On == f.Of }

func (f inForce) String() string {
	text := fmt.Sprintf("in force on %d of %d", f.On, f.Of)
	if len(f.Missing) == 0 {
		return text
	}
	names := make([]string, len(f.Missing))
	for i, id := range f.Missing {
		names[i] = string(id)
	}
	return text + ", missing " + strings.Join(names, ", ")
}

// changeReport is the JSON output of a change.
type changeReport struct {
	configuration.Proposal
	InForce *inForce `json:",omitempty"`
}

// change proposes one change and prints its outcome.
func (s *changeSettings) change(propose func(session) (operator.ChangeRequest, error)) error {
	if s.WaitFor <= 0 || s.WaitFor > maxTimeout {
		return invalidSetting("--wait-for", s.WaitFor, "above 0 to "+maxTimeout.String())
	}
	return s.call(func(ctx context.Context, sess session) error {
		request, err := propose(sess)
		if err != nil {
			return err
		}
		request.Seen, request.Operator, request.Note = s.Seen, s.Operator, s.Note
		if s.Seen == 0 {
			request.Seen = sess.configuration.Revision
		}
		answer, err := sess.Change(ctx, request)
		if err != nil {
			return s.callError(sess, request, err)
		}
		return s.report(ctx, sess, request, answer.Proposal)
	})
}

// callError is the error of a change whose answer did not arrive.
func (s *changeSettings) callError(sess session, request operator.ChangeRequest, err error) error {
	if !wasSent(err) {
		return exitError{errors.Errorf("%s can't be reached any more; the change was not made\nnext: repeat the command", sess.url), exitUnavailable}
	}
	return s.unknownOutcome(request, configuration.Proposal{Revision: request.Seen + 1}, shortError(err))
}

// unknownOutcome is the error of a change that may or may not have been accepted.
func (s *changeSettings) unknownOutcome(request operator.ChangeRequest, p configuration.Proposal, cause string) error {
	attempt := ""
	if p.Attempt != "" {
		attempt = fmt.Sprintf(" and attempt %s", p.Attempt)
	}
	return exitError{errors.Errorf("outcome unknown: %s\nThe change may have been accepted as revision %d.\n"+
		"next: run \"gorseline preset history\" until it answers. The change was made if revision %d has operator %s%s; "+
		"if revision %d is by someone else, it was not made. Do not repeat it before, or repeat it with --seen %d: "+
		"then it can't be made twice.",
		cause, p.Revision, p.Revision, request.Operator, attempt, p.Revision, request.Seen), exitUnknown}
}

// report prints the outcome of a proposal, and returns an error unless it was accepted.
func (s *changeSettings) report(ctx context.Context, sess session, request operator.ChangeRequest, p configuration.Proposal) error {
	if p.Kind == configuration.ProposalAccepted {
		return s.accepted(ctx, sess, p)
	}
	if s.Format == "json" {
		if err := s.printJSON(changeReport{Proposal: p}); err != nil {
			return failure{err}
		}
	}
	switch p.Kind {
	case configuration.ProposalConflict:
		return conflictError(request, p.Head)
	case configuration.ProposalInvalid:
		return invalidDocumentError(p.Problems)
	case configuration.ProposalUnavailable:
		return exitError{errors.New("the table service can't be reached; the change was not made\n" +
			"next: callers are served under the revision in force. Repeat the command when the store is back"), exitUnavailable}
	default:
		return s.unknownOutcome(request, p, "the reply of the table service was lost")
	}
}

// conflictError describes the head that was accepted before the change.
func conflictError(request operator.ChangeRequest, head configuration.Head) error {
	note := ""
	if head.Note != "" {
		note = fmt.Sprintf(" (%s)", head.Note)
	}
	return exitError{errors.Errorf("conflict: you saw revision %d, but revision %d is accepted; your change was not made\n"+
		"  revision %d by %s: %s%s, preset %s\n"+
		"next: look at it with \"gorseline preset history\", and if you still want your change, "+
		"repeat it with --seen %d",
		request.Seen, head.Revision, head.Revision, head.Operator, head.Change, note, head.PresetInForce, head.Revision), exitConflict}
}

// invalidDocumentError lists the problems, one per line.
func invalidDocumentError(problems configuration.Problems) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = "  " + p.Error()
	}
	return exitError{errors.Errorf("invalid, nothing was changed\n%s\nnext: correct the values at these paths",
		strings.Join(lines, "\n")), exitInvalid}
}

// accepted prints the accepted revision and where it is in force.
func (s *changeSettings) accepted(ctx context.Context, sess session, p configuration.Proposal) error {
	if s.Format != "json" {
		s.printf("accepted as revision %d\n", p.Revision)
	}
	limit := applyWait
	if s.Wait {
		limit = s.WaitFor
		ctx = context.WithoutCancel(ctx)
	}
	state, err := s.awaitInForce(ctx, sess, p.Revision, limit)
	if err != nil {
		return exitError{errors.Errorf("accepted, but the status could not be read: %s\nnext: run \"gorseline status\"",
			shortError(err)), exitNotInForce}
	}
	if err := s.print(changeReport{p, &state}, func() { s.printf("%s\n", state) }); err != nil {
		return failure{err}
	}
	if s.Wait && !state.everywhere() {
		return exitError{errors.Errorf("revision %d is not in force everywhere after %s\nnext: run \"gorseline status\"; an instance that "+
			"is cut off refuses new work after 9 s, and applies the revision when it is back", p.Revision, limit), exitNotInForce}
	}
	return nil
}

// statusTimeout bounds one status call, in which the instance calls members that may not
// answer.
const statusTimeout = 10 * time.Second

// awaitInForce polls until the answering instance has a revision in force, or with --wait
// until all instances have it. It stops when ctx ends, or at the first status call that ends
// after limit. It returns where the revision was in force at the last status that it got.
func (s *changeSettings) awaitInForce(ctx context.Context, sess session, revision core.Revision, limit time.Duration) (inForce, error) {
	deadline := time.Now().Add(limit)
	var state inForce
	for hasStatus := false; ; {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := sess.Status(callCtx)
		cancel()
		if err == nil {
			hasStatus = true
			state = inForce{status.InForceOn, status.Of, status.Missing}
			if status.Revision < revision {
				state = inForce{Of: status.Of, Missing: []core.InstanceID{status.Instance}}
			} else if !s.Wait || state.everywhere() {
				return state, nil
			}
		}
		switch {
		case hasStatus && time.Now().After(deadline):
			return state, nil
		case err != nil && (ctx.Err() != nil || time.Now().After(deadline)):
			return state, err
		}
		time.Sleep(inForcePoll)
	}
}
