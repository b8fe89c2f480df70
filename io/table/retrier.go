package table

import (
	"context"
	"math/rand/v2"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// RetrierOptions configure a Retrier.
type RetrierOptions struct {
	Table core.Table
	// MaxTries bounds the number of times that one call is sent; the default is 5.
	MaxTries int
	// Backoff is the mean backoff before the first retry. It doubles with each retry up to
	// MaxBackoff. The defaults are 50 ms and 1 s.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Sleep waits for d or the end of ctx; the default uses a timer.
	Sleep func(ctx context.Context, d time.Duration)
	// Random returns a number in [0, 1); the default is rand.Float64.
	Random func() float64
}

// Retrier retries calls whose outcome is unknown. Every try of a transaction has the same
// attempt ID, under which the service runs it at most once. It is safe for concurrent use.
type Retrier struct {
	core.Table
	opts RetrierOptions
}

var _ core.Table = (*Retrier)(nil)

// NewRetrier returns a retrier.
func NewRetrier(opts RetrierOptions) *Retrier {
	if opts.MaxTries == 0 {
		opts.MaxTries = 5
	}
	if opts.Backoff == 0 {
		opts.Backoff = 50 * time.Millisecond
	}
	if opts.MaxBackoff == 0 {
		opts.MaxBackoff = time.Second
	}
	if opts.Sleep == nil {
		opts.Sleep = func(ctx context.Context, d time.Duration) { pause.For(ctx, d) }
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &Retrier{Table: opts.Table, opts: opts}
}

// Transact runs a transaction and retries it while its outcome is unknown. A refusal of a
// retry doesn't tell whether an earlier try committed, so the result stays Unknown and
// does not become Unavailable.
//
// A conflict on a retry means that no earlier try has committed. If a conflicting row has
// a version above the expected one, no earlier try can commit later either, because
// versions only grow.
func (r *Retrier) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	result := r.Table.Transact(ctx, attempt, writes)
	if result.Kind != core.TransactUnknown {
		return result
	}
	for try := 1; try < r.opts.MaxTries && ctx.Err() == nil; try++ {
		r.opts.Sleep(ctx, r.backoff(try))
		retried := r.Table.Transact(ctx, attempt, writes)
		if retried.Kind == core.TransactCommitted || retried.Kind == core.TransactConflict {
			return retried
		}
	}
	return result
}

// Read reads rows and retries a failed read once.
func (r *Retrier) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	rows, err := r.Table.Read(ctx, keys...)
	if err == nil || ctx.Err() != nil {
		return rows, err
	}
	r.opts.Sleep(ctx, r.backoff(1))
	return r.Table.Read(ctx, keys...)
}

// backoff returns the backoff before a retry, between 0.5 and 1.5 times its mean. The
// jitter prevents instances that failed at the same time from retrying at the same time.
func (r *Retrier) backoff(try int) time.Duration {
	mean := min(r.opts.Backoff<<(try-1), r.opts.MaxBackoff)
	return mean/2 + time.Duration(r.opts.Random()*float64(mean))
}
