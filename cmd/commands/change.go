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

// maxDocument bounds what is read from a file or the standard input: a
// configuration at the design size has about 2 MB.
const maxDocument = 16 << 20

func readAll(in io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxDocument))
	if err != nil {
		return nil, failure{err}
	}
	return data, nil
}

// changeSettings are the settings of all commands that change the configuration.
type changeSettings struct {
	operatorSettings
	Operator string        `long:"operator" env:"OPERATOR" description:"Your name, for the history" required:"yes"`
	Note     string        `long:"note" env:"NOTE" description:"Why you make this change, for the history"`
	Seen     core.Revision `long:"seen" env:"SEEN" description:"Revision that you decided on; 0 reads the one in force first"`
	Wait     bool          `long:"wait" env:"WAIT" description:"Wait until the change is in force everywhere"`
	WaitFor  time.Duration `long:"wait-for" env:"WAIT_FOR" description:"Longest time of --wait" default:"30s"`
}

// inForcePoll is the time between two looks at where a revision is in force.
const inForcePoll = 200 * time.Millisecond

// applyWait is how long a command without --wait gives the answering instance to
// apply the revision that it has just accepted.
const applyWait = time.Second

// inForce tells where a revision is in force.
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

// changeReport is the report of a change in JSON.
type changeReport struct {
	configuration.Proposal
	InForce *inForce `json:",omitempty"`
}

// change proposes one change and prints what became of it.
func (s *changeSettings) change(propose func(session) (operator.ChangeRequest, error)) error {
	if s.WaitFor <= 0 || s.WaitFor > maxTimeout {
		return invalidSetting("--wait-for", s.WaitFor, "above 0 to "+maxTimeout.String())
	}
	return s.call(func(ctx context.Context, to session) error {
		request, err := propose(to)
		if err != nil {
			return err
		}
		request.Seen, request.Operator, request.Note = s.Seen, s.Operator, s.Note
		if s.Seen == 0 {
			request.Seen = to.configuration.Revision
		}
		answer, err := to.Change(ctx, request)
		if err != nil {
			return s.lost(to, request, err)
		}
		return s.report(ctx, to, request, answer.Proposal)
	})
}

// lost is the outcome of a change whose answer did not arrive.
func (s *changeSettings) lost(to session, request operator.ChangeRequest, err error) error {
	if !wasSent(err) {
		return exit{errors.Errorf("%s can't be reached any more; the change was not made\nnext: repeat the command", to.url), exitUnavailable}
	}
	return s.unknown(request, configuration.Proposal{Revision: request.Seen + 1}, shortError(err))
}

func (s *changeSettings) unknown(request operator.ChangeRequest, p configuration.Proposal, why string) error {
	attempt := ""
	if p.Attempt != "" {
		attempt = fmt.Sprintf(" and attempt %s", p.Attempt)
	}
	return exit{errors.Errorf("outcome unknown: %s\nThe change may have been accepted as revision %d.\n"+
		"next: run \"gorseline preset history\" until it answers. The change was made if revision %d has operator %s%s; "+
		"if revision %d is by someone else, it was not made. Do not repeat it before, or repeat it with --seen %d: "+
		"then it can't be made twice.",
		why, p.Revision, p.Revision, request.Operator, attempt, p.Revision, request.Seen), exitUnknown}
}

func (s *changeSettings) report(ctx context.Context, to session, request operator.ChangeRequest, p configuration.Proposal) error {
	if p.Kind == configuration.ProposalAccepted {
		return s.accepted(ctx, to, p)
	}
	if s.Format == "json" {
		if err := s.printJSON(changeReport{Proposal: p}); err != nil {
			return failure{err}
		}
	}
	switch p.Kind {
	case configuration.ProposalConflict:
		return conflict(request, p.Head)
	case configuration.ProposalInvalid:
		return invalidDocument(p.Problems)
	case configuration.ProposalUnavailable:
		return exit{errors.New("the table service can't be reached; the change was not made\n" +
			"next: callers are served under the revision in force. Repeat the command when the store is back"), exitUnavailable}
	default:
		return s.unknown(request, p, "the reply of the table service was lost")
	}
}

// conflict shows what won.
func conflict(request operator.ChangeRequest, won configuration.Head) error {
	note := ""
	if won.Note != "" {
		note = fmt.Sprintf(" (%s)", won.Note)
	}
	return exit{errors.Errorf("conflict: you saw revision %d, but revision %d is accepted; your change was not made\n"+
		"  revision %d by %s: %s%s, preset %s\n"+
		"next: look at it with \"gorseline preset history\", and if you still want your change, "+
		"repeat it with --seen %d",
		request.Seen, won.Revision, won.Revision, won.Operator, won.Change, note, won.PresetInForce, won.Revision), exitConflict}
}

// invalidDocument lists all problems, a line each.
func invalidDocument(problems configuration.Problems) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = "  " + p.Error()
	}
	return exit{errors.Errorf("invalid, nothing was changed\n%s\nnext: correct the values at these paths",
		strings.Join(lines, "\n")), exitInvalid}
}

func (s *changeSettings) accepted(ctx context.Context, to session, p configuration.Proposal) error {
	if s.Format != "json" {
		s.printf("accepted as revision %d\n", p.Revision)
	}
	limit := applyWait
	if s.Wait {
		limit = s.WaitFor
		ctx = context.WithoutCancel(ctx)
	}
	state, err := s.awaitInForce(ctx, to, p.Revision, limit)
	if err != nil {
		return exit{errors.Errorf("accepted, but where it is in force was not read: %s\nnext: run \"gorseline status\"",
			shortError(err)), exitNotInForce}
	}
	if err := s.print(changeReport{p, &state}, func() { s.printf("%s\n", state) }); err != nil {
		return failure{err}
	}
	if s.Wait && !state.everywhere() {
		return exit{errors.Errorf("revision %d is not in force everywhere after %s\nnext: run \"gorseline status\"; an instance that "+
			"is cut off refuses new work after 9 s, and applies the revision when it is back", p.Revision, limit), exitNotInForce}
	}
	return nil
}

// statusTimeout bounds one look: an instance asks members that may not answer.
const statusTimeout = 10 * time.Second

// awaitInForce returns where a revision is in force: at once when the answering
// instance has it, or with --wait when all have it, and else at the first look after
// limit.
func (s *changeSettings) awaitInForce(ctx context.Context, to session, revision core.Revision, limit time.Duration) (inForce, error) {
	end := time.Now().Add(limit)
	var last inForce
	for read := false; ; {
		bounded, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := to.Status(bounded)
		cancel()
		if err == nil {
			read = true
			last = inForce{status.InForceOn, status.Of, status.Missing}
			if status.Revision < revision {
				last = inForce{Of: status.Of, Missing: []core.InstanceID{status.Instance}}
			} else if !s.Wait || last.everywhere() {
				return last, nil
			}
		}
		switch {
		case read && time.Now().After(end):
			return last, nil
		case err != nil && (ctx.Err() != nil || time.Now().After(end)):
			return last, err
		}
		time.Sleep(inForcePoll)
	}
}
