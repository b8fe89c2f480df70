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
	// Delivered is true when a part of the answer has reached the caller and another target
	// can't continue it without repeating that part.
	Delivered bool
	// Attempt counts the attempts of the request so far, from 1.
	Attempt int
	// Expected is the estimated duration of another attempt.
	Expected time.Duration
}

// Reason is the reason against a further attempt.
type Reason string

// Reasons against a further attempt.
const (
	// ReasonNotRepeatable means that the attempt may have run and its kind must not run
	// twice.
	ReasonNotRepeatable Reason = "NotRepeatable"
	// ReasonDelivered means that a part of the answer has reached the caller.
	ReasonDelivered Reason = "Delivered"
	// ReasonAttempts means that MaxAttempts were made.
	ReasonAttempts Reason = "Attempts"
	// ReasonDeadline means that another attempt would exceed the deadline.
	ReasonDeadline Reason = "Deadline"
	// ReasonBudget means that the retry budget has no token left.
	ReasonBudget Reason = "Budget"
)

// Verdict is the decision about a further attempt.
type Verdict struct {
	Retry bool
	Delay time.Duration
	// Reason is empty if Retry is set.
	Reason Reason
}

// Options are the settings of a retrier.
type Options struct {
	// Ratio is the number of retries and hedges allowed per request.
	Ratio float64
	// Burst is the maximum number of unused attempts in the budget.
	Burst float64
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts int
	Backoff     Backoff
}

// DefaultOptions returns the default settings: additional attempts for a tenth of the
// requests, at most three attempts per request, and a first delay that is short compared
// with the deadline of an urgent clerk query.
func DefaultOptions() Options {
	return Options{
		Ratio:       0.1,
		Burst:       10,
		MaxAttempts: 3,
		Backoff:     Backoff{Base: 25 * time.Millisecond, Max: time.Second},
	}
}

// Retrier decides about retries, which share a budget with hedges. It is safe for
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

// CountRequest adds the tokens of a new request to the budget.
func (r *Retrier) CountRequest() { r.budget.Deposit() }

// Next decides about another attempt after a failure. A verdict to retry has taken a token
// from the budget.
func (r *Retrier) Next(now core.Instant, req *core.Request, failure Failure) Verdict {
	switch {
	case !failure.NotRun && !req.Kind.Repeatable:
		return Verdict{Reason: ReasonNotRepeatable}
	case failure.Delivered:
		return Verdict{Reason: ReasonDelivered}
	case failure.Attempt >= r.options.MaxAttempts:
		return Verdict{Reason: ReasonAttempts}
	}
	delay := r.options.Backoff.Delay(failure.Attempt, r.random.Float64())
	if delay+failure.Expected > req.Remaining(now) {
		return Verdict{Reason: ReasonDeadline}
	}
	if !r.budget.Withdraw() {
		return Verdict{Reason: ReasonBudget}
	}
	return Verdict{Retry: true, Delay: delay}
}
