package operator

import (
	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/dispatch"
	"gorseline/core/operation"
	"gorseline/core/timeline"
)

// Paths of the operators' API.
const (
	pathStatus        = "/gorseline.Operator/Status"
	pathConfiguration = "/gorseline.Operator/Configuration"
	pathChange        = "/gorseline.Operator/Change"
	pathHistory       = "/gorseline.Operator/History"
	pathCompare       = "/gorseline.Operator/Compare"
	pathOperation     = "/gorseline.Operator/Operation"
	pathTimeline      = "/gorseline.Operator/Timeline"
)

// Empty is a request without fields.
type Empty struct{}

// InstanceStatus is what the answering instance knows about one instance.
type InstanceStatus struct {
	ID         core.InstanceID
	Address    string
	DataCentre core.DataCentre
	Status     string
}

// TargetStatus is what the answering instance knows about one target.
type TargetStatus struct {
	ID         core.TargetID
	Service    core.Service
	Address    string
	DataCentre core.DataCentre
	Role       core.Role
	Model      core.Model `json:",omitempty"`
	// State is Ready, Drained, Leaving, Changing, CircuitOpen or Unreported.
	State    string
	Running  int
	Queued   int
	InFlight int
}

// Status is the answer to a status request.
type Status struct {
	Instance core.InstanceID
	// Ready reports whether the instance accepts new work; if not, Reason says why.
	Ready  bool
	Reason string `json:",omitempty"`
	// Revision and PresetInForce are those in force on the answering instance.
	Revision      core.Revision
	PresetInForce string
	// InForceOn is the number of instances that have at least Revision in force. Of is the
	// number of all instances, and Missing lists the others.
	InForceOn int
	Of        int
	Missing   []core.InstanceID `json:",omitempty"`
	Instances []InstanceStatus
	Targets   []TargetStatus
	// Shards lists the shards whose lease the answering instance holds.
	Shards []int
	// Account holds the answering instance's request totals by kind.
	Account map[core.KindName]dispatch.KindTotals
	// Policies holds the answering instance's totals by policy. They cover the requests
	// that were admitted under the revision PoliciesSince or a later one.
	Policies      map[string]dispatch.PolicyTotals `json:",omitempty"`
	PoliciesSince core.Revision
	// EventsLost counts events that were dropped before they were written to the object
	// store.
	EventsLost uint64
}

// ChangeRequest asks for one change of the configuration. Exactly one of the fields from
// SwitchPreset to Replace must be set.
type ChangeRequest struct {
	// Seen is the revision that the operator based the change on. The change conflicts if
	// a later revision has been accepted.
	Seen     core.Revision
	Operator string
	Note     string `json:",omitempty"`

	SwitchPreset string               `json:",omitempty"`
	PutPreset    *core.Preset         `json:",omitempty"`
	PutPolicy    *core.PolicyDocument `json:",omitempty"`
	Drain        core.TargetID        `json:",omitempty"`
	Undrain      core.TargetID        `json:",omitempty"`
	Restore      core.Revision        `json:",omitempty"`
	Replace      *core.Configuration  `json:",omitempty"`
}

// operation returns the requested change, or false unless exactly one is set.
func (r ChangeRequest) operation() (configuration.Operation, bool) {
	var operations []configuration.Operation
	add := func(set bool, newOperation func() configuration.Operation) {
		if set {
			operations = append(operations, newOperation())
		}
	}
	add(r.SwitchPreset != "", func() configuration.Operation { return configuration.SwitchPreset{Name: r.SwitchPreset} })
	add(r.PutPreset != nil, func() configuration.Operation { return configuration.PutPreset{Preset: *r.PutPreset} })
	add(r.PutPolicy != nil, func() configuration.Operation { return configuration.PutPolicy{Policy: *r.PutPolicy} })
	add(r.Drain != "", func() configuration.Operation { return configuration.DrainTarget{Target: r.Drain} })
	add(r.Undrain != "", func() configuration.Operation {
		return configuration.DrainTarget{Target: r.Undrain, Undrain: true}
	})
	add(r.Restore != 0, func() configuration.Operation { return configuration.Restore{Revision: r.Restore} })
	add(r.Replace != nil, func() configuration.Operation { return configuration.Replace{Configuration: *r.Replace} })
	if len(operations) != 1 {
		return nil, false
	}
	return operations[0], true
}

// ChangeAnswer is the outcome of a change.
type ChangeAnswer struct{ configuration.Proposal }

// HistoryRequest asks for up to Limit revisions, newest first, starting at Newest. If
// Newest is 0, they start at the latest revision.
type HistoryRequest struct {
	Newest core.Revision
	Limit  int
}

// History is the answer to a history request.
type History struct{ Revisions []configuration.Head }

// CompareRequest asks for the differences between two revisions.
type CompareRequest struct{ Before, After core.Revision }

// Comparison is the answer to a compare request.
type Comparison struct{ Differences []configuration.Difference }

// OperationRequest asks for the outcome of a call that may not be repeated.
type OperationRequest struct {
	Organisation core.Organisation
	Key          core.OperationKey
}

// OperationAnswer is the recorded outcome of an operation.
type OperationAnswer struct{ operation.Result }

// TimelineRequest asks for the latest events that match Filter, at most Limit. With Fleet,
// they include the events of other processes, which are read from the object store.
type TimelineRequest struct {
	timeline.Filter
	Fleet bool
	Limit int
}

// TimelineAnswer holds events in the order of their times.
type TimelineAnswer struct {
	Events []core.Event
	// Incomplete says why events may be missing; it is empty if none are known to be.
	Incomplete string `json:",omitempty"`
}
