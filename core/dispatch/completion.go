package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/estimate"
	"gorseline/core/retry"
	"gorseline/core/stream"
)

// Complete runs a completion and writes its answer to sink, or a refusal if it isn't
// admitted.
func (d *Dispatcher) Complete(ctx context.Context, req *core.Request, completion core.CompletionRequest, sink stream.Sink) {
	a, refused := d.admit(req)
	if refused != nil {
		_ = sink.Fail(refused, nil) // a failed write means that the caller has disconnected
		return
	}
	d.Retrier.CountRequest()
	completion.Attempt = d.NewAttemptID()
	run := &completionRun{admitted: a, ctx: ctx, completion: completion}
	run.serve(stream.Call{}, sink)
}

// Resume continues the stream of a resume token. The request was admitted when the stream
// started and isn't admitted again.
func (d *Dispatcher) Resume(ctx context.Context, req *core.Request, completion core.CompletionRequest, token string, sink stream.Sink) {
	position, err := d.Signer.Verify(token, req.Organisation)
	if err != nil {
		var refused *core.Refusal
		if !errors.As(err, &refused) {
			panic(err) // Verify returns refusals only
		}
		_ = sink.Fail(refused, nil)
		return
	}
	a := &admitted{dispatcher: d, policy: noReservation{d.Policies.Policy(req.Organisation)}, req: req}
	a.decision.Target = position.Target
	completion.Attempt = d.NewAttemptID()
	run := &completionRun{admitted: a, ctx: ctx, completion: completion, attempts: 1}
	run.serve(stream.Call{Resume: &position}, sink)
}

// noReservation wraps a policy for requests without a reservation on this instance.
type noReservation struct{ core.Policy }

// Finish does nothing.
func (noReservation) Finish(core.Instant, *core.Request, bool) {}

// completionRun is one completion with its attempts.
type completionRun struct {
	*admitted
	ctx        context.Context
	completion core.CompletionRequest
	attempts   int
	// cause is the error of the latest failed attempt.
	cause error
	// notRun counts the attempts that are known not to have run.
	notRun int
	// load is the load of the target when the latest attempt was sent.
	load estimate.Load
	// backlog is the queued prompt work of the target at that time, in tokens.
	backlog float64
	// endAttempt ends the latest attempt; nil after it was called.
	endAttempt func()
}

// serve relays the stream of the completion to sink and finishes the request.
func (r *completionRun) serve(call stream.Call, sink stream.Sink) {
	call.Request, call.Completion = r.req, r.completion
	call.ChooseTarget, call.OnAttempt = r.nextCandidate, r.attemptEnded
	result := r.dispatcher.Relay.Serve(r.ctx, call, sink)
	r.release()
	r.updateEstimates(result)
	r.finish(result.Outcome, result.Reason, StreamStats{result.FirstToken, result.Tokens, result.Resumes, result.Reruns})
}

// release ends the latest attempt if it hasn't ended yet.
func (r *completionRun) release() {
	if r.endAttempt != nil {
		r.endAttempt()
		r.endAttempt = nil
	}
}

// nextCandidate returns the target of the next attempt: first the target for which the
// request was admitted, then others within the retry budget.
func (r *completionRun) nextCandidate(exclude []core.TargetID) (stream.Candidate, bool) {
	d := r.dispatcher
	r.release()
	r.attempts++
	if r.attempts > 1 {
		// An attempt that did not run caused no work on its target and isn't counted.
		failure := retry.Failure{Attempt: max(1, r.attempts-1-r.notRun), Expected: r.decision.Estimate.FirstToken}
		verdict := d.Retrier.Next(d.Clock.Now(), r.req, failure)
		if !verdict.Retry {
			d.recordNotRetried(r.req, r.decision.Target, verdict, r.cause)
			return stream.Candidate{}, false
		}
		r.decision = r.route(d.Clock.Now(), exclude)
	}
	return r.prepare(exclude)
}

// prepare begins an attempt on the target of the decision and, if the decision has a prefill
// engine, computes the prompt there first. If the prefill fails or the target has started to
// drain, prepare excludes that engine and routes again.
func (r *completionRun) prepare(exclude []core.TargetID) (stream.Candidate, bool) {
	d := r.dispatcher
	exclude = slices.Clone(exclude)
	for r.decision.Found() {
		target, known := d.Fleet.State(r.decision.Target)
		if !known {
			return stream.Candidate{}, false
		}
		r.load = estimate.LoadAt(d.Clock.Now(), &target)
		r.backlog = r.load.Wait.Seconds() * estimate.PrefillRate(&target)
		end, ok := r.beginAttempt(r.decision)
		if !ok {
			exclude = append(exclude, r.decision.Target)
			r.decision = r.route(d.Clock.Now(), exclude)
			continue
		}
		r.endAttempt = end
		source, ok := r.promptSource()
		if ok {
			return stream.Candidate{Target: target.ID, Address: target.Address, ImportFrom: source}, true
		}
		r.release()
		exclude = append(exclude, r.decision.Prefill)
		r.decision = r.route(d.Clock.Now(), exclude)
	}
	return stream.Candidate{}, false
}

