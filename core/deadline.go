package core

import (
	"context"
	"time"
)

// DeadlineClock is a clock that also creates contexts with a deadline at one of its
// instants. The deadline is absolute: a process that is paused between reading the
// clock and calling WithDeadline doesn't extend it.
type DeadlineClock interface {
	ClockProvider
	WithDeadline(ctx context.Context, at Instant) (context.Context, context.CancelFunc)
}

var _ DeadlineClock = processClock{}

// NewDeadlineClock returns a process clock that also creates deadlines.
func NewDeadlineClock() DeadlineClock { return processClock{start: time.Now()} }

// WithDeadline returns a copy of ctx that is cancelled at the given instant.
func (c processClock) WithDeadline(ctx context.Context, at Instant) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, c.start.Add(time.Duration(at)))
}
