package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseline/core"
)

// HedgeOptions are the settings of hedging.
type HedgeOptions struct {
	// Quantile is the quantile of past durations, in percent, after which a call is hedged.
	// At 95, one call in 20 is hedged, which is within the budget of one in 10.
	Quantile float64
	// MaxExpected is the longest expected duration at which a call is hedged.
	MaxExpected time.Duration
	// MinSamples is the number of durations needed before any call is hedged.
	MinSamples int64
}

// DefaultHedgeOptions returns the default settings.
func DefaultHedgeOptions() HedgeOptions {
	return HedgeOptions{Quantile: 95, MaxExpected: 500 * time.Millisecond, MinSamples: 50}
}

const (
	// Durations are recorded in microseconds, up to a minute, with two significant digits.
	maxRecordedMicros = 60_000_000
	significantDigits = 2
	// generationSize is the number of durations after which a new generation replaces the
	// older of the two.
	generationSize = 1000
)

// Hedger decides when a short idempotent call gets a second attempt on another target.
// It is safe for concurrent use.
type Hedger struct {
	options HedgeOptions
	budget  *Budget

	mu        sync.Mutex
	durations map[core.KindName]*durations
}

// durations holds the histograms of the last two generations of durations of one kind.
type durations struct {
	current, previous *hdrhistogram.Histogram
}

// NewHedger returns a hedger that takes the tokens of its hedges from budget.
func NewHedger(options HedgeOptions, budget *Budget) *Hedger {
	return &Hedger{options: options, budget: budget, durations: make(map[core.KindName]*durations)}
}

// Observe records the time until a call was answered. A call and its hedge are recorded once.
func (h *Hedger) Observe(kind core.KindName, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.durations[kind]
	if !ok {
		d = &durations{current: newHistogram(), previous: newHistogram()}
		h.durations[kind] = d
	}
	if d.current.TotalCount() >= generationSize {
		d.current, d.previous = d.previous, d.current
		d.current.Reset()
	}
	micros := min(max(took.Microseconds(), 1), maxRecordedMicros)
	if err := d.current.RecordValue(micros); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// Delay returns the time after which a call is hedged. It returns false for calls that may
// not be repeated, are expected to be long, or are of a kind with few observations.
func (h *Hedger) Delay(req *core.Request, expected time.Duration) (time.Duration, bool) {
	if !req.Kind.Repeatable || expected > h.options.MaxExpected {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.durations[req.Kind.Name]
	if !ok || d.current.TotalCount()+d.previous.TotalCount() < h.options.MinSamples {
		return 0, false
	}
	// The larger generation gives the more stable quantile.
	observed := d.current
	if d.previous.TotalCount() > observed.TotalCount() {
		observed = d.previous
	}
	return time.Duration(observed.ValueAtQuantile(h.options.Quantile)) * time.Microsecond, true
}

// Allow reports whether a hedge may start once the delay is over. It takes a token from the
// budget if time remains.
func (h *Hedger) Allow(now core.Instant, req *core.Request) bool {
	return req.Remaining(now) > 0 && h.budget.Withdraw()
}
