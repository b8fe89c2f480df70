package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/operation"
)

// StatusProvider describes the fleet as one instance sees it.
type StatusProvider interface {
	Status(ctx context.Context) Status
}

// Proposer proposes a change of the configuration and distributes it to the fleet once it
// is accepted.
type Proposer interface {
	Propose(ctx context.Context, seen core.Revision, change configuration.Change) configuration.Proposal
}

// HistoryReader reads accepted revisions.
type HistoryReader interface {
	History(ctx context.Context, newest core.Revision, limit int) ([]configuration.Head, error)
	Compare(ctx context.Context, before, after core.Revision) ([]configuration.Difference, error)
}

// OperationReader looks up the outcomes of calls that may not be repeated.
type OperationReader interface {
	Lookup(ctx context.Context, org core.Organisation, key core.OperationKey) operation.Result
}

// EventReader reads the timeline.
type EventReader interface {
	Events(ctx context.Context, request TimelineRequest) TimelineAnswer
}

// Backend provides the state and the changes that the operators' API exposes.
type Backend interface {
	StatusProvider
	core.ConfigurationProvider
	Proposer
	HistoryReader
	OperationReader
	EventReader
}

type handler struct{ backend Backend }

// NewHandler returns the handler of the operators' API. Mount it at
// "/gorseline.Operator/".
func NewHandler(backend Backend) http.Handler {
	h := handler{backend}
	mux := http.NewServeMux()
	handle(mux, pathStatus, h.status)
	handle(mux, pathConfiguration, h.configuration)
	handle(mux, pathChange, h.change)
	handle(mux, pathHistory, h.history)
	handle(mux, pathCompare, h.compare)
	handle(mux, pathOperation, h.operation)
	handle(mux, pathTimeline, h.timeline)
	return mux
}

func (h handler) status(ctx context.Context, _ Empty) (Status, error) {
	return h.backend.Status(ctx), nil
}

func (h handler) configuration(context.Context, Empty) (core.Configuration, error) {
	return h.backend.Configuration(), nil
}

func (h handler) change(ctx context.Context, r ChangeRequest) (ChangeAnswer, error) {
	o, ok := r.operation()
	if !ok {
		return ChangeAnswer{}, connect.NewError(connect.CodeInvalidArgument, errors.New("exactly one change must be set"))
	}
	change := configuration.Change{Operation: o, Operator: r.Operator, Note: r.Note, At: time.Now()}
	return ChangeAnswer{h.backend.Propose(ctx, r.Seen, change)}, nil
}

// maxHistory bounds the revisions in one answer.
const maxHistory = 200

func (h handler) history(ctx context.Context, r HistoryRequest) (History, error) {
	if r.Limit <= 0 || r.Limit > maxHistory {
		r.Limit = maxHistory
	}
	list, err := h.backend.History(ctx, r.Newest, r.Limit)
	return History{list}, err
}

func (h handler) compare(ctx context.Context, r CompareRequest) (Comparison, error) {
	list, err := h.backend.Compare(ctx, r.Before, r.After)
	return Comparison{list}, err
}

func (h handler) operation(ctx context.Context, r OperationRequest) (OperationAnswer, error) {
	return OperationAnswer{h.backend.Lookup(ctx, r.Organisation, r.Key)}, nil
}

func (h handler) timeline(ctx context.Context, r TimelineRequest) (TimelineAnswer, error) {
	return h.backend.Events(ctx, r), nil
}
