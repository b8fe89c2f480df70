package core

import "time"

type (
	// InstanceID names one process of the system.
	InstanceID string
	// TargetID names one model engine or plain service replica.
	TargetID string
	// DataCentre names a failure zone.
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
	// RequestID identifies one request of a caller over all of its attempts.
	RequestID string
	// OperationKey is the caller's idempotency key of a non-repeatable call.
	OperationKey string
	// AttemptID identifies one try of a conditional write or of a call.
	AttemptID string
	// Revision numbers accepted configurations. It only grows.
	Revision uint64
	// Fence is the fencing number of a lease. It only grows per shard.
	Fence uint64
)

// Instant is a point on the local monotonic clock, as the duration since the
// process started. Instants of two processes must not be compared.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// ClockProvider gives the local monotonic time.
type ClockProvider interface {
	Now() Instant
}

type processClock struct{ start time.Time }

var _ ClockProvider = processClock{}

// NewProcessClock returns a clock that counts from the moment of the call. Under
// testing/synctest it follows the bubble's virtual time.
func NewProcessClock() ClockProvider { return processClock{start: time.Now()} }

// Now returns the monotonic time since the clock was made.
func (c processClock) Now() Instant { return Instant(time.Since(c.start)) }