// promptSource returns the address of the engine to import the prompt's KV cache from,
// or an empty one if the target computes the prompt itself. It returns false if the prefill
// failed.
func (r *completionRun) promptSource() (address string, ok bool) {
	switch {
	case r.decision.Prefill != "" && r.decision.Prefill != r.decision.Target:
		return r.prefill()
	case r.decision.ImportFrom != "":
		source, _ := r.dispatcher.Fleet.State(r.decision.ImportFrom)
		return source.Address, true
	}
	return "", true
}

// prefill computes the prompt on the prefill engine and returns the engine's address. It
// returns false if that failed.
func (r *completionRun) prefill() (address string, ok bool) {
	d := r.dispatcher
	engine, known := d.Fleet.State(r.decision.Prefill)
	if !known {
		return "", false
	}
	began := d.Clock.Now()
	load := estimate.LoadAt(began, &engine)
	ctx, cancel := context.WithTimeout(r.ctx, r.req.Remaining(began))
	defer cancel()
	prefill := r.completion
	prefill.PrefillOnly = true
	err := runPrefill(ctx, d.Completer, engine.Address, prefill)
	d.Circuits.Record(engine.ID, err == nil || ctx.Err() != nil)
	if err == nil {
		d.Fleet.Observe(engine.ID, estimate.Observation{
			Backlog:    load.Wait.Seconds() * estimate.PrefillRate(&engine),
			Computed:   r.uncachedTokens(),
			FirstToken: d.Clock.Now().Sub(began),
			Sequences:  load.Sequences + 1,
		})
	}
	return engine.Address, err == nil
}

// prefillIdleTimeout is the longest time without a message from an engine that
// computes a prompt. Engines send a heartbeat every second.
const prefillIdleTimeout = 3 * time.Second

// runPrefill runs a prefill-only completion to its end. It returns core.ErrIdleTimeout if the
// engine sends nothing for prefillIdleTimeout.
func runPrefill(ctx context.Context, completer core.Completer, address string, completion core.CompletionRequest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(prefillIdleTimeout, func() { cancel(core.ErrIdleTimeout) })
	defer watchdog.Stop()
	reader, err := completer.Complete(ctx, address, completion)
	if err != nil {
		return err
	}
	defer reader.Close()
	for {
		piece, err := reader.Next(ctx)
		switch {
		case err != nil && errors.Is(context.Cause(ctx), core.ErrIdleTimeout):
			return core.ErrIdleTimeout
		case err != nil:
			return err
		case piece.Final:
			return nil
		}
		watchdog.Reset(prefillIdleTimeout)
	}
}

// attemptEnded updates the circuit of the target and the state of the run after an attempt.
func (r *completionRun) attemptEnded(attempt stream.Attempt) {
	if attempt.Abandoned {
		return
	}
	r.cause = attempt.Err
	d := r.dispatcher
	if errors.Is(attempt.Err, core.ErrNotRun) {
		// The target refused: its role or state has changed since its last report.
		r.notRun++
		d.RefreshReport(attempt.Target)
	}
	d.Circuits.Record(attempt.Target, attempt.Err == nil || errors.Is(attempt.Err, core.ErrUnknownStream))
}

// updateEstimates adds the timing of a stream without resumes and reruns to the estimates
// of the target. A prompt that another engine computed is left out, since it doesn't show
// the prefill rate of the target.
func (r *completionRun) updateEstimates(result stream.Result) {
	uninterrupted := result.Resumes == 0 && result.Reruns == 0
	if result.Outcome != core.OutcomeDone || !uninterrupted || result.Tokens < 2 {
		return
	}
	total := r.dispatcher.Clock.Now().Sub(r.req.Arrived)
	observed := estimate.Observation{
		Sequences:     r.load.Sequences + 1,
		BetweenTokens: (total - result.FirstToken) / time.Duration(result.Tokens-1),
	}
	if r.decision.Prefill == "" || r.decision.Prefill == r.decision.Target {
		observed.Backlog, observed.FirstToken = r.backlog, result.FirstToken
		observed.Computed = r.uncachedTokens()
	}
	r.dispatcher.Fleet.Observe(result.Target, observed)
}

// uncachedTokens returns the number of prompt tokens that are expected not to be cached on
// the target.
func (r *completionRun) uncachedTokens() int {
	return max(0, r.req.PromptTokens-r.decision.Estimate.PrefixTokens)
}
