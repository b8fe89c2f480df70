package authority

import (
	"encoding/json"
	"fmt"

	"gorseline/core"
)

// Desired is the complete desired state of a target.
type Desired struct {
	Role           core.Role
	Model          core.Model
	Adapter        string
	WeightsVersion string
}

// IntentState is the state of an intent.
type IntentState string

// States of an intent.
const (
	// IntentPending means that the target has not yet reported the desired state.
	IntentPending IntentState = "Pending"
	// IntentApplied means that the target has reported the desired state. The order is
	// repeated if a later report differs.
	IntentApplied IntentState = "Applied"
	// IntentRejected means that the target can't carry out the order.
	IntentRejected IntentState = "Rejected"
	// IntentAbandoned means that the order had no effect after MaxRepeats repeats.
	IntentAbandoned IntentState = "Abandoned"
)

// Intent is the value of row Order/<target>: the last order and its state.
type Intent struct {
	core.Order
	State IntentState
	// Repeats counts the repeats of the order since the target last applied it.
	Repeats int
	// Written identifies the write of this row.
	Written core.AttemptID
	// Era is the era of the table that the writer knew.
	Era uint64 `json:",omitempty"`
}

// OrderKey returns the key of a target's intent row.
func OrderKey(target core.TargetID) string { return "Order/" + string(target) }

// DecodeIntent returns the intent in a row. An absent row is an intent with an
// empty state. The error says that the row can't be decoded.
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

// Desired returns the desired state that the intent records.
func (i Intent) Desired() Desired {
	return Desired{i.Role, i.Model, i.Adapter, i.WeightsVersion}
}

// matches reports whether a target's report shows the intended state. A target that
// checks fences must also report the fence and sequence number of the order: an older
// order may have led to the same state while the newer one is still under way.
func (i Intent) matches(target core.Target, report core.LoadReport) bool {
	if report.Changing || report.Role != i.Role {
		return false
	}
	if i.Model != "" && report.Model != i.Model || i.WeightsVersion != "" && report.WeightsVersion != i.WeightsVersion {
		return false
	}
	return !target.ChecksFence || i.State == IntentApplied && report.AppliedSequence == 0 ||
		report.AppliedFence == i.Fence && report.AppliedSequence == i.Sequence
}

// next returns a pending intent with the next sequence number. Its desired state is that
// of i for a repeat or an adoption.
func (i Intent) next(target core.TargetID, desired Desired, lease Lease, attempt core.AttemptID) Intent {
	return Intent{
		Order: core.Order{
			Target: target, Shard: lease.Shard, Role: desired.Role, Model: desired.Model, Adapter: desired.Adapter,
			WeightsVersion: desired.WeightsVersion, Fence: lease.Fence, Sequence: i.Sequence + 1, Attempt: attempt,
		},
		State: IntentPending,
	}
}

// SubmitResult is the result of Reconciler.Submit.
type SubmitResult uint8

// Results of Submit.
const (
	// SubmitRefused means that this instance can't give the order now: it has no usable
	// lease, the table is unavailable, or another process has changed a row. The order was
	// not recorded, unless its delivery was answered with core.OrderStale. In that case the
	// next holder of the shard adopts the recorded intent.
	SubmitRefused SubmitResult = iota
	// SubmitBusy means that an earlier order for the target is not finished.
	SubmitBusy
	// SubmitRecorded means that the order is recorded and will be carried out; its
	// delivery is not confirmed.
	SubmitRecorded
	// SubmitAccepted means that the target has accepted the order or has applied the same
	// desired state before.
	SubmitAccepted
	// SubmitRejected means that the target can't carry out the order.
	SubmitRejected
	// SubmitUnknown means that the reply of the table was lost. The order may be
	// recorded; it is then carried out.
	SubmitUnknown
)

var submitNames = [...]string{"Refused", "Busy", "Recorded", "Accepted", "Rejected", "Unknown"}

// String returns the result's name.
func (r SubmitResult) String() string { return submitNames[r] }
