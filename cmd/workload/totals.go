package workload

import (
	"strings"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/standin/engine"
)

// Totals counts what became of the sample's requests.
type Totals struct {
	Sent   int
	InTime int
	Late   int
	// NotRun requests were refused and have not run.
	NotRun int
	// Cut streams ended early or with another text than the engine's.
	Cut int
	// Unknown calls may have run.
	Unknown int
	// EffectsOnce, EffectsDoubled and EffectsLost count the calls that may not be
	// repeated and were answered, by the number of their effects.
	EffectsOnce    int
	EffectsDoubled int
	EffectsLost    int
	// EffectsUnreported counts calls that took effect although their caller was told
	// that they were not run.
	EffectsUnreported int
	RoleChanges       int
	PresetSwitches    int
	// Problems tell what went wrong, by request.
	Problems []string `json:",omitempty"`
}

// Passed reports whether nothing was cut, doubled, lost or left unknown.
func (a Totals) Passed() bool {
	return a.Cut+a.Unknown+a.EffectsDoubled+a.EffectsLost+a.EffectsUnreported == 0 && a.Sent > 0
}

// Collector collects the results of concurrent requests.
type Collector struct {
	kinds map[core.KindName]core.Kind

	mu      sync.Mutex
	account Totals
	// keys holds the outcome of each call that may not be repeated.
	keys map[string]core.OutcomeKind
}

// NewCollector returns an empty ledger.
func NewCollector(kinds map[core.KindName]core.Kind) *Collector {
	return &Collector{kinds: kinds, keys: map[string]core.OutcomeKind{}}
}

// Add notes the result of a request.
func (l *Collector) Add(r Request, key string, got Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := l.kinds[r.Kind]
	l.account.Sent++
	if !kind.Repeatable {
		l.keys[key] = got.Outcome
	}
	switch {
	case got.Outcome == core.OutcomeDone && r.Model != "" && !isWhole(r, got.Text):
		l.account.Cut++
		l.problem(r, "the text differs from the engine's")
	case got.Outcome == core.OutcomeDone && got.Took <= kind.Deadline:
		l.account.InTime++
	case got.Outcome == core.OutcomeDone:
		l.account.Late++
		l.problem(r, "answered after "+got.Took.Round(time.Millisecond).String())
	case got.Outcome == core.OutcomeNotRun:
		l.account.NotRun++
		l.problem(r, got.Reason)
	case got.Outcome == core.OutcomeCut:
		l.account.Cut++
		l.problem(r, got.Reason)
	default:
		l.account.Unknown++
		l.problem(r, got.Reason)
	}
}

func (l *Collector) problem(r Request, text string) {
	l.account.Problems = append(l.account.Problems, r.Name+": "+text)
}

// isWhole compares a text with what every engine generates for the prompt.
func isWhole(r Request, text string) bool {
	want, _ := engine.Answer(r.Model, r.Prompt, r.MaxTokens)
	return strings.TrimSpace(text) == strings.TrimSpace(want)
}

// Reconcile compares the outcomes with the effects that the services counted.
func (l *Collector) Reconcile(effects map[string]int) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, outcome := range l.keys {
		switch n := effects[key]; {
		case n > 1:
			l.account.EffectsDoubled++
		case n == 1 && outcome == core.OutcomeNotRun:
			l.account.EffectsUnreported++
		case n == 1:
			l.account.EffectsOnce++
		case outcome == core.OutcomeDone:
			l.account.EffectsLost++
		}
	}
	return l.account
}
