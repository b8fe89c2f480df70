package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseline/core"
)

// HedgeOptions are the settings of hedging.
type HedgeOptions struct {
	// Quantile of past durations, in percent, after which a second attempt starts. At 95
	// one call in 20 is hedged, within the budget of a tenth.
	Quantile float64
	// MaxExpected is the longest expected duration of a call that is hedged.
	MaxExpected time.Duration
	// MinSamples is the number of durations needed before any call is hedged.
	MinSamples int64
}

// DefaultHedgeOptions returns the default settings.
func DefaultHedgeOptions() HedgeOptions {
	return HedgeOptions{Quantile: 95, MaxExpected: 500 * time.Millisecond, MinSamples: 50}
}

const (
	// Durations are recorded in microseconds up to a minute, to two digits.
	longestRecorded = 60_000_000
	recordedDigits  = 2
	// generationSize is the number of durations after which the older half is forgotten.
	generationSize = 1000
)

// Hedger decides when a short idempotent call gets a second attempt on another target.
// It is safe for concurrent use.
type Hedger struct {
	options HedgeOptions
	budget  *Budget

	mutex     sync.Mutex
	durations map[core.KindName]*durations
}

// durations are those of the last one to two generations of one kind.
type durations struct {
	current, previous *hdrhistogram.Histogram
}

// NewHedger returns a hedger that draws on the budget.
func NewHedger(options HedgeOptions, budget *Budget) *Hedger {
	return &Hedger{options: options, budget: budget, durations: make(map[core.KindName]*durations)}
}

// Observe records how long a call of the kind took, its hedge not counted.
func (h *Hedger) Observe(kind core.KindName, took time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	d, ok := h.durations[kind]
	if !ok {
		d = &durations{current: newHistogram(), previous: newHistogram()}
		h.durations[kind] = d
	}
	if d.current.TotalCount() >= generationSize {
		d.current, d.previous = d.previous, d.current
		d.current.Reset()
	}
	recorded := min(max(took.Microseconds(), 1), longestRecorded)
	if err := d.current.RecordValue(recorded); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestRecorded, recordedDigits)
}

// Delay returns after which time a call should get a second attempt. It returns false
// for calls that may not be repeated, are long, or are of a kind with few observations.
func (h *Hedger) Delay(req *core.Request, expected time.Duration) (time.Duration, bool) {
	if !req.Kind.Repeatable || expected > h.options.MaxExpected {
		return 0, false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	d, ok := h.durations[req.Kind.Name]
	if !ok || d.current.TotalCount()+d.previous.TotalCount() < h.options.MinSamples {
		return 0, false
	}
	// The quantile of the larger generation is the steadier one.
	known := d.current
	if d.previous.TotalCount() > known.TotalCount() {
		known = d.previous
	}
	return time.Duration(known.ValueAtQuantile(h.options.Quantile)) * time.Microsecond, true
}

// Allow reports, once the delay is over, whether the second attempt may start. It uses
// up a part of the budget.
func (h *Hedger) Allow(now core.Instant, req *core.Request) bool {
	return req.Remaining(now) > 0 && h.budget.Withdraw()
}
