package table

import (
	"context"
	"math/rand/v2"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// RetrierOptions configure a Settler.
type RetrierOptions struct {
	Table core.Table
	// MaxTries bounds how often one call is made; 0 takes 5.
	MaxTries int
	// Backoff is the mean pause before the first repeat; it doubles up to MaxBackoff.
	// 0 takes 50 ms and 1 s.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Sleep waits for a pause or the end of ctx; nil takes a timer.
	Sleep func(ctx context.Context, d time.Duration)
	// Random returns a number from 0 to 1; nil takes the process's random source.
	Random func() float64
}

// Retrier repeats calls whose outcome is unknown under the same attempt ID, which the
// service runs once. It is safe for concurrent use.
type Retrier struct {
	core.Table
	opts RetrierOptions
}

var _ core.Table = (*Retrier)(nil)

// NewRetrier returns a settler.
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

// Transact runs a transaction and repeats it while its outcome is unknown. Once one
// try was unknown, a later refusal says nothing about that try: the result is then
// Unknown and not Unavailable.
//
// A conflict on a repeat means that no try committed before it. The lost try can't
// commit after it either if a conflicting row has a version above the expected one,
// because versions only grow.
func (s *Retrier) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	result := s.Table.Transact(ctx, attempt, writes)
	if result.Kind != core.TransactUnknown {
		return result
	}
	for try := 1; try < s.opts.MaxTries && ctx.Err() == nil; try++ {
		s.opts.Sleep(ctx, s.pause(try))
		again := s.Table.Transact(ctx, attempt, writes)
		if again.Kind == core.TransactCommitted || again.Kind == core.TransactConflict {
			return again
		}
	}
	return result
}

// Read reads rows and repeats a failed read once.
func (s *Retrier) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	rows, err := s.Table.Read(ctx, keys...)
	if err == nil || ctx.Err() != nil {
		return rows, err
	}
	s.opts.Sleep(ctx, s.pause(1))
	return s.Table.Read(ctx, keys...)
}

// pause returns the time before a repeat, from half to one and a half of its mean. The
// jitter keeps instances that failed together from repeating together.
func (s *Retrier) pause(try int) time.Duration {
	mean := min(s.opts.Backoff<<(try-1), s.opts.MaxBackoff)
	return mean/2 + time.Duration(s.opts.Random()*float64(mean))
}
