package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"gorseline/core"
)

// RateLimiterOptions configure a RateLimiter.
type RateLimiterOptions struct {
	Table core.Table
	// WritesPerSecond and ReadsPerSecond are the rates of all instances together.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Instances is the number of instances that share the rates; at least 1. SetInstances
	// changes it.
	Instances int
	// Burst is the size of each token bucket, in calls; the default is 8.
	Burst int
	// MaxWait bounds the wait for a token; the default is 2 s.
	MaxWait time.Duration
}

// ErrRateLimited reports a call that was not sent because it would have exceeded the
// instance's share of the fleet's rate limits.
var ErrRateLimited = errors.Wrap(core.ErrUnavailable, "table: rate limit exceeded")

// RateLimiter limits an instance to an equal share of the fleet's rates, with one token
// bucket for writes and one for reads. A transaction costs one write token regardless of
// its number of rows. It is safe for concurrent use.
type RateLimiter struct {
	opts   RateLimiterOptions
	writes *rate.Limiter
	reads  *rate.Limiter
}

var _ core.Table = (*RateLimiter)(nil)

// NewRateLimiter returns a rate limiter with full buckets.
func NewRateLimiter(opts RateLimiterOptions) *RateLimiter {
	if opts.Burst == 0 {
		opts.Burst = 8
	}
	if opts.MaxWait == 0 {
		opts.MaxWait = 2 * time.Second
	}
	l := &RateLimiter{
		opts: opts, writes: rate.NewLimiter(0, opts.Burst), reads: rate.NewLimiter(0, opts.Burst),
	}
	l.SetInstances(opts.Instances)
	return l
}

// SetInstances sets the number of instances that share the rates.
func (l *RateLimiter) SetInstances(n int) { l.SetWritersAndReaders(n, n) }

// SetWritersAndReaders sets the numbers of instances that share the write rate and the read
// rate.
func (l *RateLimiter) SetWritersAndReaders(writers, readers int) {
	l.writes.SetLimit(rate.Limit(l.opts.WritesPerSecond / float64(max(writers, 1))))
	l.reads.SetLimit(rate.Limit(l.opts.ReadsPerSecond / float64(max(readers, 1))))
}

// AwaitWrite waits for a write token and takes it. The error is ErrRateLimited if none
// becomes available before MaxWait or the end of ctx.
func (l *RateLimiter) AwaitWrite(ctx context.Context) error { return l.await(ctx, l.writes) }

func (l *RateLimiter) await(ctx context.Context, limiter *rate.Limiter) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.MaxWait)
	defer cancel()
	if limiter.Wait(ctx) != nil {
		return ErrRateLimited
	}
	return nil
}

// Read reads rows within the rate limit.
func (l *RateLimiter) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	if err := l.await(ctx, l.reads); err != nil {
		return nil, err
	}
	return l.opts.Table.Read(ctx, keys...)
}

// Scan lists rows within the rate limit.
func (l *RateLimiter) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	if err := l.await(ctx, l.reads); err != nil {
		return nil, err
	}
	return l.opts.Table.Scan(ctx, prefix, after, limit)
}

// Transact runs a transaction within the rate limit. If no token becomes available in
// time, the result is Unavailable.
func (l *RateLimiter) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if err := l.AwaitWrite(ctx); err != nil {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: err}
	}
	return l.opts.Table.Transact(ctx, attempt, writes)
}
