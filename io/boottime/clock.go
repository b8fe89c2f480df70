// Package boottime provides a clock that also counts the time in which the machine was
// suspended, which Go's monotonic clock leaves out. Leases need it: a holder that was
// suspended must not take its lease for valid when it wakes up.
package boottime

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"gorseline/core"
)

// Clock counts from the moment it was made. It is safe for concurrent use.
type Clock struct{ start time.Duration }

var _ core.DeadlineClock = (*Clock)(nil)

// NewClock returns a clock. The error says that the system has no such clock.
func NewClock() (*Clock, error) {
	now, err := read()
	return &Clock{now}, err
}

func read() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read the boot time clock")
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time since the clock was made.
func (c *Clock) Now() core.Instant {
	now, err := read()
	if err != nil {
		panic(err) // it worked when the clock was made
	}
	return core.Instant(now - c.start)
}

// WithDeadline returns a copy of ctx that ends at an instant. The end comes late by the
// time that the machine is suspended meanwhile; who must not act then compares Now.
func (c *Clock) WithDeadline(ctx context.Context, at core.Instant) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, at.Sub(c.Now()))
}
