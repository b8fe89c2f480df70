package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Report holds the outcomes and latencies of a run.
type Report struct {
	Seconds float64
	// Sent counts requests; each has exactly one of the five outcomes below.
	Sent     int
	Complete int
	// NotRun requests were refused and have not run.
	NotRun int
	// Cut answers ended early and could not be resumed.
	Cut int
	// Unknown calls may have run.
	Unknown int
	// Wrong answers are complete, but differ from the text that a stand-in engine
	// generates: a part is doubled, lost or of another answer.
	Wrong int

	// Doubled counts the effects of calls beyond their first one, Lost answered calls
	// without an effect. Only services that report their effects are counted.
	Doubled int
	Lost    int
	// Resumed counts attempts that resumed a stream after its last event.
	Resumed int
	// Skipped requests were not sent because MaxInFlight were in flight.
	Skipped int
	Tokens  int

	// FirstToken and Service are measured from the time at which the request was due, so
	// that a delay of the sender counts too.
	FirstToken    Latency
	BetweenTokens Latency
	Service       Latency

	mu                                 sync.Mutex
	firstToken, betweenTokens, service *hdrhistogram.Histogram
}

// Latency is a distribution in milliseconds.
type Latency struct {
	Count                                     int64
	MeanMs, P50Ms, P90Ms, P95Ms, P99Ms, MaxMs float64
}

// maxLatency is the greatest latency that a histogram holds; longer ones are recorded as it.
const maxLatency = 10 * time.Minute

func newReport() *Report {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return &Report{firstToken: newHistogram(), betweenTokens: newHistogram(), service: newHistogram()}
}

// update calls change with the report locked.
func (r *Report) update(change func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// record adds a latency to a histogram. It is called within update.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// finish sets the duration of the run and the latencies.
func (r *Report) finish(elapsed time.Duration) {
	r.Seconds = elapsed.Seconds()
	r.FirstToken, r.BetweenTokens, r.Service = latency(r.firstToken), latency(r.betweenTokens), latency(r.service)
}

// latency summarises a histogram of microseconds.
func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / 1000 }
	return Latency{
		Count: h.TotalCount(), MeanMs: h.Mean() / 1000,
		P50Ms: ms(50), P90Ms: ms(90), P95Ms: ms(95), P99Ms: ms(99), MaxMs: float64(h.Max()) / 1000,
	}
}

// Passed reports whether requests were sent and nothing was cut, doubled, lost or wrong.
func (r *Report) Passed() bool { return r.Cut+r.Wrong+r.Doubled+r.Lost == 0 && r.Sent > 0 }

var errFailed = errors.New("something was cut, doubled, lost or wrong")

// Err returns an error if the run did not pass.
func (r *Report) Err() error {
	if r.Passed() {
		return nil
	}
	return errFailed
}
