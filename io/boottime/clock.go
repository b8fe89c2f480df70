// Package boottime provides a monotonic clock that includes the time in which the machine was
// suspended, unlike Go's monotonic clock. Leases need it: a holder that resumes after a suspend
// must not treat an expired lease as valid.
package boottime

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"gorseline/core"
)

// Clock counts from its creation. It is safe for concurrent use.
type Clock struct{ start time.Duration }

var _ core.DeadlineClock = (*Clock)(nil)

// NewClock returns a clock. It returns an error if the system does not support
// CLOCK_BOOTTIME.
func NewClock() (*Clock, error) {
	now, err := read()
	return &Clock{now}, err
}

func read() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time since the clock was created.
func (c *Clock) Now() core.Instant {
	now, err := read()
	if err != nil {
		panic(err) // CLOCK_BOOTTIME is supported if NewClock succeeded
	}
	return core.Instant(now - c.start)
}

// WithDeadline returns a copy of ctx with a deadline. If the machine is suspended before the
// deadline, the context ends later by the time of the suspend. Callers that must not act after
// the deadline also compare it with Now.
func (c *Clock) WithDeadline(ctx context.Context, at core.Instant) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, at.Sub(c.Now()))
}
