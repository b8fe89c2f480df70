// Package operation runs calls that must not be repeated, at most once per idempotency
// key. The claim of a key is durable before the first byte is sent to the target, and no
// other process takes it over. The outcome is recorded in the claim's row; a request that
// repeats the key gets the recorded outcome as its answer.
package operation

import (
	"context"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// Call is one operation of an organisation.
type Call struct {
	Organisation core.Organisation
	Key          core.OperationKey
	// Digest identifies the content of the request. A key must always come with the same
	// digest.
	Digest string
	Target core.TargetID
	// Deduplicates says that the target runs calls with the same key only once. A call
	// with an unknown outcome may then be sent again.
	Deduplicates bool
}

// Result is the outcome of an operation.
type Result struct {
	// Outcome is OutcomeDone, OutcomeNotRun, OutcomeUnknown or OutcomeInProgress.
	// NotRun means that this request has not run and never will.
	Outcome core.OutcomeKind
	// Final says that the outcome holds for every request with the key. NotRun without
	// Final holds for this request only: an earlier request with the key may have run, so
	// the caller must retry with the same key and not with a new one.
	Final  bool
	Answer core.ServiceAnswer
	// AnswerMissing says that the operation is done but its answer is not available: it
	// was too large for the row, and the object store failed to store or return it.
	AnswerMissing bool
	// Repeated says that the key was claimed by an earlier request, whose state this
	// result reports.
	Repeated bool
	Reason   core.Reason
	// RetryAfter is the delay after which a request with the same key may get another
	// result; 0 means that there is no point in a retry.
	RetryAfter time.Duration
}

// Reasons of results, besides core.ReasonStoreUnavailable.
const (
	// ReasonKeyReused means that the key was used before with another digest.
	ReasonKeyReused core.Reason = "KeyReused"
	// ReasonDeadlineBeforeSend means that the deadline passed before the first byte was
	// sent.
	ReasonDeadlineBeforeSend core.Reason = "DeadlineBeforeSend"
	// ReasonTargetNotReached means that no byte reached the target.
	ReasonTargetNotReached core.Reason = "TargetNotReached"
	// ReasonConnectionFailed means that the call failed after its first byte was sent.
	ReasonConnectionFailed core.Reason = "ConnectionFailed"
	// ReasonClaimUnsettled means that the table did not confirm whether the claim or its
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

// Options configures an Executor.
type Options struct {
	Self core.InstanceID
	// Table stores the claims. A table that groups transactions commits many at once.
	Table    core.Table
	Objects  core.ObjectStore
	Clock    core.DeadlineClock
	Recorder core.Recorder
	// NewAttemptID returns an ID that is unique across all processes.
	NewAttemptID func() core.AttemptID
	// Sleep waits between attempts; it returns early when ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
	// IsLive reports whether a claimant still runs. If it is nil, all other instances count
	// as dead.
	IsLive func(core.InstanceID) bool
	// SettleTimeout bounds how long a request waits for an unconfirmed write.
	SettleTimeout time.Duration
	// RetryAfter is the retry delay in results that another request may change, such as
	// refusals while the store is unavailable.
	RetryAfter time.Duration
	// MaxPending bounds the queue of outcomes that are not yet recorded. If it is full,
	// the oldest outcome is dropped; the outcome of its operation is then unknown.
	MaxPending int
}

// DefaultOptions returns options with the durations and bounds filled in.
func DefaultOptions() Options {
	return Options{
		Sleep:         func(ctx context.Context, d time.Duration) { pause.For(ctx, d) },
		SettleTimeout: 2 * time.Second, RetryAfter: 5 * time.Second, MaxPending: 1024,
	}
}

// Executor runs operations. It is safe for concurrent use. No lock is held while the
// table, the object store or the target is called.
type Executor struct {
	opts Options
	mu   sync.Mutex
	// active holds the claims whose Execute has not returned and those with a pending
	// outcome.
	active  map[core.AttemptID]bool
	pending []outcomeWrite
	dropped int
	done    chan struct{}
}

// New returns an executor. It starts no goroutine.
func New(opts Options) *Executor {
	return &Executor{opts: opts, active: map[core.AttemptID]bool{}, done: make(chan struct{})}
}

// Run calls Flush every second until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	defer close(e.done)
	pause.Every(ctx, time.Second, func() { e.Flush(ctx) })
}

// Done is closed when Run has ended.
func (e *Executor) Done() <-chan struct{} { return e.done }
