package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Change is an operation with the name and the note of the operator.
type Change struct {
	Operation Operation
	Operator  string
	Note      string
	// At is the operator's wall clock time, for the history only.
	At time.Time
}

// ProposalKind classifies the outcome of a proposal.
type ProposalKind uint8

// Outcomes of a proposal.
const (
	// ProposalUnknown means that the change may or may not have been accepted.
	// ResolveOutcome may determine the outcome later from the attempt and the revision.
	ProposalUnknown ProposalKind = iota
	ProposalAccepted
	// ProposalConflict means that another change was accepted first; Head describes it.
	ProposalConflict
	// ProposalInvalid means that the change would result in an invalid configuration.
	ProposalInvalid
	// ProposalUnavailable means that the change was not accepted and will not be, because
	// of the error in Err.
	ProposalUnavailable
)

var proposalNames = [...]string{"Unknown", "Accepted", "Conflict", "Invalid", "Unavailable"}

// String returns the name of the outcome.
func (k ProposalKind) String() string { return proposalNames[k] }

// MarshalText encodes the outcome as its name.
func (k ProposalKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes the name of an outcome.
func (k *ProposalKind) UnmarshalText(text []byte) error {
	for i, name := range proposalNames {
		if name == string(text) {
			*k = ProposalKind(i)
			return nil
		}
	}
	return &core.InvalidValueError{Value: string(text), Accepted: proposalNames[:]}
}

// Proposal is the outcome of a proposed change.
type Proposal struct {
	Kind ProposalKind
	// Revision is the accepted revision, or the one that a proposal with an unknown
	// outcome may have created. A change without effect gets the revision that it is based
	// on.
	Revision core.Revision
	// Head describes the newest accepted revision; it is set on a conflict.
	Head Head
	// Problems lists the validation errors of an invalid change.
	Problems Problems `json:",omitempty"`
	Attempt  core.AttemptID
	// Err describes an Unknown or Unavailable outcome for logs.
	Err error `json:"-"`
}

// Propose applies a change to revision base, the one that the operator has read. The change
// is accepted only if base is still the newest revision.
func (s *Store) Propose(ctx context.Context, base core.Revision, change Change) Proposal {
	head, version, err := s.head(ctx)
	if err != nil {
		return Proposal{Kind: ProposalUnavailable, Err: err}
	}
	if head.Revision != base {
		return Proposal{Kind: ProposalConflict, Head: head}
	}
	before, err := s.baseConfiguration(ctx, head)
	if err != nil {
		return Proposal{Kind: ProposalUnavailable, Err: err}
	}
	if before.Revision != base {
		// Another change was accepted while the documents were read.
		if head, err = s.Head(ctx); err != nil {
			return Proposal{Kind: ProposalUnavailable, Err: err}
		}
		return Proposal{Kind: ProposalConflict, Head: head}
	}
	e, problems, err := s.prepare(ctx, before, change)
	switch {
	case err != nil:
		return Proposal{Kind: ProposalUnavailable, Err: err}
	case len(problems) > 0:
		return Proposal{Kind: ProposalInvalid, Problems: problems}
	case len(e.Documents) == 0 && e.PresetInForce == e.PresetBefore:
		return Proposal{Kind: ProposalAccepted, Revision: base}
	}
	writes, err := revisionWrites(e, version)
	if err != nil {
		return Proposal{Kind: ProposalUnavailable, Err: err}
	}
	return s.commit(ctx, e, writes)
}

// baseConfiguration returns the configuration at the head: the one in force on this
// instance if it is current, and otherwise the stored one.
func (s *Store) baseConfiguration(ctx context.Context, head Head) (core.Configuration, error) {
	if s.options.InForce != nil {
		if c := s.options.InForce.Configuration(); c.Revision == head.Revision {
			return c, nil
		}
	}
	return s.Load(ctx)
}

// prepare returns the revision entry of a change, or its validation errors.
func (s *Store) prepare(ctx context.Context, before core.Configuration, change Change) (revisionEntry, Problems, error) {
	var problems Problems
	if change.Operator == "" {
		problems.add("Operator", "", "the operator's name")
		return revisionEntry{}, problems, nil
	}
	after, err := s.apply(ctx, change.Operation, before)
	if errors.As(err, &problems) {
		return revisionEntry{}, problems, nil
	}
	if err != nil {
		return revisionEntry{}, nil, err
	}
	if errors.As(Validate(after, s.options.ValidatePolicy), &problems) {
		return revisionEntry{}, problems, nil
	}
	documents, err := diff(before, after)
	if err != nil {
		return revisionEntry{}, nil, err
	}
	head := Head{
		Revision: before.Revision + 1, PresetInForce: after.PresetInForce, Operator: change.Operator,
		Note: change.Note, Change: change.Operation.String(), At: change.At, Attempt: s.options.NewAttemptID(),
	}
	return revisionEntry{Head: head, PresetBefore: before.PresetInForce, Documents: documents}, nil, nil
}

// revisionWrites returns the writes of one revision. Only the write of the head is
// conditional: every transaction that writes the other rows changes the head too.
func revisionWrites(e revisionEntry, headVersion uint64) ([]core.Write, error) {
	head, err := json.Marshal(e.Head)
	if err != nil {
		return nil, errors.Wrap(err, HeadKey)
	}
	row, err := json.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, revisionKey(e.Revision))
	}
	writes := []core.Write{
		{Key: HeadKey, Value: head, Expected: headVersion},
		{Key: revisionKey(e.Revision), Value: row, Expected: core.AnyVersion},
	}
	for _, d := range e.Documents {
		w := core.Write{Key: documentRowKey(d.Section, d.Name), Expected: core.AnyVersion, Delete: len(d.After) == 0}
		if !w.Delete {
			if w.Value, err = json.Marshal(Document{d.Section, d.Name, d.After}); err != nil {
				return nil, errors.Wrap(err, w.Key)
			}
		}
		writes = append(writes, w)
	}
	return writes, nil
}

