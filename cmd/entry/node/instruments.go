package node

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"gorseline/core"
	"gorseline/io/forward"
	"gorseline/platform"
)

// instruments count what the forwarder does. docs/METRICS.md lists the names.
type instruments struct {
	registry metrics.Registry

	mu       sync.Mutex
	counters map[string]metrics.Counter
	samples  map[string]metrics.Histogram
}

var (
	_ forward.Observer      = (*instruments)(nil)
	_ platform.CallObserver = (*instruments)(nil)
)

func newInstruments(registry metrics.Registry) *instruments {
	return &instruments{
		registry: registry, counters: map[string]metrics.Counter{}, samples: map[string]metrics.Histogram{},
	}
}

// Ended counts a request and its times.
func (i *instruments) Ended(kind core.RouteKind, outcome core.OutcomeKind, reason core.Reason, took, first time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Forwarded." + kind.String() + "." + outcome.String()).Inc(1)
	if outcome != core.OutcomeDone {
		i.counter("ForwardedReasons." + string(reason)).Inc(1)
		return
	}
	i.sample("ForwardedMs." + kind.String()).Update(took.Milliseconds())
	i.sample("ForwardedFirstMs." + kind.String()).Update(first.Milliseconds())
}

// Attempted counts a send.
func (i *instruments) Attempted(service core.Service, result string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Sends." + string(service) + "." + result).Inc(1)
}

// ObserveCall counts a call of the platform's store.
func (i *instruments) ObserveCall(call, result string, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("StoreCalls." + call + "." + result).Inc(1)
	if result == "Answered" && call != "Follow" {
		i.sample("StoreMs." + call).Update(took.Milliseconds())
	}
}

// gauge serves a value that is read when somebody asks.
func (i *instruments) gauge(name string, value func() int64) {
	// The registry is new, so that the name is free.
	_ = i.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// counter returns a counter by name. The lock must be held. The number of names is bounded
// by the services of the configuration and the results and reasons of this program.
func (i *instruments) counter(name string) metrics.Counter {
	c, ok := i.counters[name]
	if !ok {
		c = metrics.GetOrRegisterCounter(name, i.registry)
		i.counters[name] = c
	}
	return c
}

// sampleSize bounds a histogram; 500 values give the 99th percentile.
const sampleSize = 500

func (i *instruments) sample(name string) metrics.Histogram {
	h, ok := i.samples[name]
	if !ok {
		h = metrics.GetOrRegisterHistogram(name, i.registry, metrics.NewUniformSample(sampleSize))
		i.samples[name] = h
	}
	return h
}
