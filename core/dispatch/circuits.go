package dispatch

import (
	"context"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/common/random"
	"gorseline/core/retry"
	"gorseline/core/routing"
)

// Circuits holds a circuit breaker per target and updates the state of the circuits in the
// fleet. It is safe for concurrent use.
type Circuits struct {
	fleet   *routing.Store
	clock   core.ClockProvider
	random  *random.Source
	options retry.BreakerOptions
	done    chan struct{}

	mu       sync.Mutex
	breakers map[core.TargetID]*retry.Breaker
}

// NewCircuits returns closed circuits for all targets.
func NewCircuits(fleet *routing.Store, clock core.ClockProvider, source *random.Source) *Circuits {
	return &Circuits{
		fleet: fleet, clock: clock, random: source, options: retry.DefaultBreakerOptions(),
		done: make(chan struct{}), breakers: map[core.TargetID]*retry.Breaker{},
	}
}

func (c *Circuits) breaker(id core.TargetID) *retry.Breaker {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.breakers[id]
	if !ok {
		b = retry.NewBreaker(c.options)
		c.breakers[id] = b
	}
	return b
}

// Record records whether an attempt on a target succeeded.
func (c *Circuits) Record(id core.TargetID, ok bool) {
	now := c.clock.Now()
	b := c.breaker(id)
	if ok {
		b.RecordSuccess(now)
	} else {
		b.RecordFailure(now, c.random.Float64())
	}
	c.fleet.SetCircuit(id, !b.Ready(now))
}

// Done returns a channel that is closed when Run has returned.
func (c *Circuits) Done() <-chan struct{} { return c.done }

// circuitInterval is the interval of the checks of open circuits. It is short compared with
// the time that a circuit stays open.
const circuitInterval = 250 * time.Millisecond

// Run marks targets as usable again when the open time of their circuit is over, until ctx
// ends.
func (c *Circuits) Run(ctx context.Context) {
	defer close(c.done)
	pause.Every(ctx, circuitInterval, c.refresh)
}

func (c *Circuits) refresh() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, b := range c.breakers {
		if b.State() != retry.CircuitClosed {
			c.fleet.SetCircuit(id, !b.Ready(now))
		}
	}
}