// commit writes a revision. After a lost reply it repeats the attempt, which the table
// service runs at most once.
func (s *Store) commit(ctx context.Context, e revisionEntry, writes []core.Write) Proposal {
	replyLost := false
	p := Proposal{Revision: e.Revision, Attempt: e.Attempt}
	for range s.options.MaxCommitTries {
		result := s.options.Table.Transact(ctx, e.Attempt, writes)
		p.Err = result.Err
		switch result.Kind {
		case core.TransactCommitted:
			p.Kind = ProposalAccepted
			return p
		case core.TransactConflict:
			return s.resolveConflict(ctx, e, result.Conflicts)
		case core.TransactUnavailable:
			// This proves that nothing was written only if no reply was lost before: the
			// call with the lost reply may have been committed.
			if !replyLost {
				p.Kind = ProposalUnavailable
				return p
			}
		case core.TransactUnknown:
			replyLost = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return s.ResolveOutcome(ctx, e.Attempt, e.Revision)
}

// resolveConflict resolves an attempt that was answered with a conflict. If its outcome stays
// unknown, for example because the store can't be read, it returns a conflict with the head
// from rows: a committed attempt is never answered with a conflict.
func (s *Store) resolveConflict(ctx context.Context, e revisionEntry, rows []core.Row) Proposal {
	p := s.ResolveOutcome(ctx, e.Attempt, e.Revision)
	if p.Kind != ProposalUnknown {
		return p
	}
	p.Kind = ProposalConflict
	for _, row := range rows {
		if row.Key == HeadKey && row.Version != 0 {
			p.Err = errors.Wrap(json.Unmarshal(row.Value, &p.Head), HeadKey)
		}
	}
	return p
}

// ResolveOutcome looks up the outcome of an attempt to create a revision. The outcome is
// ProposalUnknown if the store cannot be read or the revision does not exist.
func (s *Store) ResolveOutcome(ctx context.Context, attempt core.AttemptID, revision core.Revision) Proposal {
	unknown := Proposal{Kind: ProposalUnknown, Revision: revision, Attempt: attempt}
	rows, err := s.options.Table.Read(ctx, HeadKey, revisionKey(revision))
	if err != nil {
		unknown.Err = errors.Wrap(err, "resolve the outcome of a proposal")
		return unknown
	}
	if rows[1].Version == 0 {
		return unknown
	}
	var head, created Head
	if err := json.Unmarshal(rows[0].Value, &head); err != nil {
		unknown.Err = errors.Wrap(err, HeadKey)
		return unknown
	}
	if err := json.Unmarshal(rows[1].Value, &created); err != nil {
		unknown.Err = errors.Wrap(err, revisionKey(revision))
		return unknown
	}
	if created.Attempt == attempt {
		return Proposal{Kind: ProposalAccepted, Revision: revision, Attempt: attempt}
	}
	return Proposal{Kind: ProposalConflict, Head: head, Attempt: attempt}
}
