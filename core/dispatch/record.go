package dispatch

import (
	"time"

	"gorseline/core"
	"gorseline/core/retry"
	"gorseline/core/timeline"
)

// Kinds of events that this package records.
const (
	EventRouted   core.EventKind = "RequestRouted"
	EventRefused  core.EventKind = "RequestRefused"
	EventFinished core.EventKind = "RequestFinished"
	// EventNotRetried records why a failed request isn't retried.
	EventNotRetried core.EventKind = "RequestNotRetried"
)

// StreamStats are the statistics of the stream of a request; they are zero for plain
// services.
type StreamStats struct {
	// FirstToken is the time until the first token.
	FirstToken      time.Duration
	Tokens          int
	Resumes, Reruns int
}

// FinishedRequest is a request that has finished or was refused on this instance, and its
// outcome.
type FinishedRequest struct {
	Request *core.Request
	Policy  string
	// Target is empty for a refused request.
	Target  core.TargetID
	Outcome core.OutcomeKind
	Reason  core.Reason
	// Refused is set if the request was not admitted.
	Refused bool
	// InTime is set if the request was answered within its deadline.
	InTime bool
	// Took is the time since the arrival of the request; 0 for a refused request.
	Took time.Duration
	StreamStats
}

// Observer is notified of finished requests. RequestFinished must not block.
type Observer interface{ RequestFinished(FinishedRequest) }

// recordFinished records the outcome of an admitted request.
func (d *Dispatcher) recordFinished(finished FinishedRequest) {
	var in timeline.Inputs
	addRequest(&in, finished.Policy, finished.Request)
	in.Text("Outcome", finished.Outcome.String()).Bool("InTime", finished.InTime).Float("Weight", finished.Request.Kind.Weight).
		Duration("Took", finished.Took)
	if finished.Request.Model != "" {
		in.Int("PromptTokens", int64(finished.Request.PromptTokens)).Int("OutputTokens", int64(finished.Tokens)).
			Duration("FirstToken", finished.FirstToken)
	}
	d.Recorder.Record(core.Event{
		Kind: EventFinished, Request: finished.Request.ID, Target: finished.Target, Reason: finished.Reason, Detail: in.String(),
	})
	d.observe(finished)
}

// observe passes a finished request to the comparison of policies and to the observer.
func (d *Dispatcher) observe(finished FinishedRequest) {
	d.comparison.add(finished)
	if d.Observer != nil {
		d.Observer.RequestFinished(finished)
	}
}

// addRequest adds the inputs that all events of a request have in common.
func addRequest(in *timeline.Inputs, policy string, req *core.Request) {
	in.Text("Kind", string(req.Kind.Name)).Text("Policy", policy).Int("Revision", int64(req.Revision)).
		Text("Key", string(req.Key))
}

// recordRefused records why a request was not admitted, with the estimate behind the
// decision.
func (d *Dispatcher) recordRefused(
	now core.Instant, policy core.Policy, req *core.Request, decision core.Decision, admission core.Admission,
) {
	var in timeline.Inputs
	addRequest(&in, policy.Name(), req)
	in.Float("Weight", req.Kind.Weight).Text("Organisation", string(req.Organisation)).
		Duration("Remaining", req.Remaining(now)).Duration("RetryAfter", admission.RetryAfter)
	if decision.Found() {
		addEstimate(&in, decision.Estimate)
	}
	d.Recorder.Record(core.Event{
		Kind: EventRefused, Request: req.ID, Target: decision.Target, Reason: admission.Reason, Detail: in.String(),
	})
	d.observe(FinishedRequest{
		Request: req, Policy: policy.Name(), Outcome: core.OutcomeNotRun, Reason: admission.Reason, Refused: true,
	})
}

// recordRouted records why a target was selected.
func (d *Dispatcher) recordRouted(policy core.Policy, req *core.Request, decision core.Decision) {
	var in timeline.Inputs
	addRequest(&in, policy.Name(), req)
	addEstimate(&in, decision.Estimate)
	in.Text("Prefill", string(decision.Prefill)).Text("ImportFrom", string(decision.ImportFrom))
	d.Recorder.Record(core.Event{
		Kind: EventRouted, Request: req.ID, Target: decision.Target, Reason: decision.Reason, Detail: in.String(),
	})
}

// addEstimate adds the expected times and cached tokens of a request.
func addEstimate(in *timeline.Inputs, e core.Estimate) {
	in.Duration("ExpectedTotal", e.Total).Duration("ExpectedQueue", e.Queue)
	if e.PrefixTokens > 0 {
		in.Int("CachedTokens", int64(e.PrefixTokens))
	}
}

// recordNotRetried records why a request isn't retried, with the cause of its last failure.
func (d *Dispatcher) recordNotRetried(req *core.Request, target core.TargetID, verdict retry.Verdict, cause error) {
	var in timeline.Inputs
	if cause != nil {
		in.Text("Cause", cause.Error())
	}
	d.Recorder.Record(core.Event{
		Kind: EventNotRetried, Request: req.ID, Target: target, Reason: core.Reason(verdict.Reason), Detail: in.String(),
	})
}
