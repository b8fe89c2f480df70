package retry

import (
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Failure describes a failed attempt.
type Failure struct {
	// NotRun is true when it is certain that the attempt did not run.
	NotRun bool
	// Delivered is true when a part of the answer has reached the caller and can't be
	// continued on another target without a repetition.
	Delivered bool
	// Attempt counts the attempts of the request so far, from 1.
	Attempt int
	// Expected is how long another attempt takes, from the last estimate.
	Expected time.Duration
}

// Reason says why there is no further attempt.
type Reason string

// Reasons against a further attempt.
const (
	ReasonNotRepeatable Reason = "NotRepeatable"
	ReasonDelivered     Reason = "Delivered"
	ReasonAttempts      Reason = "Attempts"
	ReasonDeadline      Reason = "Deadline"
	ReasonBudget        Reason = "Budget"
)

// Verdict is the decision about a further attempt. Refusal is empty if there is one.
type Verdict struct {
	Retry bool
	Delay time.Duration
	// Reason says why there is none.
	Reason Reason
}

// Options are the settings of a retrier.
type Options struct {
	// Ratio is the number of retries and hedges allowed per fresh request.
	Ratio float64
	// Burst is the number of unused attempts that are kept.
	Burst float64
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts int
	Backoff     Backoff
}

// DefaultOptions returns the default settings: a tenth of fresh traffic, at most three
// attempts, and a first delay that is short against the deadline of a clerk query.
func DefaultOptions() Options {
	return Options{
		Ratio:       0.1,
		Burst:       10,
		MaxAttempts: 3,
		Backoff:     Backoff{Base: 25 * time.Millisecond, Max: time.Second},
	}
}

// Retrier decides about retries and hedges, which share one budget. It is safe for
// concurrent use.
type Retrier struct {
	options Options
	budget  *Budget
	random  *random.Source
}

// NewRetrier returns a retrier with a full budget.
func NewRetrier(options Options, source *random.Source) *Retrier {
	return &Retrier{options: options, budget: NewBudget(options.Ratio, options.Burst), random: source}
}

// Budget returns the budget of retries and hedges.
func (r *Retrier) Budget() *Budget { return r.budget }

// CountRequest counts a request's first attempt.
func (r *Retrier) CountRequest() { r.budget.Deposit() }

// Next decides about another attempt after a failure. A verdict to retry has used up a
// part of the budget.
func (r *Retrier) Next(now core.Instant, req *core.Request, failure Failure) Verdict {
	switch {
	case !failure.NotRun && !req.Kind.Repeatable:
		return Verdict{Reason: ReasonNotRepeatable}
	case failure.Delivered:
		return Verdict{Reason: ReasonDelivered}
	case failure.Attempt >= r.options.MaxAttempts:
		return Verdict{Reason: ReasonAttempts}
	}
	after := r.options.Backoff.Delay(failure.Attempt, r.random.Float64())
	if after+failure.Expected > req.Remaining(now) {
		return Verdict{Reason: ReasonDeadline}
	}
	if !r.budget.Withdraw() {
		return Verdict{Reason: ReasonBudget}
	}
	return Verdict{Retry: true, Delay: after}
}
