package authority

import (
	"encoding/json"
	"fmt"

	"gorseline/core"
)

// Desired is what a target should be. It is absolute.
type Desired struct {
	Role           core.Role
	Model          core.Model
	Adapter        string
	WeightsVersion string
}

// IntentState says how far an intent got.
type IntentState string

// States of an intent.
const (
	// IntentPending is not yet observed at the target.
	IntentPending IntentState = "Pending"
	// IntentApplied was observed at the target, and is repaired if that changes.
	IntentApplied IntentState = "Applied"
	// IntentRejected was refused by the target as impossible.
	IntentRejected IntentState = "Rejected"
	// IntentAbandoned was repeated too often without effect.
	IntentAbandoned IntentState = "Abandoned"
)

// Intent is the value of Order/<target>: the last order and how far it got.
type Intent struct {
	core.Order
	State IntentState
	// Repeats counts how often the order was repeated since it was last applied.
	Repeats int
	// Written identifies the write of this row.
	Written core.AttemptID
}

// OrderKey returns the key of a target's intent row.
func OrderKey(target core.TargetID) string { return "Order/" + string(target) }

// DecodeIntent returns the intent in a row. An absent row is an intent without state.
func DecodeIntent(row core.Row) (Intent, error) {
	var intent Intent
	if row.Version == 0 {
		return intent, nil
	}
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		return intent, fmt.Errorf("authority: row %s: %w", row.Key, err)
	}
	return intent, nil
}

// Desired returns what the intent asks for.
func (i Intent) Desired() Desired {
	return Desired{i.Role, i.Model, i.Adapter, i.WeightsVersion}
}

// inForce reports whether a target shows the intent. A target that checks fences
// must also name the order: an equal state by an older order would leave the newer
// one on its way.
func (i Intent) inForce(target core.Target, report core.LoadReport) bool {
	if report.Changing || report.Role != i.Role {
		return false
	}
	if i.Model != "" && report.Model != i.Model || i.WeightsVersion != "" && report.WeightsVersion != i.WeightsVersion {
		return false
	}
	return !target.ChecksFence || i.State == IntentApplied && report.AppliedSequence == 0 ||
		report.AppliedFence == i.Fence && report.AppliedSequence == i.Sequence
}

// next returns the intent that follows i: the same order if it is repeated or adopted,
// or another. The sequence number grows in either case.
func (i Intent) next(target core.TargetID, want Desired, lease Lease, attempt core.AttemptID) Intent {
	return Intent{
		Order: core.Order{
			Target: target, Shard: lease.Shard, Role: want.Role, Model: want.Model, Adapter: want.Adapter,
			WeightsVersion: want.WeightsVersion, Fence: lease.Fence, Sequence: i.Sequence + 1, Attempt: attempt,
		},
		State: IntentPending,
	}
}

// SubmitResult is the answer to a submitted order.
type SubmitResult uint8

// Results of Submit.
const (
	// SubmitRefused means that this instance may not give the order now; nothing was
	// recorded.
	SubmitRefused SubmitResult = iota
	// SubmitBusy means that an earlier order of the target is not finished.
	SubmitBusy
	// SubmitRecorded means that the order is recorded and will be carried out; its
	// delivery is not confirmed.
	SubmitRecorded
	// SubmitAccepted means that the target has accepted the order.
	SubmitAccepted
	// SubmitRejected means that the target can't carry out the order.
	SubmitRejected
	// SubmitUnknown means that the reply of the table was lost: the order may be
	// recorded, and is then carried out.
	SubmitUnknown
)

var submitNames = [...]string{"Refused", "Busy", "Recorded", "Accepted", "Rejected", "Unknown"}

// String returns the result's name.
func (r SubmitResult) String() string { return submitNames[r] }
