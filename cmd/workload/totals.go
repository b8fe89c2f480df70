package workload

import (
	"strings"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/standin/engine"
)

// Totals counts the requests of a sample by outcome, and the effects of service calls.
type Totals struct {
	Sent   int
	InTime int
	Late   int
	// NotRun requests were refused and have not run.
	NotRun int
	// Cut streams ended early or with a text that differs from the engine's.
	Cut int
	// Unknown calls may have run.
	Unknown int
	// EffectsOnce, EffectsDoubled and EffectsLost count non-repeatable calls with one
	// effect, with more than one, and with none although they were answered.
	EffectsOnce    int
	EffectsDoubled int
	EffectsLost    int
	// EffectsUnreported counts calls that took effect although they were reported as
	// not run.
	EffectsUnreported int
	RoleChanges       int
	PresetSwitches    int
	// Problems describe each request that was not answered in time.
	Problems []string `json:",omitempty"`
}

// Passed reports whether requests were sent and nothing was cut, doubled, lost or left
// unknown.
func (t Totals) Passed() bool {
	return t.Cut+t.Unknown+t.EffectsDoubled+t.EffectsLost+t.EffectsUnreported == 0 && t.Sent > 0
}

// Collector sums the results of requests. It is safe for concurrent use.
type Collector struct {
	kinds map[core.KindName]core.Kind

	mu     sync.Mutex
	totals Totals
	// outcomes holds the outcomes of non-repeatable calls by operation key.
	outcomes map[string]core.OutcomeKind
}

// NewCollector returns an empty collector for requests of the given kinds.
func NewCollector(kinds map[core.KindName]core.Kind) *Collector {
	return &Collector{kinds: kinds, outcomes: map[string]core.OutcomeKind{}}
}

// Add adds the result of a request.
func (c *Collector) Add(r Request, key string, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := c.kinds[r.Kind]
	c.totals.Sent++
	if !kind.Repeatable {
		c.outcomes[key] = result.Outcome
	}
	switch {
	case result.Outcome == core.OutcomeDone && r.Model != "" && !isComplete(r, result.Text):
		c.totals.Cut++
		c.addProblem(r, "the text differs from the engine's")
	case result.Outcome == core.OutcomeDone && result.Took <= kind.Deadline:
		c.totals.InTime++
	case result.Outcome == core.OutcomeDone:
		c.totals.Late++
		c.addProblem(r, "answered after "+result.Took.Round(time.Millisecond).String())
	case result.Outcome == core.OutcomeNotRun:
		c.totals.NotRun++
		c.addProblem(r, result.Reason)
	case result.Outcome == core.OutcomeCut:
		c.totals.Cut++
		c.addProblem(r, result.Reason)
	default:
		c.totals.Unknown++
		c.addProblem(r, result.Reason)
	}
}

func (c *Collector) addProblem(r Request, text string) {
	c.totals.Problems = append(c.totals.Problems, r.Name+": "+text)
}

// isComplete reports whether a text is the one that every stand-in engine generates for
// the prompt.
func isComplete(r Request, text string) bool {
	want, _ := engine.Answer(r.Model, r.Prompt, r.MaxTokens)
	return strings.TrimSpace(text) == strings.TrimSpace(want)
}

// Reconcile returns the totals after comparing the outcomes of non-repeatable calls with
// the effects that the services counted by operation key. It is called once.
func (c *Collector) Reconcile(effects map[string]int) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, outcome := range c.outcomes {
		switch n := effects[key]; {
		case n > 1:
			c.totals.EffectsDoubled++
		case n == 1 && outcome == core.OutcomeNotRun:
			c.totals.EffectsUnreported++
		case n == 1:
			c.totals.EffectsOnce++
		case outcome == core.OutcomeDone:
			c.totals.EffectsLost++
		}
	}
	return c.totals
}
