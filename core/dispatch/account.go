package dispatch

import (
	"sync"

	"gorseline/core"
)

// KindTotals holds the totals of one kind of request.
type KindTotals struct {
	// Done counts whole answers; InTime those within the deadline; Refused requests
	// that were not run; Cut streams that ended early; Unknown calls that may have run.
	Done, InTime, Refused, Cut, Unknown uint64
	// Goodput is the weight answered in time; Offered the weight that ended here.
	Goodput, Offered float64
}

// Traffic holds the totals of the requests of one model, in tokens and weight.
type Traffic struct {
	PromptTokens, OutputTokens float64
	// Offered counts all requests when they arrive, Goodput those answered in time.
	Offered, Goodput float64
}

// Sub returns the difference to earlier totals.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{
		t.PromptTokens - earlier.PromptTokens, t.OutputTokens - earlier.OutputTokens,
		t.Offered - earlier.Offered, t.Goodput - earlier.Goodput,
	}
}

// Totals counts how requests ended. It is safe for concurrent use.
type Totals struct {
	mu    sync.Mutex
	kinds map[core.KindName]*KindTotals
	// models grows with the configured models only: unknown ones are refused before.
	models map[core.Model]*Traffic
}

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

func (a *Totals) update(req *core.Request, inTime bool, change func(*KindTotals)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	weight := req.Kind.Weight
	k := getOrCreate(&a.kinds, req.Kind.Name)
	k.Offered += weight
	if inTime {
		k.InTime++
		k.Goodput += weight
		getOrCreate(&a.models, req.Model).Goodput += weight
	}
	change(k)
}

// countArrival counts the offered work. Requests that end tell only what was served, which
// never exceeds the capacity that placement is to judge.
func (a *Totals) countArrival(req *core.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := getOrCreate(&a.models, req.Model)
	t.PromptTokens += float64(req.PromptTokens)
	t.OutputTokens += float64(req.OutputTokens)
	t.Offered += req.Kind.Weight
}

func (a *Totals) countRefusal(req *core.Request) {
	a.update(req, false, func(k *KindTotals) { k.Refused++ })
}

func (a *Totals) countFinished(req *core.Request, outcome core.OutcomeKind, inTime bool) {
	a.update(req, inTime, func(k *KindTotals) {
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
func (a *Totals) Traffic() map[core.Model]Traffic {
	a.mu.Lock()
	defer a.mu.Unlock()
	models := make(map[core.Model]Traffic, len(a.models))
	for name, t := range a.models {
		models[name] = *t
	}
	return models
}

// Kinds returns a copy of the totals.
func (a *Totals) Kinds() map[core.KindName]KindTotals {
	a.mu.Lock()
	defer a.mu.Unlock()
	kinds := make(map[core.KindName]KindTotals, len(a.kinds))
	for name, k := range a.kinds {
		kinds[name] = *k
	}
	return kinds
}
