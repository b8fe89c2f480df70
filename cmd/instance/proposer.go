package instance

import (
	"context"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

// Kinds of events for proposed configuration changes.
const (
	eventAccepted    core.EventKind = "ConfigurationAccepted"
	eventNotAccepted core.EventKind = "ConfigurationNotAccepted"
)

// recordingProposer records each proposed change with its operator, note and result.
type recordingProposer struct {
	operator.Proposer
	recorder core.Recorder
}

// Propose proposes a change and records the result.
func (p recordingProposer) Propose(ctx context.Context, seen core.Revision, change configuration.Change) configuration.Proposal {
	result := p.Proposer.Propose(ctx, seen, change)
	var in timeline.Inputs
	in.Text("Operator", change.Operator).Text("Change", change.Operation.String()).Text("Note", change.Note).
		Int("Seen", int64(seen))
	kind := eventNotAccepted
	switch result.Kind {
	case configuration.ProposalAccepted:
		kind = eventAccepted
		in.Int("Revision", int64(result.Revision))
	case configuration.ProposalConflict:
		in.Int("WonRevision", int64(result.Head.Revision)).Text("WonBy", result.Head.Operator)
	case configuration.ProposalInvalid:
		in.Text("Problems", result.Problems.Error())
	}
	p.recorder.Record(core.Event{Kind: kind, Reason: core.Reason(result.Kind.String()), Detail: in.String()})
	return result
}
