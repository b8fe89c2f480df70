package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// CircuitBreakerOptions configure a Circuit.
type CircuitBreakerOptions struct {
	Table core.Table
	Clock core.ClockProvider
	// FailureThreshold in a row open the circuit; 0 takes 5.
	FailureThreshold int
	// OpenTime is the mean time that the circuit stays open; 0 takes 1 s. Instances spread
	// their probes over half to one and a half of it.
	OpenTime time.Duration
	// Random returns a number from 0 to 1; nil takes the process's random source.
	Random func() float64
}

// ErrCircuitOpen reports a call that was not sent because recent calls failed.
var ErrCircuitOpen = errors.Wrap(core.ErrUnavailable, "table: circuit open")

// CircuitBreaker stops calls to a table service that keeps failing. While it is open, calls
// end at once as not done, and one call at a time probes the service. It is safe for
// concurrent use.
type CircuitBreaker struct {
	opts     CircuitBreakerOptions
	mu       sync.Mutex
	failures int
	until    core.Instant
	probing  bool
}

var _ core.Table = (*CircuitBreaker)(nil)

// NewCircuitBreaker returns a closed circuit.
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

// Transact runs a transaction unless the circuit is open.
func (c *CircuitBreaker) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if !c.enter() {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: ErrCircuitOpen}
	}
	result := c.opts.Table.Transact(ctx, attempt, writes)
	c.leave(result.Kind == core.TransactCommitted || result.Kind == core.TransactConflict)
	return result
}

func (c *CircuitBreaker) rows(call func() ([]core.Row, error)) ([]core.Row, error) {
	if !c.enter() {
		return nil, ErrCircuitOpen
	}
	rows, err := call()
	c.leave(err == nil)
	return rows, err
}

func (c *CircuitBreaker) enter() bool {
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

func (c *CircuitBreaker) leave(ok bool) {
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
