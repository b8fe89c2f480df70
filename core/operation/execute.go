package operation

import (
	"context"
	"time"

	"gorseline/core"
)

// settleDelay is the pause between two tries of an unclear write. It is longer than
// a transaction of the table usually takes, 5 to 10 ms.
const settleDelay = 50 * time.Millisecond

// maxSends is how often a call with an unknown outcome goes to a target that
// deduplicates by key.
const maxSends = 3

// maxTries bounds the tries of one write together with SettleTimeout.
const maxTries = 40

// Execute claims the call's key, runs the call and records its outcome. A repeat of
// the key gets the recorded outcome instead. run is called at most once per claim
// (up to 3 times if the target deduplicates by key); it must report OutcomeNotRun
// only if no byte reached the target.
func (e *Executor) Execute(ctx context.Context, call Call, run func(context.Context) core.ServiceResult) Result {
	claim := Record{
		State: StateClaimed, Digest: call.Digest, Target: call.Target,
		Claimant: e.opts.Self, Claim: e.opts.NewAttemptID(),
	}
	key := Key(call.Organisation, call.Key)
	e.hold(claim.Claim)
	defer e.release(claim.Claim)

	version, refusal := e.claim(ctx, key, claim)
	if version == 0 {
		return refusal
	}
	e.record(EventOperationClaimed, call.Target, "", key)
	// A pause may have lasted beyond the deadline. Nothing was sent, so the claim can
	// still be withdrawn.
	if ctx.Err() != nil {
		return e.withdraw(ctx, key, version, claim, ReasonDeadlineBeforeSend)
	}
	answer := e.send(ctx, call, run)
	switch answer.Outcome {
	case core.OutcomeNotRun:
		return e.withdraw(ctx, key, version, claim, ReasonTargetNotReached)
	case core.OutcomeDone:
		done := e.withAnswer(ctx, key, claim, answer.Answer)
		e.finish(ctx, entry{key: key, version: version, record: done}, 1)
		return Result{Outcome: core.OutcomeDone, Final: true, Answer: answer.Answer}
	}
	unknown := claim.ended(StateUnknown, ReasonConnectionFailed)
	e.finish(ctx, entry{key: key, version: version, record: unknown}, 1)
	return Result{Outcome: core.OutcomeUnknown, Reason: ReasonConnectionFailed}
}

// Lookup returns the recorded outcome of an operation. An operation without a
// record is unknown: its claim may still be on the way to the table.
func (e *Executor) Lookup(ctx context.Context, org core.Organisation, key core.OperationKey) Result {
	rows, err := e.opts.Table.Read(ctx, Key(org, key))
	if err != nil || len(rows) != 1 {
		return Result{
			Outcome: core.OutcomeUnknown, Reason: core.ReasonStoreUnavailable, RetryAfter: e.opts.RetryAfter,
		}
	}
	return e.result(ctx, rows[0])
}

// claim writes the claim and returns its version. If the claim is not ours, the
// version is 0 and the result is the answer to the caller.
func (e *Executor) claim(ctx context.Context, key string, claim Record) (uint64, Result) {
	if ctx.Err() != nil {
		return 0, Result{
			Outcome: core.OutcomeNotRun, Reason: ReasonDeadlineBeforeSend, RetryAfter: e.opts.RetryAfter,
		}
	}
	write := []core.Write{{Key: key, Value: claim.encode()}}
	settling, cancel := e.settleContext(ctx)
	defer cancel()
	uncertain := false
	for {
		result := e.opts.Table.Transact(settling, claim.Claim, write)
		switch result.Kind {
		case core.TransactCommitted:
			return result.Versions[0], Result{}
		case core.TransactConflict:
			return e.claimed(ctx, result.Conflicts[0], claim)
		case core.TransactUnavailable:
			// Only a claim that was refused on every try is certain not to exist.
			if !uncertain {
				e.record(EventOperationRefused, claim.Target, core.ReasonStoreUnavailable, key)
				return 0, Result{
					Outcome: core.OutcomeNotRun, Reason: core.ReasonStoreUnavailable, RetryAfter: e.opts.RetryAfter,
				}
			}
		default:
			uncertain = true
		}
		if settling.Err() != nil {
			// Flush settles the claim and then withdraws it; until then nobody knows
			// whether the row exists, but this process will not run the call.
			e.keep(entry{key: key, record: claim.ended(StateNotRun, ReasonClaimUnsettled), claim: write})
			return 0, Result{Outcome: core.OutcomeUnknown, Reason: ReasonClaimUnsettled, RetryAfter: e.opts.RetryAfter}
		}
		e.opts.Sleep(settling, settleDelay)
	}
}

// claimed decides on the row that a claim met. It is the own row if the reply to an
// earlier try was lost.
func (e *Executor) claimed(ctx context.Context, row core.Row, claim Record) (uint64, Result) {
	r, ok := decodeRecord(row)
	switch {
	case ok && r.Claim == claim.Claim:
		return row.Version, Result{}
	case ok && r.Digest != claim.Digest:
		return 0, Result{Outcome: core.OutcomeNotRun, Reason: ReasonKeyReused}
	}
	return 0, e.result(ctx, row)
}

// send runs the call, again only if the target deduplicates by key.
func (e *Executor) send(ctx context.Context, call Call, run func(context.Context) core.ServiceResult) core.ServiceResult {
	answer := run(ctx)
	if !call.Deduplicates {
		return answer
	}
	for range maxSends - 1 {
		if answer.Outcome != core.OutcomeUnknown || ctx.Err() != nil {
			return answer
		}
		// An earlier try may have run, so a later try that was not sent proves nothing.
		if again := run(ctx); again.Outcome == core.OutcomeDone {
			return again
		}
	}
	return answer
}

// withdraw marks the claim as not run. The caller is told so only when the mark is
// settled.
func (e *Executor) withdraw(ctx context.Context, key string, version uint64, claim Record, reason core.Reason) Result {
	if e.finish(ctx, entry{key: key, version: version, record: claim.ended(StateNotRun, reason)}, maxTries) {
		return Result{Outcome: core.OutcomeNotRun, Final: true, Reason: reason}
	}
	return Result{Outcome: core.OutcomeUnknown, Reason: ReasonClaimUnsettled, RetryAfter: e.opts.RetryAfter}
}

// settleContext returns a context for writes that must be settled although the
// caller may be gone.
func (e *Executor) settleContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := e.opts.Clock.Now().Add(e.opts.SettleTimeout)
	return e.opts.Clock.WithDeadline(context.WithoutCancel(ctx), limit)
}

// hold marks a claim as one that this process will end.
func (e *Executor) hold(claim core.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[claim] = true
}

// release ends hold unless the claim's end waits to be recorded.
func (e *Executor) release(claim core.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, waiting := range e.pending {
		if waiting.record.Claim == claim {
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
