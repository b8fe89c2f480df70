package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"gorseline/core"
)

// RateLimiterOptions configure a Budget.
type RateLimiterOptions struct {
	Table core.Table
	// WritesPerSecond and Reads are the calls per second that all instances together may make.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Instances is how many instances share them; at least 1. SetInstances follows
	// changes.
	Instances int
	// Burst is how many calls may be saved up; 0 takes 8.
	Burst int
	// MaxWait bounds the wait for a call to become affordable; 0 takes 2 s.
	MaxWait time.Duration
}

// ErrRateLimited reports a call that was not sent because the instance's share of the
// table service's capacity is used up.
var ErrRateLimited = errors.Wrap(core.ErrUnavailable, "table: over budget")

// RateLimiter gives an instance an equal share of the fleet's calls, with a token bucket
// for writes and one for reads. A transaction costs one write whatever its number of
// rows. It is safe for concurrent use.
type RateLimiter struct {
	opts   RateLimiterOptions
	writes *rate.Limiter
	reads  *rate.Limiter
}

var _ core.Table = (*RateLimiter)(nil)

// NewRateLimiter returns a budget with full buckets.
func NewRateLimiter(opts RateLimiterOptions) *RateLimiter {
	if opts.Burst == 0 {
		opts.Burst = 8
	}
	if opts.MaxWait == 0 {
		opts.MaxWait = 2 * time.Second
	}
	b := &RateLimiter{
		opts: opts, writes: rate.NewLimiter(0, opts.Burst), reads: rate.NewLimiter(0, opts.Burst),
	}
	b.SetInstances(opts.Instances)
	return b
}

// SetInstances changes the number of instances that share the calls.
func (b *RateLimiter) SetInstances(n int) { b.SetWritersAndReaders(n, n) }

// SetWritersAndReaders changes the number of instances that write and that read.
func (b *RateLimiter) SetWritersAndReaders(writers, readers int) {
	b.writes.SetLimit(rate.Limit(b.opts.WritesPerSecond / float64(max(writers, 1))))
	b.reads.SetLimit(rate.Limit(b.opts.ReadsPerSecond / float64(max(readers, 1))))
}

// AwaitWrite waits until a write is affordable and takes it. It fails if that takes
// longer than MaxWait or ctx allows.
func (b *RateLimiter) AwaitWrite(ctx context.Context) error { return b.await(ctx, b.writes) }

func (b *RateLimiter) await(ctx context.Context, limiter *rate.Limiter) error {
	ctx, cancel := context.WithTimeout(ctx, b.opts.MaxWait)
	defer cancel()
	if limiter.Wait(ctx) != nil {
		return ErrRateLimited
	}
	return nil
}

// Read reads rows within the budget.
func (b *RateLimiter) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	if err := b.await(ctx, b.reads); err != nil {
		return nil, err
	}
	return b.opts.Table.Read(ctx, keys...)
}

// Scan lists rows within the budget.
func (b *RateLimiter) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	if err := b.await(ctx, b.reads); err != nil {
		return nil, err
	}
	return b.opts.Table.Scan(ctx, prefix, after, limit)
}

// Transact runs a transaction within the budget.
func (b *RateLimiter) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if err := b.AwaitWrite(ctx); err != nil {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: err}
	}
	return b.opts.Table.Transact(ctx, attempt, writes)
}
