package retry

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// HealthOptions are the settings of a Health.
type HealthOptions struct {
	// Breaker is the breaker for targets that don't answer.
	Breaker BreakerOptions
	// Smoothing is the weight of a new answer in a target's failure share.
	Smoothing float64
	// MaxExcess is by how much a target's failure share may exceed the mean of its service
	// before it is avoided.
	MaxExcess float64
	// MinSamples is the number of answers needed before the share counts.
	MinSamples int
	// AvoidTime is how long an outlier gets no work before it is tried again.
	AvoidTime time.Duration
	// RefusalDelay and MaxRefusalDelay bound how long a target gets no work that has refused some.
	// The time doubles with each refusal in a row.
	RefusalDelay, MaxRefusalDelay time.Duration
}

// DefaultHealthOptions returns settings that avoid a silent target after two attempts
// without answer, and a target that fails 25 in 100 requests more than its peers.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{
		Breaker: BreakerOptions{
			ConsecutiveFailures: 2, FailureShare: 0.5, MinSamples: 20, Window: 5 * time.Second,
			OpenTime: 500 * time.Millisecond, MaxOpenTime: 4 * time.Second,
		},
		Smoothing: 0.1, MaxExcess: 0.25, MinSamples: 8, AvoidTime: 3 * time.Second,
		// A full queue drains within some 50 ms; a role change takes seconds.
		RefusalDelay: 50 * time.Millisecond, MaxRefusalDelay: time.Second,
	}
}

// Health judges targets by the answers they give: one that falls silent is avoided by
// its breaker, one that answers but fails more often than its peers for a while. Failures
// that all targets of a service share say nothing about one of them. Health is safe for
// concurrent use.
type Health struct {
	options HealthOptions
	random  *random.Source

	mu       sync.Mutex
	targets  map[core.TargetID]*targetHealth
	services map[core.Service]float64
}

type targetHealth struct {
	breaker    *Breaker
	failureShare      float64
	samples    int
	avoidUntil core.Instant
	refusals   int
}

// NewHealth returns a Health that knows no target.
func NewHealth(options HealthOptions, source *random.Source) *Health {
	return &Health{
		options: options, random: source,
		targets: map[core.TargetID]*targetHealth{}, services: map[core.Service]float64{},
	}
}

func (h *Health) target(id core.TargetID) *targetHealth {
	t, ok := h.targets[id]
	if !ok {
		t = &targetHealth{breaker: NewBreaker(h.options.Breaker)}
		h.targets[id] = t
	}
	return t
}

// Usable reports whether new work may go to a target.
func (h *Health) Usable(now core.Instant, id core.TargetID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.targets[id]
	return !ok || now >= t.avoidUntil && t.breaker.Ready(now)
}

// RecordSend notes that work goes to a target. It uses up the probe of an open breaker.
func (h *Health) RecordSend(now core.Instant, id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.targets[id]; ok {
		t.breaker.Allow(now)
	}
}

// RecordNoAnswer notes that an attempt got no answer. It returns true if the target is avoided
// from now on.
func (h *Health) RecordNoAnswer(now core.Instant, id core.TargetID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	before := t.breaker.State()
	t.breaker.Failed(now, h.random.Float64())
	return before == CircuitClosed && t.breaker.State() == CircuitOpen
}

// RecordAnswer notes an answer, and whether it was a failure of the target itself. It returns
// true if the target is avoided from now on.
func (h *Health) RecordAnswer(now core.Instant, id core.TargetID, service core.Service, failed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	t.breaker.Succeeded(now)
	t.refusals = 0
	value := 0.0
	if failed {
		value = 1
	}
	t.failureShare += h.options.Smoothing * (value - t.failureShare)
	t.samples++
	// The mean moves slower, so that one bad target of four doesn't count as normal.
	h.services[service] += h.options.Smoothing / 5 * (value - h.services[service])
	if !failed || t.samples < h.options.MinSamples || t.failureShare <= h.services[service]+h.options.MaxExcess {
		return false
	}
	t.samples, t.failureShare = 0, h.services[service]
	t.avoidUntil = now.Add(h.options.AvoidTime)
	return true
}

// RecordRefusal notes that a target answered that it did not run a request, as with a full
// queue or during a role change.
func (h *Health) RecordRefusal(now core.Instant, id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	t.breaker.Succeeded(now)
	if now < t.avoidUntil {
		return // sent before an earlier refusal was known
	}
	t.avoidUntil = now.Add(min(h.options.MaxRefusalDelay, h.options.RefusalDelay<<min(t.refusals, 10)))
	t.refusals++
}

// Forget drops what is known about a target, as after its restart.
func (h *Health) Forget(id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.targets, id)
}
