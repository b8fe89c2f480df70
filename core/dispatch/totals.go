package dispatch

import (
	"sync"

	"gorseline/core"
)

// KindTotals holds the totals of one kind of request.
type KindTotals struct {
	// Done counts complete answers, InTime those within the deadline, Refused requests that
	// did not run, Cut streams that ended early, and Unknown calls that may have run.
	Done, InTime, Refused, Cut, Unknown uint64
	// Goodput is the weight answered in time, Offered the weight of all finished requests.
	Goodput, Offered float64
}

// Traffic holds the totals of the requests of one model, in tokens and weight.
type Traffic struct {
	PromptTokens, OutputTokens float64
	// Offered is the weight of the requests that arrived, Goodput that of the requests
	// answered in time.
	Offered, Goodput float64
}

// Sub returns the difference from earlier totals.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{
		t.PromptTokens - earlier.PromptTokens, t.OutputTokens - earlier.OutputTokens,
		t.Offered - earlier.Offered, t.Goodput - earlier.Goodput,
	}
}

// Totals counts requests by kind and by model. It is safe for concurrent use.
type Totals struct {
	mu    sync.Mutex
	kinds map[core.KindName]*KindTotals
	// models has an entry per configured model at most, since requests for unknown models
	// are refused earlier.
	models map[core.Model]*Traffic
}

// getOrCreate returns the value of a key and creates map and value if they don't exist.
func getOrCreate[K comparable, V any](m *map[K]*V, key K) *V {
	if *m == nil {
		*m = map[K]*V{}
	}
	v, ok := (*m)[key]
	if !ok {
		v = new(V)
		(*m)[key] = v
	}
	return v
}

func (t *Totals) update(req *core.Request, inTime bool, change func(*KindTotals)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	weight := req.Kind.Weight
	k := getOrCreate(&t.kinds, req.Kind.Name)
	k.Offered += weight
	if inTime {
		k.InTime++
		k.Goodput += weight
		getOrCreate(&t.models, req.Model).Goodput += weight
	}
	change(k)
}

// countArrival counts the offered work. Finished requests show only the work served, which
// never exceeds the present capacity; placement needs the demand above it as well.
func (t *Totals) countArrival(req *core.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	traffic := getOrCreate(&t.models, req.Model)
	traffic.PromptTokens += float64(req.PromptTokens)
	traffic.OutputTokens += float64(req.OutputTokens)
	traffic.Offered += req.Kind.Weight
}

func (t *Totals) countRefusal(req *core.Request) {
	t.update(req, false, func(k *KindTotals) { k.Refused++ })
}

func (t *Totals) countFinished(req *core.Request, outcome core.OutcomeKind, inTime bool) {
	t.update(req, inTime, func(k *KindTotals) {
		switch outcome {
		case core.OutcomeDone:
			k.Done++
		case core.OutcomeNotRun:
			k.Refused++
		case core.OutcomeCut:
			k.Cut++
		default:
			k.Unknown++
		}
	})
}

// Traffic returns a copy of the totals by model.
func (t *Totals) Traffic() map[core.Model]Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	models := make(map[core.Model]Traffic, len(t.models))
	for name, traffic := range t.models {
		models[name] = *traffic
	}
	return models
}

// Kinds returns a copy of the totals by kind.
func (t *Totals) Kinds() map[core.KindName]KindTotals {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := make(map[core.KindName]KindTotals, len(t.kinds))
	for name, k := range t.kinds {
		kinds[name] = *k
	}
	return kinds
}
