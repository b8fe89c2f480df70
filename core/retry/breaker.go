package retry

import (
	"sync"
	"time"

	"gorseline/core"
)

// BreakerOptions are the settings of a circuit breaker.
type BreakerOptions struct {
	// ConsecutiveFailures is the number of failures in a row that opens the circuit.
	ConsecutiveFailures int
	// FailureShare is the share of failures among at least MinSamples attempts within Window
	// that also opens the circuit.
	FailureShare float64
	MinSamples   int
	Window       time.Duration
	// OpenTime is how long the circuit stays open at first. Each failed probe doubles it, up
	// to MaxOpenTime.
	OpenTime    time.Duration
	MaxOpenTime time.Duration
}

// DefaultBreakerOptions returns settings that open the circuit of a dead target after 5
// failures and probe it after a second.
func DefaultBreakerOptions() BreakerOptions {
	return BreakerOptions{
		ConsecutiveFailures: 5,
		FailureShare:        0.5,
		MinSamples:          20,
		Window:              10 * time.Second,
		OpenTime:            time.Second,
		MaxOpenTime:         30 * time.Second,
	}
}

// CircuitState is the state of a circuit.
type CircuitState uint8

// States of a circuit.
const (
	// CircuitClosed allows all attempts.
	CircuitClosed CircuitState = iota
	// CircuitOpen allows none.
	CircuitOpen
	// CircuitHalfOpen has allowed one attempt as a probe and waits for its result.
	CircuitHalfOpen
)

// Breaker is the circuit breaker of one target. It is safe for concurrent use.
type Breaker struct {
	options BreakerOptions

	mu          sync.Mutex
	state       CircuitState
	consecutive int
	attempts    int
	failures    int
	windowStart core.Instant
	openTime    time.Duration
	probeAt     core.Instant
}

// NewBreaker returns a closed circuit breaker.
func NewBreaker(options BreakerOptions) *Breaker {
	return &Breaker{options: options, openTime: options.OpenTime}
}

// Allow reports whether an attempt may go to the target. After the open time it allows
// one attempt as a probe. If no result arrives within another open time, the probe counts
// as lost and the next one is allowed.
func (b *Breaker) Allow(now core.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == CircuitClosed {
		return true
	}
	if now < b.probeAt {
		return false
	}
	b.state = CircuitHalfOpen
	b.probeAt = now.Add(b.openTime)
	return true
}

// Ready reports whether Allow would allow an attempt, without using the probe. Routing
// excludes targets that aren't ready.
func (b *Breaker) Ready(now core.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state == CircuitClosed || now >= b.probeAt
}

// State returns the circuit's state.
func (b *Breaker) State() CircuitState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// RecordSuccess records a successful attempt. It closes a half-open circuit.
func (b *Breaker) RecordSuccess(now core.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == CircuitOpen {
		return // the attempt started before the circuit opened
	}
	if b.state == CircuitHalfOpen {
		b.state, b.openTime = CircuitClosed, b.options.OpenTime
		b.attempts, b.failures = 0, 0
	}
	b.consecutive = 0
	b.count(now, false)
}

// RecordFailure records a failed attempt. unit is a random number in [0, 1) that adds up
// to a quarter to the open time as jitter, so that instances don't probe simultaneously.
func (b *Breaker) RecordFailure(now core.Instant, unit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.state {
	case CircuitOpen:
		return
	case CircuitHalfOpen:
		b.openTime = min(2*b.openTime, b.options.MaxOpenTime)
		b.open(now, unit)
		return
	case CircuitClosed:
	}
	b.consecutive++
	b.count(now, true)
	if b.consecutive >= b.options.ConsecutiveFailures || b.isShareReached() {
		b.open(now, unit)
	}
}

// RecordSilence records an attempt without an answer that may still be answered. In a closed
// circuit it adds to the share of failures, but not to the failures in a row.
func (b *Breaker) RecordSilence(now core.Instant, unit float64) {
	if b.State() != CircuitClosed {
		b.RecordFailure(now, unit)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(now, true)
	if b.isShareReached() {
		b.open(now, unit)
	}
}

func (b *Breaker) isShareReached() bool {
	return b.attempts >= b.options.MinSamples && float64(b.failures) >= b.options.FailureShare*float64(b.attempts)
}

// Reset closes the circuit and forgets all attempts.
func (b *Breaker) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state, b.openTime = CircuitClosed, b.options.OpenTime
	b.consecutive, b.attempts, b.failures = 0, 0, 0
}

func (b *Breaker) open(now core.Instant, unit float64) {
	b.state = CircuitOpen
	b.probeAt = now.Add(b.openTime + time.Duration(unit*float64(b.openTime)/4))
	b.consecutive, b.attempts, b.failures = 0, 0, 0
}

func (b *Breaker) count(now core.Instant, failed bool) {
	if now.Sub(b.windowStart) >= b.options.Window {
		b.windowStart, b.attempts, b.failures = now, 0, 0
	}
	b.attempts++
	if failed {
		b.failures++
	}
}
