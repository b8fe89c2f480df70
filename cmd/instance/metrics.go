package instance

import (
	"context"
	"sync"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"gorseline/core"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
)

// instruments holds the counters and histograms of this instance. docs/METRICS.md lists their
// names. Kinds of requests and events, outcomes and reasons have the same names as in the
// timeline.
type instruments struct {
	registry metrics.Registry

	// mu guards the maps. They cache metrics by the parts of their names, which avoids the
	// registry's lock and a string concatenation on each request.
	mu         sync.RWMutex
	counters   map[[3]string]metrics.Counter
	histograms map[[2]string]metrics.Histogram
}

var _ dispatch.Observer = (*instruments)(nil)

func newInstruments(registry metrics.Registry) *instruments {
	return &instruments{
		registry: registry, counters: map[[3]string]metrics.Counter{}, histograms: map[[2]string]metrics.Histogram{},
	}
}

// RequestFinished counts a request by kind and outcome, and a refused one also by reason.
func (i *instruments) RequestFinished(e dispatch.FinishedRequest) {
	kind := string(e.Request.Kind.Name)
	i.counter("Requests", kind, e.Outcome.String()).Inc(1)
	if e.Refused {
		i.counter("Refusals", string(e.Reason), "").Inc(1)
		return
	}
	if e.InTime {
		i.counter("Requests", kind, "InTime").Inc(1)
	}
	i.histogram("DurationMs", kind).Update(e.Took.Milliseconds())
	if e.FirstToken > 0 {
		i.histogram("FirstTokenMs", kind).Update(e.FirstToken.Milliseconds())
	}
}

// counter returns the counter whose name consists of up to three parts. The number of names
// is bounded by the request kinds in the configuration and the reasons in the code.
func (i *instruments) counter(nameParts ...string) metrics.Counter {
	var key [3]string
	copy(key[:], nameParts)
	i.mu.RLock()
	c, ok := i.counters[key]
	i.mu.RUnlock()
	if ok {
		return c
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	c = metrics.GetOrRegisterCounter(metricName(key[:]), i.registry)
	i.counters[key] = c
	return c
}

// sampleSize and sampleDecay are the library's usual values. They give most weight to the
// last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func (i *instruments) histogram(name, kind string) metrics.Histogram {
	key := [2]string{name, kind}
	i.mu.RLock()
	h, ok := i.histograms[key]
	i.mu.RUnlock()
	if ok {
		return h
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	h = metrics.GetOrRegisterHistogram(metricName(key[:]), i.registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	i.histograms[key] = h
	return h
}

func metricName(nameParts []string) string {
	name := nameParts[0]
	for _, part := range nameParts[1:] {
		if part != "" {
			name += "." + part
		}
	}
	return name
}

// countingRecorder is a timeline that counts its events by kind.
type countingRecorder struct {
	*timeline.Timeline
	instruments *instruments
}

// Record counts and records an event.
func (r countingRecorder) Record(e core.Event) {
	r.instruments.counter("Events", string(e.Kind)).Inc(1)
	r.Timeline.Record(e)
}

func newRecorder(t *timeline.Timeline, i *instruments) core.Recorder { return countingRecorder{t, i} }

// countingTable counts the rows read from and written to the table service, the failed calls
// and the transactions with an unknown result.
type countingTable struct {
	core.Table
	reads, writes, unknown, unavailable metrics.Counter
}

func newCountingTable(t core.Table, i *instruments) *countingTable {
	return &countingTable{
		t, i.counter("TableReads"), i.counter("TableWrites"), i.counter("TableUnknown"), i.counter("TableUnavailable"),
	}
}

// Read reads and counts rows.
func (t *countingTable) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	t.reads.Inc(int64(len(keys)))
	rows, err := t.Table.Read(ctx, keys...)
	t.countError(err)
	return rows, err
}

// Scan reads and counts rows.
func (t *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.reads.Inc(int64(len(rows)))
	t.countError(err)
	return rows, err
}

func (t *countingTable) countError(err error) {
	if err != nil {
		t.unavailable.Inc(1)
	}
}

// Transact writes and counts rows.
func (t *countingTable) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	for _, w := range writes {
		if !w.CheckOnly {
			t.writes.Inc(1)
		}
	}
	result := t.Table.Transact(ctx, attempt, writes)
	switch result.Kind {
	case core.TransactUnknown:
		t.unknown.Inc(1)
	case core.TransactUnavailable:
		t.unavailable.Inc(1)
	}
	return result
}

type gaugeInputs struct {
	fx.In

	Instruments *instruments
	Control     *control
	Serving     *serving
	Authority   *leaseAuthority
	Timeline    *timeline.Timeline
}

// registerGauges registers the metrics whose values are computed when they are read.
func registerGauges(in gaugeInputs) error {
	streams := in.Serving.relay.Counters
	for name, read := range map[string]func() int64{
		"ConfigurationRevision": func() int64 { return int64(in.Control.applier.Revision()) },
		"EventsLost":            func() int64 { return int64(in.Timeline.Lost()) },
		"Instances":             func() int64 { return int64(len(in.Control.liveInstances())) },
		"LeasesHeld":            func() int64 { return int64(len(in.Authority.heldShards())) },
		"StreamsOpen":           func() int64 { return streams().Open },
		"StreamResumes":         func() int64 { return streams().Resumes },
		"StreamReruns":          func() int64 { return streams().Reruns },
		"StreamTokens":          func() int64 { return streams().Tokens },
		"StreamsSilent":         func() int64 { return streams().Silent },
	} {
		if err := in.Instruments.registry.Register(name, metrics.NewFunctionalGauge(read)); err != nil {
			return err
		}
	}
	return nil
}
