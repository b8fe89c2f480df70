package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the account of a run.
type Report struct {
	Seconds float64
	// Sent counts requests; each has exactly one of the next five ends.
	Sent     int
	Complete int
	// NotRun requests were refused and have not run.
	NotRun int
	// Cut answers ended early and could not be continued.
	Cut int
	// Unknown calls may have run.
	Unknown int
	// Wrong answers are complete but not the text that a stand-in engine generates:
	// a part is doubled, lost or foreign.
	Wrong int

	// Doubled counts calls with more than one effect, Lost answered calls without
	// one. They are counted where the service reports its effects.
	Doubled int
	Lost    int
	// Resumed counts continuations of a stream with its token.
	Resumed int
	// Skipped requests were not sent because too many were under way.
	Skipped int
	Tokens  int

	// FirstToken and Service count from the time at which the request was due.
	FirstToken    Latency
	BetweenTokens Latency
	Service       Latency

	mu                              sync.Mutex
	firstToken, betweenTokens, call *hdrhistogram.Histogram
}

// Latency is a distribution in milliseconds.
type Latency struct {
	Count                                     int64
	MeanMs, P50Ms, P90Ms, P95Ms, P99Ms, MaxMs float64
}

// longest is the greatest latency that a histogram holds; longer ones count as it.
const longest = 10 * time.Minute

func newReport() *Report {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longest.Microseconds(), 3)
	}
	return &Report{firstToken: newHistogram(), betweenTokens: newHistogram(), call: newHistogram()}
}

// update changes the report.
func (r *Report) update(change func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// note adds a latency to a histogram. It is called in an update.
func note(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is in range, so that recording it can't fail.
	_ = h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
}

func (r *Report) finish(took time.Duration) {
	r.Seconds = took.Seconds()
	r.FirstToken, r.BetweenTokens, r.Service = latency(r.firstToken), latency(r.betweenTokens), latency(r.call)
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
	return Latency{
		Count: h.TotalCount(), MeanMs: h.Mean() / 1000,
		P50Ms: ms(50), P90Ms: ms(90), P95Ms: ms(95), P99Ms: ms(99), MaxMs: float64(h.Max()) / 1000,
	}
}

// Passed reports whether nothing was cut, doubled, lost or wrong.
func (r *Report) Passed() bool { return r.Cut+r.Wrong+r.Doubled+r.Lost == 0 && r.Sent > 0 }
