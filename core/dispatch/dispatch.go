// Package dispatch takes a caller's request through routing, admission, the target
// and the account of its outcome.
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

// Options are the parts of a Dispatcher. All fields are required.
type Options struct {
	Policies   core.PolicyProvider
	Fleet      *routing.Store
	Completer  core.Completer
	Relay      *stream.Relay
	Sealer     *stream.Sealer
	Services   core.ServiceClient
	Operations Operations
	Retrier    *retry.Retrier
	Hedger     *retry.Hedger
	Circuits   *Circuits
	// Draining knows the targets that get no new work.
	Draining *drain.Targets
	Clock    core.ClockProvider
	Recorder core.Recorder
	// RefreshReport asks for a new load report of a target; it returns at once.
	RefreshReport func(core.TargetID)
	// NewAttemptID returns a new ID that no process has used.
	NewAttemptID func() core.AttemptID
	// Observer is told how requests end; it may be nil.
	Observer Observer
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	totals    Totals
	comparison comparison
}

// New returns a dispatcher with an empty account.
func New(options Options) *Dispatcher { return &Dispatcher{Options: options} }

// Kinds returns the totals of the requests that ended here.
func (d *Dispatcher) Kinds() map[core.KindName]KindTotals { return d.totals.Kinds() }

// Traffic returns the totals of the requests that arrived here, by model.
func (d *Dispatcher) Traffic() map[core.Model]Traffic { return d.totals.Traffic() }

// admitted is a request that a policy has taken on. It keeps the policy, so that a
// switch of the preset doesn't change how the request is accounted for.
type admitted struct {
	dispatcher *Dispatcher
	policy     core.Policy
	req        *core.Request
	decision   core.Decision
}

// admit routes the request and asks for admission.
func (d *Dispatcher) admit(req *core.Request) (*admitted, *core.Refusal) {
	d.totals.countArrival(req)
	now := d.Clock.Now()
	policy := d.Policies.Policy(req.Organisation)
	decision := policy.Route(now, req, d.Fleet)
	if !decision.Found() {
		return nil, d.refuse(now, policy, req, decision, core.Admission{Reason: decision.Reason, RetryAfter: retryWithoutTarget})
	}
	admission := policy.Admit(now, req, decision.Estimate)
	if !admission.Admitted {
		return nil, d.refuse(now, policy, req, decision, admission)
	}
	return &admitted{dispatcher: d, policy: policy, req: req, decision: decision}, nil
}

// route chooses another target, leaving out some.
func (a *admitted) route(now core.Instant, exclude []core.TargetID) core.Decision {
	fleet := excludingFleet{a.dispatcher.Fleet, exclude}
	return a.policy.Route(now, a.req, fleet)
}

// finish returns the reservation and accounts for the outcome.
func (a *admitted) finish(outcome core.OutcomeKind, reason core.Reason, run StreamStats) {
	d := a.dispatcher
	now := d.Clock.Now()
	inTime := outcome == core.OutcomeDone && a.req.Remaining(now) >= 0
	a.policy.Finish(now, a.req, inTime)
	d.totals.countFinished(a.req, outcome, inTime)
	d.recordFinished(FinishedRequest{
		Request: a.req, Policy: a.policy.Name(), Target: a.decision.Target, Outcome: outcome, Reason: reason,
		InTime: inTime, Took: now.Sub(a.req.Arrived), StreamStats: run,
	})
}

// retryWithoutTarget is when a request comes back that no target can take: about
// one load report later.
const retryWithoutTarget = 2 * time.Second

func (d *Dispatcher) refuse(
	now core.Instant, policy core.Policy, req *core.Request, decision core.Decision, admission core.Admission,
) *core.Refusal {
	d.totals.countRefusal(req)
	d.recordRefused(now, policy, req, decision, admission)
	return refusal(req, admission.Reason).WithRetryAfter(admission.RetryAfter)
}

// send notes that the request goes to a target and returns what to call at its end.
// It returns false if the target has begun to leave since the decision.
func (a *admitted) send(decision core.Decision) (finished func(), ok bool) {
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
