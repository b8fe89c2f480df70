package instance

import (
	"cmp"
	"context"
	"slices"

	"gorseline/core"
	"gorseline/io/operator"
)

// console answers operators.
type console struct {
	core.ConfigurationProvider
	operator.Proposer
	operator.HistoryReader
	operator.OperationReader
	in serverInputs
}

var _ operator.Server = (*console)(nil)

func newConsole(in serverInputs) *console {
	return &console{
		ConfigurationProvider: in.Control.applier, Proposer: recordedProposer{in.Control.member, in.Recorder},
		HistoryReader: in.Control.store, OperationReader: in.Serving.operations, in: in,
	}
}

// Events answers a query of the time line.
func (c *console) Events(ctx context.Context, r operator.TimelineRequest) operator.TimelineAnswer {
	return c.in.Events.events(ctx, r)
}

// Status describes the fleet as this instance sees it.
func (c *console) Status(ctx context.Context) operator.Status {
	revision := c.in.Control.applier.Revision()
	inForce := c.in.Control.member.InForceOn(ctx, revision)
	status := operator.Status{
		Instance: core.InstanceID(c.in.Settings.Instance), Ready: true,
		Revision: revision, PresetInForce: c.in.Control.applier.Configuration().PresetInForce,
		InForceOn: inForce.Applied, Of: inForce.Total, Missing: inForce.Missing,
		Shards: c.in.Authorities.shards(), Account: c.in.Serving.dispatcher.Kinds(),
		EventsLost: c.in.Events.timeline.Lost(),
	}
	status.Policies, status.PoliciesSince = c.in.Serving.dispatcher.PolicyTotals()
	if refusal := c.in.Leaving.ready(); refusal != nil {
		status.Ready, status.Reason = false, refusal.Message
	}
	for _, r := range c.in.Control.member.Members() {
		status.Instances = append(status.Instances, operator.InstanceStatus{
			ID: r.ID, Address: r.CallerAddress(), DataCentre: r.DataCentre, Status: r.Status.String(),
		})
	}
	for _, s := range c.in.Serving.fleet.States() {
		status.Targets = append(status.Targets, targetStatus(s))
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
