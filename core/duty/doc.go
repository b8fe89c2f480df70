// Package duty performs the calls to the platform that a single instance makes on behalf of the fleet.
// They are made under the lease of shard 0 of package authority, and carry its fence.
//
// The platform's API can't be read and doesn't compare fences, so the content of a call that must not
// differ between holders is fixed in the table before it is sent.
package duty

import (
	"context"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

// Shard is the shard whose lease holder performs the duties.
const Shard = 0

// LeaseUser gives out the lease for single calls; see authority.LeaseManager.
type LeaseUser interface {
	// Use returns the lease of a shard and the version of its row if a call may start under it now. The
	// lease is not released until release is called.
	Use(shard int) (lease authority.Lease, version uint64, release func(), ok bool)
}

var _ LeaseUser = (*authority.LeaseManager)(nil)

// TrueTimeProvider provides the time on which the instances agree.
type TrueTimeProvider interface {
	// Now returns the time; ok is false while it isn't known.
	Now() (at time.Time, ok bool)
}

// CountState tells how much of a window's counts is known.
type CountState uint8

// States of counts.
const (
	// CountsUnknown means that the window ended before this instance could know its counts.
	CountsUnknown CountState = iota
	// CountsIncomplete means that a larger share is missing than a report may lack.
	CountsIncomplete
	// CountsTolerable means that some counts are missing, but no more than a report may lack.
	CountsTolerable
	CountsComplete
)

var countStateNames = [...]string{"Unknown", "Incomplete", "Tolerable", "Complete"}

// String returns the state's name.
func (s CountState) String() string {
	if int(s) < len(countStateNames) {
		return countStateNames[s]
	}
	return "Invalid"
}

// CountSource provides the counts of windows.
type CountSource interface {
	// Counts returns the counts of a window as known now. The caller doesn't change the map.
	Counts(window uint64) (counts map[core.Organisation]int, state CountState)
}

// SkipReason tells why a window is not reported.
type SkipReason string

// Reasons for skipping a window.
const (
	// SkipUnknown and SkipIncomplete mean that the counts were unknown or incomplete until it was too late.
	SkipUnknown    SkipReason = "CountsUnknown"
	SkipIncomplete SkipReason = "CountsIncomplete"
	// SkipNotFixed means that the report could not be written to the table in time, or that there was no
	// holder in time.
	SkipNotFixed SkipReason = "NotFixed"
	// SkipNotAccepted means that the report was fixed, but no confirmation of the platform is known. A call
	// without an answer may have taken effect, and an earlier holder may have had a confirmation.
	SkipNotAccepted SkipReason = "NotAccepted"
	// SkipEarlierEra means that the table has come back from an older copy since the window ended. A
	// report may have been fixed that the copy doesn't have.
	SkipEarlierEra SkipReason = "EarlierEra"
)

// UsageObserver counts what Usage does. Its methods must not block.
type UsageObserver interface {
	// ObserveFixed is called for each report that this process has fixed.
	ObserveFixed(window uint64)
	// ObserveCall is called after each call of the platform.
	ObserveCall(window uint64, result core.DutyResult)
	// ObserveSkipped is called once for each window that this process gives up.
	ObserveSkipped(window uint64, reason SkipReason)
}

// Kinds of events that this package records.
const (
	EventUsageFixed    core.EventKind = "UsageFixed"
	EventUsageReported core.EventKind = "UsageReported"
	EventUsageSkipped  core.EventKind = "UsageSkipped"
	// EventUsageUnreadable is the record of a row that can't be decoded. Nothing is reported until it can.
	EventUsageUnreadable core.EventKind = "UsageUnreadable"
)

// UsageOptions configures a Usage.
type UsageOptions struct {
	// Self is the holder that calls state.
	Self     core.InstanceID
	Table    core.Table
	Leases   LeaseUser
	Reporter core.UsageReporter
	Counts   CountSource
	// Clock must count the time in which the machine is suspended.
	Clock    core.DeadlineClock
	TrueTime TrueTimeProvider
	Recorder core.Recorder
	// Observer may be nil.
	Observer UsageObserver
	// NewAttemptID returns an ID that is unique across all processes.
	NewAttemptID func() core.AttemptID
	// Window is the length of a window. Window k begins k times this length after the start of 1970.
	Window time.Duration
	// Late is the time after the end of a window within which it must be reported.
	Late time.Duration
	// CallTimeout bounds a call of the platform and of the table. It must not exceed the OrderLifetime of
	// the lease manager.
	CallTimeout time.Duration
	// ClockMargin covers the drift between two local clocks over one lease, and the difference between
	// the true time of two instances.
	ClockMargin time.Duration
}

type noObserver struct{}

func (noObserver) ObserveFixed(uint64)                 {}
func (noObserver) ObserveCall(uint64, core.DutyResult) {}
func (noObserver) ObserveSkipped(uint64, SkipReason)   {}

// callContext returns a context whose deadline lies before the end of the lease. The deadline is
// absolute, so that a paused process can't send the call later.
func (u *Usage) callContext(ctx context.Context, lease authority.Lease, latest core.Instant) (context.Context, context.CancelFunc) {
	limit := min(u.opts.Clock.Now().Add(u.opts.CallTimeout), lease.ExpiresAt.Add(-u.opts.ClockMargin), latest)
	return u.opts.Clock.WithDeadline(ctx, limit)
}
