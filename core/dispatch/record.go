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
	// EventNotRetried tells why a failed request got no further attempt.
	EventNotRetried core.EventKind = "RequestNotRetried"
)

// StreamStats describes how the stream of a request went; it is zero for plain services.
type StreamStats struct {
	FirstToken      time.Duration
	Tokens          int
	Resumes, Reruns int
}

// FinishedRequest describes how a request ended on this instance.
type FinishedRequest struct {
	Request *core.Request
	Policy  string
	// Target is empty for a request that was refused.
	Target  core.TargetID
	Outcome core.OutcomeKind
	Reason  core.Reason
	// Refused says that the request was not admitted.
	Refused bool
	InTime  bool
	Took    time.Duration
	StreamStats
}

// Observer is told how requests end. It must return at once.
type Observer interface{ RequestFinished(FinishedRequest) }

func (d *Dispatcher) recordFinished(e FinishedRequest) {
	var in timeline.Inputs
	addRequest(&in, e.Policy, e.Request)
	in.Text("Outcome", e.Outcome.String()).Bool("InTime", e.InTime).Float("Weight", e.Request.Kind.Weight).
		Duration("Took", e.Took)
	if e.Request.Model != "" {
		in.Int("PromptTokens", int64(e.Request.PromptTokens)).Int("OutputTokens", int64(e.Tokens)).
			Duration("FirstToken", e.FirstToken)
	}
	d.Recorder.Record(core.Event{
		Kind: EventFinished, Request: e.Request.ID, Target: e.Target, Reason: e.Reason, Detail: in.String(),
	})
	d.observe(e)
}

func (d *Dispatcher) observe(e FinishedRequest) {
	d.comparison.add(e)
	if d.Observer != nil {
		d.Observer.RequestFinished(e)
	}
}

// addRequest adds what is the same for all events of a request.
func addRequest(in *timeline.Inputs, policy string, req *core.Request) {
	in.Text("Kind", string(req.Kind.Name)).Text("Policy", policy).Int("Revision", int64(req.Revision)).
		Text("Key", string(req.Key))
}

// recordRefused records why a request was not taken on, with the estimate it rests on.
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

// recordRouted records why a target was chosen.
func (d *Dispatcher) recordRouted(policy core.Policy, req *core.Request, decision core.Decision) {
	var in timeline.Inputs
	addRequest(&in, policy.Name(), req)
	addEstimate(&in, decision.Estimate)
	in.Text("Prefill", string(decision.Prefill)).Text("ImportFrom", string(decision.ImportFrom))
	d.Recorder.Record(core.Event{
		Kind: EventRouted, Request: req.ID, Target: decision.Target, Reason: decision.Reason, Detail: in.String(),
	})
}

func addEstimate(in *timeline.Inputs, e core.Estimate) {
	in.Duration("ExpectedTotal", e.Total).Duration("ExpectedQueue", e.Queue)
	if e.PrefixTokens > 0 {
		in.Int("CachedTokens", int64(e.PrefixTokens))
	}
}

func (d *Dispatcher) recordNotRetried(req *core.Request, target core.TargetID, verdict retry.Verdict, cause error) {
	var in timeline.Inputs
	if cause != nil {
		in.Text("Cause", cause.Error())
	}
	d.Recorder.Record(core.Event{
		Kind: EventNotRetried, Request: req.ID, Target: target, Reason: core.Reason(verdict.Reason), Detail: in.String(),
	})
}
