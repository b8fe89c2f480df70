package retry

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// HealthOptions are the settings of a Health.
type HealthOptions struct {
	// Breaker configures the circuit breakers for targets that don't answer.
	Breaker BreakerOptions
	// Smoothing is the weight of a new answer in the EWMA of a target's failure share.
	Smoothing float64
	// MaxExcess is the largest difference between a target's failure share and the mean of
	// its service. A target above it is an outlier and is avoided.
	MaxExcess float64
	// MinSamples is the number of answers needed to classify a target as an outlier.
	MinSamples int
	// AvoidTime is how long an outlier is avoided.
	AvoidTime time.Duration
	// RefusalDelay is how long a target is avoided after a refusal. The delay doubles with
	// each consecutive refusal, up to MaxRefusalDelay.
	RefusalDelay, MaxRefusalDelay time.Duration
}

// DefaultHealthOptions returns settings that avoid a target after two attempts without an
// answer, or when its failure share exceeds the mean of its service by 0.25.
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

// Health tracks the health of targets by their answers. A target that stops answering is
// avoided by its circuit breaker. A target that answers but fails more often than the
// others of its service is an outlier and is avoided for a while. Failures shared by all
// targets of a service make none of them an outlier. Health is safe for concurrent use.
type Health struct {
	options HealthOptions
	random  *random.Source

	mu      sync.Mutex
	targets map[core.TargetID]*targetHealth
	// services holds the mean failure share by service.
	services map[core.Service]float64
}

// targetHealth is the health of one target.
type targetHealth struct {
	breaker *Breaker
	// silence opens after silences of several requests and closes at the first sign of life.
	silence      *Breaker
	heard        *LastHeard
	failureShare float64
	samples      int
	avoidUntil   core.Instant
	// refusals counts consecutive refusals.
	refusals int
}

// NewHealth returns a Health without observations.
func NewHealth(options HealthOptions, source *random.Source) *Health {
	return &Health{
		options: options, random: source,
		targets: map[core.TargetID]*targetHealth{}, services: map[core.Service]float64{},
	}
}

func (h *Health) target(id core.TargetID) *targetHealth {
	t, ok := h.targets[id]
	if !ok {
		t = &targetHealth{
			breaker: NewBreaker(h.options.Breaker), silence: NewBreaker(h.options.Breaker), heard: &LastHeard{},
		}
		h.targets[id] = t
	}
	return t
}

// Usable reports whether new work may go to a target.
func (h *Health) Usable(now core.Instant, id core.TargetID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.targets[id]
	return !ok || now >= t.avoidUntil && t.breaker.Ready(now) && t.silence.Ready(now)
}

// RecordSend records that a request is sent to a target. It uses the probe of an open
// breaker.
func (h *Health) RecordSend(now core.Instant, id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.targets[id]; ok {
		t.breaker.Allow(now)
		t.silence.Allow(now)
	}
}

// RecordNoAnswer records an attempt without an answer. It returns true if this opens the
// target's closed breaker, so that the target is avoided from now on.
func (h *Health) RecordNoAnswer(now core.Instant, id core.TargetID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	before := t.breaker.State()
	t.breaker.RecordFailure(now, h.random.Float64())
	return before == CircuitClosed && t.breaker.State() == CircuitOpen
}

// RecordAnswer records an answer and whether it was a failure of the target itself. It
// returns true if the target is avoided from now on.
func (h *Health) RecordAnswer(now core.Instant, id core.TargetID, service core.Service, failed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	t.breaker.RecordSuccess(now)
	t.markAlive(now)
	t.refusals = 0
	value := 0.0
	if failed {
		value = 1
	}
	t.failureShare += h.options.Smoothing * (value - t.failureShare)
	t.samples++
	// The mean of the service adapts more slowly, so that one failing target of four doesn't
	// raise it to its own level.
	h.services[service] += h.options.Smoothing / 5 * (value - h.services[service])
	if !failed || t.samples < h.options.MinSamples || t.failureShare <= h.services[service]+h.options.MaxExcess {
		return false
	}
	t.samples, t.failureShare = 0, h.services[service]
	t.avoidUntil = now.Add(h.options.AvoidTime)
	return true
}

// RecordRefusal records an answer that the target did not run the request, as with a full
// queue or during a role change.
func (h *Health) RecordRefusal(now core.Instant, id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	t.breaker.RecordSuccess(now)
	t.markAlive(now)
	if now < t.avoidUntil {
		return // the request was sent before an earlier refusal arrived
	}
	t.avoidUntil = now.Add(min(h.options.MaxRefusalDelay, h.options.RefusalDelay<<min(t.refusals, 10)))
	t.refusals++
}

// Forget drops the state of a target, as after its restart.
func (h *Health) Forget(id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.targets, id)
}
