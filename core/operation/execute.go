package operation

import (
	"context"
	"time"

	"gorseline/core"
)

// retryDelay is the pause between two attempts of an unconfirmed write. It is longer than
// a usual transaction of the table, which takes 5 to 10 ms.
const retryDelay = 50 * time.Millisecond

// maxSends is how often a call with an unknown outcome is sent to a target that
// deduplicates by key.
const maxSends = 3

// maxWriteAttempts is the maximum number of attempts to record a withdrawal. They also end
// after SettleTimeout.
const maxWriteAttempts = 40

// Execute claims the call's key, runs the call and records its outcome. A repeated key
// gets the recorded outcome instead. run is called at most once per claim, or up to
// maxSends times if the target deduplicates by key. run must report OutcomeNotRun only if
// no byte reached the target.
func (e *Executor) Execute(ctx context.Context, call Call, run func(context.Context) core.ServiceResult) Result {
	claim := Record{
		State: StateClaimed, Digest: call.Digest, Target: call.Target,
		Claimant: e.opts.Self, Claim: e.opts.NewAttemptID(),
	}
	key := Key(call.Organisation, call.Key)
	e.markActive(claim.Claim)
	defer e.unmarkActive(claim.Claim)

	version, refusal := e.claim(ctx, key, claim)
	if version == 0 {
		return refusal
	}
	e.record(EventOperationClaimed, call.Target, "", key)
	// The process may have been paused beyond the deadline. Nothing was sent, so the claim
	// can still be withdrawn.
	if ctx.Err() != nil {
		return e.withdraw(ctx, key, version, claim, ReasonDeadlineBeforeSend)
	}
	answer := e.send(ctx, call, run)
	switch answer.Outcome {
	case core.OutcomeNotRun:
		return e.withdraw(ctx, key, version, claim, ReasonTargetNotReached)
	case core.OutcomeDone:
		done := e.withAnswer(ctx, key, claim, answer.Answer)
		e.finish(ctx, outcomeWrite{key: key, version: version, record: done}, 1)
		return Result{Outcome: core.OutcomeDone, Final: true, Answer: answer.Answer}
	}
	unknown := claim.withOutcome(StateUnknown, ReasonConnectionFailed)
	e.finish(ctx, outcomeWrite{key: key, version: version, record: unknown}, 1)
	return Result{Outcome: core.OutcomeUnknown, Reason: ReasonConnectionFailed}
}

// Lookup returns the recorded outcome of an operation. The outcome of an operation
// without a record is unknown: the write of its claim may still be in flight.
func (e *Executor) Lookup(ctx context.Context, org core.Organisation, key core.OperationKey) Result {
	rows, err := e.opts.Table.Read(ctx, Key(org, key))
	if err != nil || len(rows) != 1 {
		return Result{
			Outcome: core.OutcomeUnknown, Reason: core.ReasonStoreUnavailable, RetryAfter: e.opts.RetryAfter,
		}
	}
	return e.result(ctx, rows[0])
}

// claim writes the claim and returns the version of its row. If the key could not be
// claimed, the version is 0 and the result is the answer to the caller.
func (e *Executor) claim(ctx context.Context, key string, claim Record) (uint64, Result) {
	if ctx.Err() != nil {
		return 0, Result{
			Outcome: core.OutcomeNotRun, Reason: ReasonDeadlineBeforeSend, RetryAfter: e.opts.RetryAfter,
		}
	}
	write := []core.Write{{Key: key, Value: claim.encode()}}
	writeCtx, cancel := e.writeContext(ctx)
	defer cancel()
	uncertain := false
	for {
		result := e.opts.Table.Transact(writeCtx, claim.Claim, write)
		switch result.Kind {
		case core.TransactCommitted:
			return result.Versions[0], Result{}
		case core.TransactConflict:
			return e.resolveConflict(ctx, result.Conflicts[0], claim)
		case core.TransactUnavailable:
			// It is certain that the claim doesn't exist only if every attempt was refused.
			if !uncertain {
				e.record(EventOperationRefused, claim.Target, core.ReasonStoreUnavailable, key)
				return 0, Result{
					Outcome: core.OutcomeNotRun, Reason: core.ReasonStoreUnavailable, RetryAfter: e.opts.RetryAfter,
				}
			}
		default:
			uncertain = true
		}
		if writeCtx.Err() != nil {
			// Flush confirms the claim and then withdraws it. Until then it is unknown
			// whether the row exists, but this process will not run the call.
			e.enqueue(outcomeWrite{key: key, record: claim.withOutcome(StateNotRun, ReasonClaimUnsettled), claim: write})
			return 0, Result{Outcome: core.OutcomeUnknown, Reason: ReasonClaimUnsettled, RetryAfter: e.opts.RetryAfter}
		}
		e.opts.Sleep(writeCtx, retryDelay)
	}
}

// resolveConflict handles a claim whose row already exists. It returns the row's version
// if the row is this claim, written by an earlier attempt whose reply was lost. Otherwise
// the version is 0 and the result is the answer to the caller.
func (e *Executor) resolveConflict(ctx context.Context, row core.Row, claim Record) (uint64, Result) {
	r, ok := decodeRecord(row)
	switch {
	case ok && r.Claim == claim.Claim:
		return row.Version, Result{}
	case ok && r.Digest != claim.Digest:
		return 0, Result{Outcome: core.OutcomeNotRun, Reason: ReasonKeyReused}
	}
	return 0, e.result(ctx, row)
}

// send runs the call. It repeats a call with an unknown outcome only if the target
// deduplicates by key.
func (e *Executor) send(ctx context.Context, call Call, run func(context.Context) core.ServiceResult) core.ServiceResult {
	answer := run(ctx)
	if !call.Deduplicates {
		return answer
	}
	for range maxSends - 1 {
		if answer.Outcome != core.OutcomeUnknown || ctx.Err() != nil {
			return answer
		}
		// An earlier attempt may have run, so OutcomeNotRun of a later one doesn't make the
		// outcome certain.
		if again := run(ctx); again.Outcome == core.OutcomeDone {
			return again
		}
	}
	return answer
}

// withdraw records that the claim was not run. It returns OutcomeNotRun only if the record
// is confirmed, and otherwise OutcomeUnknown.
func (e *Executor) withdraw(ctx context.Context, key string, version uint64, claim Record, reason core.Reason) Result {
	if e.finish(ctx, outcomeWrite{key: key, version: version, record: claim.withOutcome(StateNotRun, reason)}, maxWriteAttempts) {
		return Result{Outcome: core.OutcomeNotRun, Final: true, Reason: reason}
	}
	return Result{Outcome: core.OutcomeUnknown, Reason: ReasonClaimUnsettled, RetryAfter: e.opts.RetryAfter}
}

// writeContext returns a context for writes that continue after the caller's request has
// ended. It expires after SettleTimeout.
func (e *Executor) writeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := e.opts.Clock.Now().Add(e.opts.SettleTimeout)
	return e.opts.Clock.WithDeadline(context.WithoutCancel(ctx), limit)
}

// markActive marks a claim as one whose outcome this process will record.
func (e *Executor) markActive(claim core.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[claim] = true
}

// unmarkActive undoes markActive unless the claim's outcome is still pending.
func (e *Executor) unmarkActive(claim core.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, outcome := range e.pending {
		if outcome.record.Claim == claim {
			return
		}
	}
	delete(e.active, claim)
}

func (e *Executor) record(kind core.EventKind, target core.TargetID, reason core.Reason, detail string) {
	e.opts.Recorder.Record(core.Event{
		Instance: e.opts.Self, Kind: kind, Target: target, Reason: reason, Detail: detail,
	})
}
