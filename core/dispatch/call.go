package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/operation"
	"gorseline/core/retry"
)

// Call runs a call of a plain service. A call of a kind that may not be repeated runs at
// most once. Others are retried and, if they are expected to be short, hedged on another
// target when the first one is slow.
func (d *Dispatcher) Call(ctx context.Context, req *core.Request, call core.ServiceCall) (core.ServiceAnswer, *core.Refusal) {
	a, refused := d.admit(req)
	if refused != nil {
		return core.ServiceAnswer{}, refused
	}
	if !req.Kind.Repeatable {
		return a.callOnce(ctx, call)
	}
	d.Retrier.CountRequest()
	return a.callRepeatable(ctx, call)
}

// callOnce runs the call at most once. It continues when the caller disconnects, so that
// the outcome is recorded and found by another call with the same operation key.
func (a *admitted) callOnce(ctx context.Context, call core.ServiceCall) (core.ServiceAnswer, *core.Refusal) {
	d := a.dispatcher
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.req.Remaining(d.Clock.Now()))
	defer cancel()
	target, _ := d.Fleet.State(a.decision.Target)
	claim := operation.Call{
		Organisation: a.req.Organisation,
		Key:          a.req.Key,
		Digest:       digest(a.req.Service, call),
		Target:       target.ID,
		Deduplicates: target.DeduplicatesKeys,
	}
	result := d.Operations.Execute(ctx, claim, func(ctx context.Context) core.ServiceResult {
		return a.attempt(ctx, a.decision, call)
	})
	a.finish(result.Outcome, result.Reason, StreamStats{})
	return answerOf(a.req, result)
}

// digest returns the SHA-256 hash of a call's content, in hexadecimal.
func digest(service core.Service, call core.ServiceCall) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(call.Method), []byte(call.Path), call.Body} {
		_, _ = fmt.Fprintf(h, "%d:", len(part)) // a hash never fails
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// answerOf converts the result of an operation to an answer or a refusal.
func answerOf(req *core.Request, result operation.Result) (core.ServiceAnswer, *core.Refusal) {
	refused := core.Refusal{Kind: string(result.Reason), RetryAfterMs: result.RetryAfter.Milliseconds()}
	switch result.Outcome {
	case core.OutcomeDone:
		if !result.AnswerMissing {
			return result.Answer, nil
		}
		refused.Kind, refused.Status = "AnswerMissing", http.StatusConflict
		refused.Message = "the call has run, but its answer was not recorded"
	case core.OutcomeNotRun:
		refused = refusal(req, result.Reason)
		refused.RetryAfterMs = result.RetryAfter.Milliseconds()
	case core.OutcomeInProgress:
		refused.Kind, refused.Status = "InProgress", http.StatusConflict
		refused.Message = "a call with this operation key is still running"
	default:
		refused.Kind, refused.Status = "OutcomeUnknown", http.StatusBadGateway
		refused.Message = "it is not known whether the call has run: " + string(result.Reason)
	}
	return core.ServiceAnswer{}, &refused
}

// attempt sends the call once to the decision's target.
func (a *admitted) attempt(ctx context.Context, decision core.Decision, call core.ServiceCall) core.ServiceResult {
	d := a.dispatcher
	target, known := d.Fleet.State(decision.Target)
	if !known {
		return core.ServiceResult{Outcome: core.OutcomeNotRun, Err: core.ErrNotRun}
	}
	end, ok := a.beginAttempt(decision)
	if !ok {
		return core.ServiceResult{Outcome: core.OutcomeNotRun, Err: core.ErrNotRun}
	}
	defer end()
	call.Attempt = d.NewAttemptID()
	result := d.Services.Call(ctx, target.Address, call)
	if ctx.Err() == nil {
		d.Circuits.Record(target.ID, result.Outcome == core.OutcomeDone)
	}
	return result
}

// attemptResult is the result of one attempt and its target.
type attemptResult struct {
	target core.TargetID
	result core.ServiceResult
}

// callRepeatable runs the call until it is answered, the retrier allows no further attempt,
// the time is used up, or no target is left.
func (a *admitted) callRepeatable(ctx context.Context, call core.ServiceCall) (core.ServiceAnswer, *core.Refusal) {
	d := a.dispatcher
	ctx, cancel := context.WithTimeout(ctx, a.req.Remaining(d.Clock.Now()))
	defer cancel()
	decision := a.decision
	var exclude []core.TargetID
	for n := 1; ; n++ {
		started := d.Clock.Now()
		last, tried := a.hedged(ctx, decision, exclude, call)
		if last.result.Outcome == core.OutcomeDone {
			d.Hedger.Observe(a.req.Kind.Name, d.Clock.Now().Sub(started))
			a.finish(core.OutcomeDone, decision.Reason, StreamStats{})
			return last.result.Answer, nil
		}
		exclude = append(exclude, tried...)
		failure := retry.Failure{
			NotRun: last.result.Outcome == core.OutcomeNotRun, Attempt: n, Expected: decision.Estimate.Total,
		}
		verdict := d.Retrier.Next(d.Clock.Now(), a.req, failure)
		if !verdict.Retry {
			d.recordNotRetried(a.req, decision.Target, verdict, last.result.Err)
			break
		}
		if !pause.For(ctx, verdict.Delay) {
			break
		}
		next := a.route(d.Clock.Now(), exclude)
		if !next.Found() {
			break
		}
		decision = next
	}
	a.finish(core.OutcomeUnknown, "TargetFailed", StreamStats{})
	return core.ServiceAnswer{}, (core.Refusal{
		Kind: "TargetFailed", Message: "no target answered in time; the call may be repeated", Status: http.StatusBadGateway,
	}).WithRetryAfter(noTargetRetryAfter)
}

// hedged sends the call, and sends it to another target too when the first one is slow. It
// returns the first successful result, or the last result if none is successful, and all
// targets tried.
func (a *admitted) hedged(
	ctx context.Context, decision core.Decision, exclude []core.TargetID, call core.ServiceCall,
) (attemptResult, []core.TargetID) {
	d := a.dispatcher
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	start := func(decision core.Decision) {
		go func() { results <- attemptResult{decision.Target, a.attempt(ctx, decision, call)} }()
	}
	start(decision)
	targets := []core.TargetID{decision.Target}
	delay, hedge := d.Hedger.Delay(a.req, decision.Estimate.Total)
	if !hedge {
		return <-results, targets
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	for {
		select {
		case r := <-results:
			running--
			if r.result.Outcome == core.OutcomeDone || running == 0 {
				return r, targets
			}
		case <-timer.C:
			second := a.route(d.Clock.Now(), append(targets, exclude...))
			if second.Found() && d.Hedger.Allow(d.Clock.Now(), a.req) {
				start(second)
				targets = append(targets, second.Target)
				running++
			}
		}
	}
}
