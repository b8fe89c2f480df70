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

// instruments count what this instance does. docs/METRICS.md lists the names; kinds of
// requests and of events, outcomes and reasons are called as in the time line.
type instruments struct {
	registry metrics.Registry

	// counters spares the registry's lock and the making of a name on each request.
	mu       sync.RWMutex
	counters map[[3]string]metrics.Counter
	samples  map[[2]string]metrics.Histogram
}

var _ dispatch.Observer = (*instruments)(nil)

func newInstruments(registry metrics.Registry) *instruments {
	return &instruments{
		registry: registry, counters: map[[3]string]metrics.Counter{}, samples: map[[2]string]metrics.Histogram{},
	}
}

// RequestFinished counts a request by its kind, outcome and reason.
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
	i.sample("DurationMs", kind).Update(e.Took.Milliseconds())
	if e.FirstToken > 0 {
		i.sample("FirstTokenMs", kind).Update(e.FirstToken.Milliseconds())
	}
}

// counter returns the counter with a name of up to three parts. The number of names is
// bounded by the kinds of the configuration and the reasons of this program.
func (i *instruments) counter(parts ...string) metrics.Counter {
	var key [3]string
	copy(key[:], parts)
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

// sampleSize and sampleDecay weigh the last five minutes most; they are the usual
// values of the library.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func (i *instruments) sample(name, kind string) metrics.Histogram {
	key := [2]string{name, kind}
	i.mu.RLock()
	h, ok := i.samples[key]
	i.mu.RUnlock()
	if ok {
		return h
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	h = metrics.GetOrRegisterHistogram(metricName(key[:]), i.registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	i.samples[key] = h
	return h
}

func metricName(parts []string) string {
	name := parts[0]
	for _, part := range parts[1:] {
		if part != "" {
			name += "." + part
		}
	}
	return name
}

// countedRecorder counts the events of the time line by kind.
type countedRecorder struct {
	*timeline.Timeline
	instruments *instruments
}

// Record counts and records an event.
func (r countedRecorder) Record(e core.Event) {
	r.instruments.counter("Events", string(e.Kind)).Inc(1)
	r.Timeline.Record(e)
}

func newRecorder(t *timeline.Timeline, i *instruments) core.Recorder { return countedRecorder{t, i} }

// countedTable counts the rows read from and written to the table service, and the
// calls that failed.
type countedTable struct {
	core.Table
	reads, writes, unknown, unavailable metrics.Counter
}

func newCountedTable(t core.Table, i *instruments) *countedTable {
	return &countedTable{
		t, i.counter("TableReads"), i.counter("TableWrites"), i.counter("TableUnknown"), i.counter("TableUnavailable"),
	}
}

// Read reads and counts rows.
func (t *countedTable) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	t.reads.Inc(int64(len(keys)))
	rows, err := t.Table.Read(ctx, keys...)
	t.failed(err)
	return rows, err
}

// Scan lists and counts rows.
func (t *countedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.reads.Inc(int64(len(rows)))
	t.failed(err)
	return rows, err
}

func (t *countedTable) failed(err error) {
	if err != nil {
		t.unavailable.Inc(1)
	}
}

// Transact writes and counts rows.
func (t *countedTable) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
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
	Authorities *authorities
	Timeline    *timeline.Timeline
}

// registerGauges adds the values that are read when somebody asks.
func registerGauges(in gaugeInputs) error {
	streams := in.Serving.relay.Counters
	for name, read := range map[string]func() int64{
		"ConfigurationRevision": func() int64 { return int64(in.Control.applier.Revision()) },
		"EventsLost":            func() int64 { return int64(in.Timeline.Lost()) },
		"Instances":             func() int64 { return int64(len(in.Control.members())) },
		"LeasesHeld":            func() int64 { return int64(len(in.Authorities.shards())) },
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
