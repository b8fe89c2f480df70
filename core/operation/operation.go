// Package operation runs calls that may not be repeated. A claim of the operation
// key is durable before the first byte goes to the target, is never taken over, and
// ends in a recorded outcome that a repeat of the key gets as its answer.
package operation

import (
	"context"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// Call names one operation of an organisation.
type Call struct {
	Organisation core.Organisation
	Key          core.OperationKey
	// Digest identifies the content of the request. A key belongs to one digest.
	Digest string
	Target core.TargetID
	// Deduplicates says that the target runs a call with the same key once, so that a
	// call with an unknown outcome may be sent to it again.
	Deduplicates bool
}

// Result is the outcome of an operation.
type Result struct {
	// Outcome is OutcomeDone, OutcomeNotRun, OutcomeUnknown or OutcomeInProgress.
	// NotRun means that this request has not run and never will.
	Outcome core.OutcomeKind
	// Final says that the outcome speaks for the key and no request with it will bring
	// another. NotRun without Final speaks for this request only: an earlier request
	// with the key may have run, so the caller must repeat the same key and not take a
	// new one.
	Final  bool
	Answer core.ServiceAnswer
	// AnswerMissing says that the operation is done but its answer was not recorded,
	// because it was too large and the object store did not take it.
	AnswerMissing bool
	// Repeated says that the outcome was recorded for an earlier request.
	Repeated bool
	Reason   core.Reason
	// RetryAfter is when a request with the same key may bring another result; 0 means
	// that it will not.
	RetryAfter time.Duration
}

// Reasons of results, besides core.ReasonStoreUnavailable.
const (
	// ReasonKeyReused refuses a key that was used with another digest.
	ReasonKeyReused core.Reason = "KeyReused"
	// ReasonDeadlineBeforeSend means that the deadline passed before the first byte.
	ReasonDeadlineBeforeSend core.Reason = "DeadlineBeforeSend"
	// ReasonTargetNotReached means that no byte reached the target.
	ReasonTargetNotReached core.Reason = "TargetNotReached"
	// ReasonConnectionFailed means that the call failed after its first byte.
	ReasonConnectionFailed core.Reason = "ConnectionFailed"
	// ReasonClaimUnsettled means that the table did not say whether the claim or its
	// withdrawal took effect.
	ReasonClaimUnsettled core.Reason = "ClaimUnsettled"
	// ReasonClaimantGone means that the claimant ended without recording an outcome.
	ReasonClaimantGone core.Reason = "ClaimantGone"
	// ReasonNoRecord means that no claim of the key is recorded.
	ReasonNoRecord core.Reason = "NoRecord"
)

// Kinds of events that this package records.
const (
	EventOperationClaimed    core.EventKind = "OperationClaimed"
	EventOperationRecorded   core.EventKind = "OperationRecorded"
	EventOperationUnrecorded core.EventKind = "OperationUnrecorded"
	EventOperationRefused    core.EventKind = "OperationRefused"
)

// Options configure an Executor.
type Options struct {
	Self core.InstanceID
	// Table holds the claims; a grouping table makes one transaction of many.
	Table    core.Table
	Objects  core.ObjectStore
	Clock    core.DeadlineClock
	Recorder core.Recorder
	// NewAttemptID returns a new ID that no process has used.
	NewAttemptID func() core.AttemptID
	// Sleep waits between tries; it returns early when ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
	// IsLive reports whether a claimant still runs; nil counts others as gone.
	IsLive func(core.InstanceID) bool
	// SettleTimeout bounds how long a request waits for an unclear write.
	SettleTimeout time.Duration
	// RetryAfter is the retry time of refusals while the store is unavailable.
	RetryAfter time.Duration
	// MaxPending bounds the outcomes that wait to be recorded. Beyond it the oldest
	// is dropped and its claim reads as unknown.
	MaxPending int
}

// DefaultOptions returns options with the durations and bounds filled in.
func DefaultOptions() Options {
	return Options{
		Sleep: func(ctx context.Context, d time.Duration) { pause.For(ctx, d) }, SettleTimeout: 2 * time.Second, RetryAfter: 5 * time.Second, MaxPending: 1024,
	}
}

// Executor runs operations. It is safe for concurrent use. No lock is held during a
// call of the table, the object store or the target.
type Executor struct {
	opts Options
	mu   sync.Mutex
	// active holds the claims whose Execute has not returned, or whose outcome waits
	// to be recorded.
	active  map[core.AttemptID]bool
	pending []entry
	dropped int
	done    chan struct{}
}

// New returns an executor. It starts nothing.
func New(opts Options) *Executor {
	return &Executor{opts: opts, active: map[core.AttemptID]bool{}, done: make(chan struct{})}
}

// Run records outcomes that could not be recorded at once, until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	defer close(e.done)
	pause.Every(ctx, time.Second, func() { e.Flush(ctx) })
}

// Done is closed when Run has ended.
func (e *Executor) Done() <-chan struct{} { return e.done }
