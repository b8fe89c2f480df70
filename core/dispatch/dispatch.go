// Package dispatch handles a request from its arrival to its outcome: it routes and admits
// the request, sends it to targets, and counts and records how it ends.
package dispatch

import (
	"context"
	"time"

	"gorseline/core"
	"gorseline/core/drain"
	"gorseline/core/operation"
	"gorseline/core/retry"
	"gorseline/core/routing"
	"gorseline/core/stream"
)

// Operations runs calls that may not be repeated.
type Operations interface {
	Execute(ctx context.Context, call operation.Call, run func(context.Context) core.ServiceResult) operation.Result
}

// Options are the dependencies of a Dispatcher. All fields except Observer are required.
type Options struct {
	Policies   core.PolicyProvider
	Fleet      *routing.Store
	Completer  core.Completer
	Relay      *stream.Relay
	Signer     *stream.TokenSigner
	Services   core.ServiceClient
	Operations Operations
	Retrier    *retry.Retrier
	Hedger     *retry.Hedger
	Circuits   *Circuits
	// Draining tracks the targets that accept no new work.
	Draining *drain.Targets
	Clock    core.ClockProvider
	Recorder core.Recorder
	// RefreshReport requests a new load report of a target. It doesn't block.
	RefreshReport func(core.TargetID)
	// NewAttemptID returns an ID that is unique across processes.
	NewAttemptID func() core.AttemptID
	// Observer is notified of finished requests; it may be nil.
	Observer Observer
}

// Dispatcher routes, admits and runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	totals     Totals
	comparison comparison
}

// New returns a dispatcher whose totals are zero.
func New(options Options) *Dispatcher { return &Dispatcher{Options: options} }

// Kinds returns the totals of the requests that finished on this instance, by kind.
func (d *Dispatcher) Kinds() map[core.KindName]KindTotals { return d.totals.Kinds() }

// Traffic returns the totals of the requests that arrived at this instance, by model.
func (d *Dispatcher) Traffic() map[core.Model]Traffic { return d.totals.Traffic() }

// admitted is a request that a policy has admitted. It keeps the policy, so that a change
// of the preset doesn't affect by which policy the request is finished and counted.
type admitted struct {
	dispatcher *Dispatcher
	policy     core.Policy
	req        *core.Request
	decision   core.Decision
}

// admit routes the request and applies admission control.
func (d *Dispatcher) admit(req *core.Request) (*admitted, *core.Refusal) {
	d.totals.countArrival(req)
	now := d.Clock.Now()
	policy := d.Policies.Policy(req.Organisation)
	decision := policy.Route(now, req, d.Fleet)
	if !decision.Found() {
		return nil, d.refuse(now, policy, req, decision, core.Admission{Reason: decision.Reason, RetryAfter: noTargetRetryAfter})
	}
	admission := policy.Admit(now, req, decision.Estimate)
	if !admission.Admitted {
		return nil, d.refuse(now, policy, req, decision, admission)
	}
	return &admitted{dispatcher: d, policy: policy, req: req, decision: decision}, nil
}

// route selects a target that isn't in exclude.
func (a *admitted) route(now core.Instant, exclude []core.TargetID) core.Decision {
	fleet := excludingFleet{a.dispatcher.Fleet, exclude}
	return a.policy.Route(now, a.req, fleet)
}

// finish releases the reservation of the request, and counts and records its outcome.
func (a *admitted) finish(outcome core.OutcomeKind, reason core.Reason, stats StreamStats) {
	d := a.dispatcher
	now := d.Clock.Now()
	inTime := outcome == core.OutcomeDone && a.req.Remaining(now) >= 0
	a.policy.Finish(now, a.req, inTime)
	d.totals.countFinished(a.req, outcome, inTime)
	d.recordFinished(FinishedRequest{
		Request: a.req, Policy: a.policy.Name(), Target: a.decision.Target, Outcome: outcome, Reason: reason,
		InTime: inTime, Took: now.Sub(a.req.Arrived), StreamStats: stats,
	})
}

// noTargetRetryAfter is the Retry-After delay of a request that no target can take, or that
// no target answered in time. A new load report arrives within about this time.
const noTargetRetryAfter = 2 * time.Second

// refuse counts and records a refused request and returns the refusal.
func (d *Dispatcher) refuse(
	now core.Instant, policy core.Policy, req *core.Request, decision core.Decision, admission core.Admission,
) *core.Refusal {
	d.totals.countRefusal(req)
	d.recordRefused(now, policy, req, decision, admission)
	return refusal(req, admission.Reason).WithRetryAfter(admission.RetryAfter)
}

// beginAttempt records that the request is sent to a target. The caller calls end when the
// attempt ends. beginAttempt returns false if the target has started to drain since the
// decision.
func (a *admitted) beginAttempt(decision core.Decision) (end func(), ok bool) {
	d := a.dispatcher
	if !d.Draining.Begin(decision.Target) {
		return nil, false
	}
	d.Fleet.Sent(d.Clock.Now(), a.req, decision)
	d.recordRouted(a.policy, a.req, decision)
	return func() {
		d.Draining.End(decision.Target)
		d.Fleet.Finished(d.Clock.Now(), decision)
	}, true
}
