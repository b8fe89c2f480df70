package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// CircuitBreakerOptions configure a CircuitBreaker.
type CircuitBreakerOptions struct {
	Table core.Table
	Clock core.ClockProvider
	// FailureThreshold is the number of consecutive failures that opens the circuit; the
	// default is 5.
	FailureThreshold int
	// OpenTime is the mean time that the circuit stays open before a probe; the default
	// is 1 s. The actual time is between 0.5 and 1.5 times the mean, so that the probes of
	// instances are spread out.
	OpenTime time.Duration
	// Random returns a number in [0, 1); the default is rand.Float64.
	Random func() float64
}

// ErrCircuitOpen reports a call that was not sent because recent calls failed.
var ErrCircuitOpen = errors.Wrap(core.ErrUnavailable, "table: circuit open")

// CircuitBreaker stops calls to a table service that keeps failing. While the circuit is
// open, calls fail without being sent. After the open time, one call at a time probes the
// service; its success closes the circuit. It is safe for concurrent use.
type CircuitBreaker struct {
	opts CircuitBreakerOptions

	mu       sync.Mutex
	failures int          // consecutive
	until    core.Instant // end of the open time
	probing  bool
}

var _ core.Table = (*CircuitBreaker)(nil)

// NewCircuitBreaker returns a circuit breaker with a closed circuit.
func NewCircuitBreaker(opts CircuitBreakerOptions) *CircuitBreaker {
	if opts.FailureThreshold == 0 {
		opts.FailureThreshold = 5
	}
	if opts.OpenTime == 0 {
		opts.OpenTime = time.Second
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &CircuitBreaker{opts: opts}
}

// Read reads rows unless the circuit is open.
func (c *CircuitBreaker) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	return c.rows(func() ([]core.Row, error) { return c.opts.Table.Read(ctx, keys...) })
}

// Scan lists rows unless the circuit is open.
func (c *CircuitBreaker) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	return c.rows(func() ([]core.Row, error) { return c.opts.Table.Scan(ctx, prefix, after, limit) })
}

// Transact runs a transaction unless the circuit is open. The result is then Unavailable.
func (c *CircuitBreaker) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if !c.allow() {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: ErrCircuitOpen}
	}
	result := c.opts.Table.Transact(ctx, attempt, writes)
	c.record(result.Kind == core.TransactCommitted || result.Kind == core.TransactConflict)
	return result
}

func (c *CircuitBreaker) rows(call func() ([]core.Row, error)) ([]core.Row, error) {
	if !c.allow() {
		return nil, ErrCircuitOpen
	}
	rows, err := call()
	c.record(err == nil)
	return rows, err
}

// allow reports whether a call may be sent. After the open time it allows one probe.
func (c *CircuitBreaker) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < c.opts.FailureThreshold {
		return true
	}
	if c.probing || c.opts.Clock.Now() < c.until {
		return false
	}
	c.probing = true
	return true
}

// record counts the result of a call that allow permitted. A failure at or above the
// threshold opens the circuit with a jittered open time.
func (c *CircuitBreaker) record(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
	if ok {
		c.failures = 0
		return
	}
	c.failures++
	if c.failures >= c.opts.FailureThreshold {
		open := c.opts.OpenTime/2 + time.Duration(c.opts.Random()*float64(c.opts.OpenTime))
		c.until = c.opts.Clock.Now().Add(open)
	}
}
