package core

import "time"

type (
	// InstanceID names one process of the system.
	InstanceID string
	// TargetID names one model engine or plain service replica.
	TargetID string
	// DataCentre names a failure domain.
	DataCentre string
	// Region names a group of data centres.
	Region string
	// Organisation names a tenant.
	Organisation string
	// Model names a model that engines serve.
	Model string
	// Service names a group of targets, such as the engines of one model or the replicas of one app.
	Service string
	// KindName names a kind of request, such as "ClerkQuery".
	KindName string
	// RequestID identifies one request of a caller across all of its attempts.
	RequestID string
	// OperationKey is the caller's idempotency key for a non-repeatable call.
	OperationKey string
	// AttemptID identifies one attempt at a conditional write or a call.
	AttemptID string
	// Revision numbers accepted configurations. It increases monotonically.
	Revision uint64
	// Fence is the fencing token of a lease. It increases monotonically per shard.
	Fence uint64
)

// Instant is a reading of the local monotonic clock, as the duration since the process
// started. Instants of different processes must not be compared.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// ClockProvider reads the local monotonic clock.
type ClockProvider interface {
	Now() Instant
}

type processClock struct{ start time.Time }

var _ ClockProvider = processClock{}

// NewProcessClock returns a clock that starts at 0. In a testing/synctest bubble it
// follows the bubble's virtual time.
func NewProcessClock() ClockProvider { return processClock{start: time.Now()} }

// Now returns the monotonic time since the clock was created.
func (c processClock) Now() Instant { return Instant(time.Since(c.start)) }
