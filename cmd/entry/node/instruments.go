package node

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"gorseline/core"
	"gorseline/core/duty"
	"gorseline/core/retry"
	"gorseline/core/scaling"
	"gorseline/io/forward"
	"gorseline/platform"
)

// instruments are the metrics of an instance. docs/ENTRY-METRICS.md lists their names.
type instruments struct {
	registry metrics.Registry
	log      log.Interface

	mu         sync.Mutex
	counters   map[string]metrics.Counter
	histograms map[string]metrics.Histogram
	// organisations holds the counters of requests by organisation and outcome.
	organisations map[core.Organisation]map[core.OutcomeKind]metrics.Counter
}

var (
	_ forward.Observer      = (*instruments)(nil)
	_ platform.CallObserver = (*instruments)(nil)
)

func newInstruments(registry metrics.Registry, l log.Interface) *instruments {
	return &instruments{
		registry: registry, log: l, counters: map[string]metrics.Counter{}, histograms: map[string]metrics.Histogram{},
		organisations: map[core.Organisation]map[core.OutcomeKind]metrics.Counter{},
	}
}

// ObserveRequest counts a request that has ended, and records the times of a successful one.
func (i *instruments) ObserveRequest(kind core.RouteKind, outcome core.OutcomeKind, reason core.Reason, took, first time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Forwarded." + kind.String() + "." + outcome.String()).Inc(1)
	if outcome != core.OutcomeDone {
		i.counter("ForwardedReasons." + string(reason)).Inc(1)
		return
	}
	i.histogram("ForwardedMs." + kind.String()).Update(took.Milliseconds())
	i.histogram("ForwardedFirstMs." + kind.String()).Update(first.Milliseconds())
}

// ObserveSend counts a send to a target.
func (i *instruments) ObserveSend(service core.Service, result string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Sends." + string(service) + "." + result).Inc(1)
}

// ObserveSilence counts the steps of an engine's silence in the middle of a stream.
func (i *instruments) ObserveSilence(service core.Service, step forward.SilenceStep) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Silences." + string(service) + "." + string(step)).Inc(1)
}

// ObserveRetry counts retries that the budget of a service allowed or denied, and records what
// is left of the budget.
func (i *instruments) ObserveRetry(service core.Service, cause forward.RetryCause, retries int, allowed bool, state retry.ShareState) {
	result := "Taken"
	if !allowed {
		result = "Denied"
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Retries." + string(service) + "." + string(cause) + "." + result).Inc(int64(retries))
	metrics.GetOrRegisterGaugeFloat64("RetriesLeft."+string(service), i.registry).Update(state.Left)
	metrics.GetOrRegisterGaugeFloat64("RetryShare."+string(service), i.registry).Update(state.Share)
}

// ObserveContinuation counts a request that continues a stream.
func (i *instruments) ObserveContinuation(service core.Service, result forward.ContinuationResult) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Continuations." + string(service) + "." + string(result)).Inc(1)
}

// ObserveDetour counts a request that was sent through another instance.
func (i *instruments) ObserveDetour(service core.Service, result forward.DetourResult) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("Detours." + string(service) + "." + string(result)).Inc(1)
}

// ObserveOrganisation counts a request of an organisation.
func (i *instruments) ObserveOrganisation(organisation core.Organisation, outcome core.OutcomeKind) {
	i.mu.Lock()
	defer i.mu.Unlock()
	counters := i.organisations[organisation]
	if counters == nil {
		counters = map[core.OutcomeKind]metrics.Counter{}
		i.organisations[organisation] = counters
	}
	if counters[outcome] == nil {
		counters[outcome] = metrics.GetOrRegisterCounter(organisationCounter(organisation, outcome), i.registry)
	}
	counters[outcome].Inc(1)
}

func organisationCounter(organisation core.Organisation, outcome core.OutcomeKind) string {
	return "Organisations." + string(organisation) + "." + outcome.String()
}

// RetainOrganisations removes the counters of organisations that a configuration doesn't have. Without that
// their number would grow as organisations come and go.
func (i *instruments) RetainOrganisations(c *core.Forwarding) {
	names := make(map[core.Organisation]bool, len(c.Organisations))
	for k := range c.Organisations {
		names[c.Organisations[k].Name] = true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for organisation, counters := range i.organisations {
		if names[organisation] {
			continue
		}
		for outcome := range counters {
			i.registry.Unregister(organisationCounter(organisation, outcome))
		}
		delete(i.organisations, organisation)
	}
}

// ObserveDutyCall counts a call for a duty, and records the time of an answered one.
func (i *instruments) ObserveDutyCall(call string, result core.DutyResult, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("DutyCalls." + call + "." + result.String()).Inc(1)
	if result != core.DutyUnknown {
		i.histogram("DutyMs." + call).Update(took.Milliseconds())
	}
}

// ObserveFixed counts a usage report that is fixed in the store.
func (i *instruments) ObserveFixed(uint64) { i.count("UsageReports.Fixed") }

// ObserveSkipped counts a window that is not reported.
func (i *instruments) ObserveSkipped(_ uint64, reason duty.SkipReason) {
	i.count("UsageSkipped." + string(reason))
}

// ObserveServers records the servers of a service that are listed and wanted, by data centre and kind.
func (i *instruments) ObserveServers(service core.Service, state scaling.State) {
	for name, dc := range state.DataCentres {
		for kind, servers := range map[string]scaling.KindState{"Regular": dc.Regular, "Reclaimable": dc.Reclaimable} {
			prefix := "Servers." + string(service) + "." + string(name) + "." + kind
			for what, number := range map[string]int{
				"Ready": servers.Ready, "Leaving": servers.Leaving, "Booting": max(0, servers.Current-servers.Ready), "Wanted": servers.Wanted,
			} {
				metrics.GetOrRegisterGauge(prefix+"."+what, i.registry).Update(int64(number))
			}
		}
	}
}

// count increments a counter.
func (i *instruments) count(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter(name).Inc(1)
}

// ObserveCall counts a call to the platform's store, and records the time of an answered
// one. The time of Follow is left out: it is mostly the wait for a change.
func (i *instruments) ObserveCall(call, result string, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("StoreCalls." + call + "." + result).Inc(1)
	if result == "Answered" && call != "Follow" {
		i.histogram("StoreMs." + call).Update(took.Milliseconds())
	}
}

// ObserveEra counts how often the store has come back from an older copy, and logs it.
func (i *instruments) ObserveEra(before, now uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter("StoreEraChanges").Inc(1)
	i.log.WithFields(log.Fields{"Before": before, "Era": now}).Warn("StoreEraChanged")
}

// registerGauge registers a gauge whose value is computed for each read.
func (i *instruments) registerGauge(name string, value func() int64) {
	// Register fails only on duplicate names, and each gauge is registered once.
	_ = i.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// counter returns the counter with a name. The caller holds the lock. The services of the
// configuration and the fixed sets of results and reasons bound the number of names.
func (i *instruments) counter(name string) metrics.Counter {
	c, ok := i.counters[name]
	if !ok {
		c = metrics.GetOrRegisterCounter(name, i.registry)
		i.counters[name] = c
	}
	return c
}

// sampleSize is the number of values that a histogram keeps; 500 suffice for the 99th
// percentile.
const sampleSize = 500

// histogram returns the histogram with a name. The caller holds the lock.
func (i *instruments) histogram(name string) metrics.Histogram {
	h, ok := i.histograms[name]
	if !ok {
		h = metrics.GetOrRegisterHistogram(name, i.registry, metrics.NewUniformSample(sampleSize))
		i.histograms[name] = h
	}
	return h
}
