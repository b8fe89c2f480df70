package instance

import (
	"cmp"
	"context"
	"slices"

	"gorseline/core"
	"gorseline/io/operator"
)

// operatorServer serves the operators' API.
type operatorServer struct {
	core.ConfigurationProvider
	operator.Proposer
	operator.HistoryReader
	operator.OperationReader
	in serverInputs
}

var _ operator.Backend = (*operatorServer)(nil)

func newOperatorServer(in serverInputs) *operatorServer {
	return &operatorServer{
		ConfigurationProvider: in.Control.applier, Proposer: recordingProposer{in.Control.member, in.Recorder},
		HistoryReader: in.Control.store, OperationReader: in.Serving.operations, in: in,
	}
}

// Events answers a timeline query.
func (s *operatorServer) Events(ctx context.Context, r operator.TimelineRequest) operator.TimelineAnswer {
	return s.in.Events.events(ctx, r)
}

// Status describes the fleet as this instance sees it.
func (s *operatorServer) Status(ctx context.Context) operator.Status {
	revision := s.in.Control.applier.Revision()
	inForce := s.in.Control.member.RolloutStatus(ctx, revision)
	status := operator.Status{
		Instance: core.InstanceID(s.in.Settings.Instance), Ready: true,
		Revision: revision, PresetInForce: s.in.Control.applier.Configuration().PresetInForce,
		InForceOn: inForce.Applied, Of: inForce.Total, Missing: inForce.Missing,
		Shards: s.in.Authority.heldShards(), Account: s.in.Serving.dispatcher.Kinds(),
		EventsLost: s.in.Events.timeline.Lost(),
	}
	status.Policies, status.PoliciesSince = s.in.Serving.dispatcher.PolicyTotals()
	if refusal := s.in.Shutdown.ready(); refusal != nil {
		status.Ready, status.Reason = false, refusal.Message
	}
	for _, record := range s.in.Control.member.Members() {
		status.Instances = append(status.Instances, operator.InstanceStatus{
			ID: record.ID, Address: record.CallerAddress(), DataCentre: record.DataCentre, Status: record.Status.String(),
		})
	}
	for _, state := range s.in.Serving.fleet.States() {
		status.Targets = append(status.Targets, targetStatus(state))
	}
	slices.SortFunc(status.Targets, func(a, b operator.TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return status
}

func targetStatus(s core.TargetState) operator.TargetStatus {
	t := operator.TargetStatus{
		ID: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
		Role: s.Report.Role, Model: s.Report.Model, State: "Ready",
		Running: s.Report.Running, Queued: s.Report.QueuedRequests, InFlight: s.InFlight,
	}
	switch {
	case s.Drained:
		t.State = "Drained"
	case s.Report.Leaving:
		t.State = "Leaving"
	case s.Report.Changing:
		t.State = "Changing"
	case s.CircuitOpen:
		t.State = "CircuitOpen"
	case s.ReportedAt == 0:
		t.State = "Unreported"
	}
	return t
}
