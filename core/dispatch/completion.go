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

// Complete runs a completion and ends the answer in sink, with a refusal if it
// didn't run.
func (d *Dispatcher) Complete(ctx context.Context, req *core.Request, completion core.CompletionRequest, sink stream.Sink) {
	a, refused := d.admit(req)
	if refused != nil {
		_ = sink.Fail(refused, nil) // a caller that went away can't be told
		return
	}
	d.Retrier.CountRequest()
	completion.Attempt = d.NewAttemptID()
	run := &completionRun{admitted: a, ctx: ctx, completion: completion}
	run.serve(stream.Call{}, sink)
}

// Resume continues the stream that a resume token names. The request was admitted
// when the stream began and isn't admitted again.
func (d *Dispatcher) Resume(ctx context.Context, req *core.Request, completion core.CompletionRequest, token string, sink stream.Sink) {
	position, err := d.Sealer.Open(token, req.Organisation)
	if err != nil {
		var refused *core.Refusal
		if !errors.As(err, &refused) {
			panic(err) // Open returns refusals only
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

// noReservation is a policy for work that was not admitted here.
type noReservation struct{ core.Policy }

// Finish returns nothing, since nothing was reserved.
func (noReservation) Finish(core.Instant, *core.Request, bool) {}

// completionRun is one completion with its attempts.
type completionRun struct {
	*admitted
	ctx        context.Context
	completion core.CompletionRequest
	attempts   int
	// cause is the error of the latest failed attempt.
	cause error
	// notRun counts the attempts that certainly did not run.
	notRun int
	load   estimate.Load
	// backlog is the prompt work, in tokens, that the request found on its target.
	backlog  float64
	finished func()
}

func (r *completionRun) serve(call stream.Call, sink stream.Sink) {
	call.Request, call.Completion = r.req, r.completion
	call.Targets, call.OnAttempt = r.nextCandidate, r.attemptEnded
	result := r.dispatcher.Relay.Serve(r.ctx, call, sink)
	r.release()
	r.updateEstimates(result)
	r.finish(result.Outcome, result.Reason, StreamStats{result.FirstToken, result.Tokens, result.Resumes, result.Reruns})
}

func (r *completionRun) release() {
	if r.finished != nil {
		r.finished()
		r.finished = nil
	}
}

// nextCandidate returns the target of the nextCandidate attempt: first the one that admission
// reckoned with, then others as the retry budget allows.
func (r *completionRun) nextCandidate(exclude []core.TargetID) (stream.Candidate, bool) {
	d := r.dispatcher
	r.release()
	r.attempts++
	if r.attempts > 1 {
		// An attempt that did not run cost its target nothing and doesn't count.
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

// prepare computes the prompt on another engine where the decision says so. When that
// fails, or the target has begun to leave, it chooses again without that engine.
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
		finished, ok := r.send(r.decision)
		if !ok {
			exclude = append(exclude, r.decision.Target)
			r.decision = r.route(d.Clock.Now(), exclude)
			continue
		}
		r.finished = finished
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

// promptSource returns the address of the engine to import the prompt's KV cache from;
// it is empty if the target computes the prompt. It returns false if the prefill
// engine failed.
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

// prefill computes the prompt on the prefill engine and returns its address.
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

// prefillSilenceTimeout is how long an engine may give no sign of life while it computes a
// prompt. Engines send a heartbeat every second.
const prefillSilenceTimeout = 3 * time.Second

// runPrefill runs a completion without output to its end.
func runPrefill(ctx context.Context, completer core.Completer, address string, completion core.CompletionRequest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(prefillSilenceTimeout, func() { cancel(core.ErrIdleTimeout) })
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
		watchdog.Reset(prefillSilenceTimeout)
	}
}

func (r *completionRun) attemptEnded(attempt stream.Attempt) {
	if attempt.Abandoned {
		return
	}
	r.cause = attempt.Err
	d := r.dispatcher
	if errors.Is(attempt.Err, core.ErrNotRun) {
		// The target refused: its role or state is not what the last report said.
		r.notRun++
		d.RefreshReport(attempt.Target)
	}
	d.Circuits.Record(attempt.Target, attempt.Err == nil || errors.Is(attempt.Err, core.ErrUnknownStream))
}

// updateEstimates passes what an undisturbed answer showed to the estimates. A prompt that was
// computed elsewhere says nothing about the target's prompt rate.
func (r *completionRun) updateEstimates(result stream.Result) {
	undisturbed := result.Resumes == 0 && result.Reruns == 0
	if result.Outcome != core.OutcomeDone || !undisturbed || result.Tokens < 2 {
		return
	}
	whole := r.dispatcher.Clock.Now().Sub(r.req.Arrived)
	observed := estimate.Observation{
		Sequences:     r.load.Sequences + 1,
		BetweenTokens: (whole - result.FirstToken) / time.Duration(result.Tokens-1),
	}
	if r.decision.Prefill == "" || r.decision.Prefill == r.decision.Target {
		observed.Backlog, observed.FirstToken = r.backlog, result.FirstToken
		observed.Computed = r.uncachedTokens()
	}
	r.dispatcher.Fleet.Observe(result.Target, observed)
}

// uncachedTokens is the part of the prompt that was expected to be in no cache, in tokens.
func (r *completionRun) uncachedTokens() int {
	return max(0, r.req.PromptTokens-r.decision.Estimate.PrefixTokens)
}
