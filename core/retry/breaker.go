package retry

import (
	"sync"
	"time"

	"gorseline/core"
)

// BreakerOptions are the settings of a circuit breaker.
type BreakerOptions struct {
	// ConsecutiveFailures in a row open the circuit.
	ConsecutiveFailures int
	// FailureShare of failures among at least Samples attempts within Window opens it as well.
	FailureShare float64
	MinSamples   int
	Window       time.Duration
	// OpenTime is how long the circuit stays open at first. Each failed probe doubles it, up
	// to MaxOpen.
	OpenTime    time.Duration
	MaxOpenTime time.Duration
}

// DefaultBreakerOptions returns settings that avoid a dead target after 5 requests and
// probe it again after a second.
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
	// CircuitClosed lets all attempts through.
	CircuitClosed CircuitState = iota
	// CircuitOpen lets none through.
	CircuitOpen
	// CircuitHalfOpen has let one attempt through and waits for its result.
	CircuitHalfOpen
)

// Breaker is the circuit breaker of one target. It is safe for concurrent use.
type Breaker struct {
	options BreakerOptions

	mutex    sync.Mutex
	state    CircuitState
	consecutive    int
	attempts int
	failures int
	windowStart core.Instant
	openTime  time.Duration
	probeAt  core.Instant
}

// NewBreaker returns a closed circuit breaker.
func NewBreaker(options BreakerOptions) *Breaker {
	return &Breaker{options: options, openTime: options.OpenTime}
}

// Allow reports whether an attempt may go to the target. Once the open time is over it
// lets one attempt through as a probe; if no result arrives within another open time,
// the probe counts as lost and the next one is let through.
func (b *Breaker) Allow(now core.Instant) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
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

// Ready reports whether Allow would let an attempt through, without using up the probe.
// Routing leaves out targets that aren't ready.
func (b *Breaker) Ready(now core.Instant) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state == CircuitClosed || now >= b.probeAt
}

// State returns the circuit's state.
func (b *Breaker) State() CircuitState {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state
}

// Succeeded records a successful attempt. It closes a probing circuit.
func (b *Breaker) Succeeded(now core.Instant) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
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

// Failed records a failed attempt. unit is a random number from 0 up to 1; it lengthens
// the open time by up to a quarter, so that instances don't probe at the same time.
func (b *Breaker) Failed(now core.Instant, unit float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
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
	many := b.attempts >= b.options.MinSamples && float64(b.failures) >= b.options.FailureShare*float64(b.attempts)
	if b.consecutive >= b.options.ConsecutiveFailures || many {
		b.open(now, unit)
	}
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
