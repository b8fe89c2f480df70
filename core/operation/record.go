package operation

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"gorseline/core"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	StateClaimed State = "Claimed"
	StateDone    State = "Done"
	StateNotRun  State = "NotRun"
	StateUnknown State = "Unknown"
)

// MaxInlineAnswer is the maximum size in bytes of an answer that is stored in its row. A
// larger answer is stored in the object store.
const MaxInlineAnswer = 16 << 10

// Record is the value of row Operation/<organisation>/<key>.
type Record struct {
	State    State
	Digest   string
	Target   core.TargetID `json:",omitempty"`
	Claimant core.InstanceID
	// Claim is the ID of the attempt that created the row. It identifies the claiming
	// request.
	Claim  core.AttemptID
	Reason core.Reason `json:",omitempty"`

	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Object is the key of the body in the object store, if the row doesn't contain it.
	Object        string `json:",omitempty"`
	AnswerMissing bool   `json:",omitempty"`
}

// Key returns the row key of an operation. Both parts are escaped, so that different
// operations never share a row.
func Key(org core.Organisation, key core.OperationKey) string {
	return "Operation/" + url.PathEscape(string(org)) + "/" + url.PathEscape(string(key))
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("operation: encode record: %v", err)) // JSON can encode all fields
	}
	return data
}

func decodeRecord(row core.Row) (Record, bool) {
	var r Record
	return r, row.Version != 0 && json.Unmarshal(row.Value, &r) == nil && r.Claim != ""
}

// withOutcome returns the record with the given final state and reason.
func (r Record) withOutcome(state State, reason core.Reason) Record {
	r.State, r.Reason = state, reason
	return r
}

// withAnswer returns the record of a call that ran. It puts a large body into the object
// store first, so that a row never refers to an object that was not stored.
func (e *Executor) withAnswer(ctx context.Context, key string, r Record, answer core.ServiceAnswer) Record {
	r.State, r.Status, r.ContentType = StateDone, answer.Status, answer.ContentType
	if len(answer.Body) <= MaxInlineAnswer {
		r.Body = answer.Body
		return r
	}
	// The claim ID makes the object key unique, so that each object is written once.
	object := key + "/" + string(r.Claim)
	ctx, cancel := e.writeContext(ctx)
	defer cancel()
	if e.opts.Objects == nil || e.opts.Objects.Put(ctx, object, answer.Body) != nil {
		r.AnswerMissing = true
		return r
	}
	r.Object = object
	return r
}

// result returns the result that the row of an operation records.
func (e *Executor) result(ctx context.Context, row core.Row) Result {
	r, ok := decodeRecord(row)
	switch {
	case row.Version == 0:
		return Result{Outcome: core.OutcomeUnknown, Reason: ReasonNoRecord, RetryAfter: e.opts.RetryAfter}
	case !ok:
		return Result{Outcome: core.OutcomeUnknown, Repeated: true, Reason: ReasonClaimUnsettled}
	}
	switch r.State {
	case StateDone:
		return e.doneResult(ctx, r)
	case StateNotRun:
		return Result{Outcome: core.OutcomeNotRun, Final: true, Repeated: true, Reason: r.Reason}
	case StateClaimed:
		if e.isLive(r) {
			return Result{Outcome: core.OutcomeInProgress, Repeated: true, RetryAfter: time.Second}
		}
		return Result{Outcome: core.OutcomeUnknown, Repeated: true, Reason: ReasonClaimantGone}
	}
	return Result{Outcome: core.OutcomeUnknown, Repeated: true, Reason: r.Reason}
}

// doneResult returns the result of a record in StateDone, with the body from the object
// store if it is stored there.
func (e *Executor) doneResult(ctx context.Context, r Record) Result {
	result := Result{
		Outcome: core.OutcomeDone, Final: true, Repeated: true, AnswerMissing: r.AnswerMissing,
		Answer: core.ServiceAnswer{Status: r.Status, ContentType: r.ContentType, Body: r.Body},
	}
	if r.Object == "" {
		return result
	}
	if e.opts.Objects != nil {
		if body, err := e.opts.Objects.Get(ctx, r.Object); err == nil {
			result.Answer.Body = body
			return result
		}
	}
	result.AnswerMissing, result.RetryAfter = true, e.opts.RetryAfter
	return result
}

// isLive reports whether the claimant may still record an outcome.
func (e *Executor) isLive(r Record) bool {
	if r.Claimant == e.opts.Self {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.active[r.Claim]
	}
	return e.opts.IsLive != nil && e.opts.IsLive(r.Claimant)
}
