package drain

import (
	"slices"
	"sync"
	"time"

	"gorseline/core"
)

const (
	// windowSize is the number of recent samples that a slow value is taken from.
	windowSize = 64
	// minSamples is the number of samples below which a duration counts as unknown.
	minSamples = 8
	// outlierDivisor determines how many of the largest samples are left out: one in
	// outlierDivisor, so that a single stalled answer doesn't set the bound for long.
	outlierDivisor = 32
	// minPauses is the number of pauses between events that one sample of the time per event
	// covers. Shorter streams are taken together, since a single long pause says little about
	// the pace of a long stream.
	minPauses = 16
	// maxBound is the largest bound. It is longer than any grace period.
	maxBound = 24 * time.Hour
)

// window holds the latest samples of a duration.
type window struct {
	samples [windowSize]time.Duration
	// count is the number of samples so far.
	count int
}

func (w *window) add(d time.Duration) {
	w.samples[w.count%windowSize] = d
	w.count++
}

// slow returns the largest recent sample without outliers, or false if there are too few.
func (w *window) slow() (time.Duration, bool) {
	n := min(w.count, windowSize)
	if n < minSamples {
		return 0, false
	}
	sorted := w.samples
	slices.Sort(sorted[:n])
	return sorted[n-1-n/outlierDivisor], true
}

// streamDurations are the samples of the streams of one service.
type streamDurations struct {
	first, perEvent window
	// pauses and paused are the number and sum of the pauses that no sample covers yet.
	pauses int
	paused time.Duration
}

// Durations learns how long requests take, so that a leaving instance can tell which of them
// it can still finish. It is safe for concurrent use.
type Durations struct {
	mu      sync.Mutex
	streams map[core.Service]*streamDurations
	routes  map[string]*window
}

// NewDurations returns durations that know nothing.
func NewDurations() *Durations {
	return &Durations{streams: map[core.Service]*streamDurations{}, routes: map[string]*window{}}
}

// ObserveRequest records the duration of a request on a route without streams.
func (d *Durations) ObserveRequest(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.routes[route]
	if !ok {
		w = &window{}
		d.routes[route] = w
	}
	w.add(took)
}

// ObserveStream records a stream of the given number of events: the time to its first event, and
// from there to its last one.
func (d *Durations) ObserveStream(service core.Service, events int, first, rest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.streams[service]
	if !ok {
		s = &streamDurations{}
		d.streams[service] = s
	}
	s.first.add(first)
	if pauses := events - 1; pauses >= minPauses {
		s.perEvent.add(rest / time.Duration(pauses))
		return
	}
	s.pauses, s.paused = s.pauses+events-1, s.paused+rest
	if s.pauses >= minPauses {
		s.perEvent.add(s.paused / time.Duration(s.pauses))
		s.pauses, s.paused = 0, 0
	}
}

// Retain forgets all routes and services but the given ones.
func (d *Durations) Retain(routes map[string]bool, services map[core.Service]core.ServiceLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.routes {
		if !routes[name] {
			delete(d.routes, name)
		}
	}
	for name := range d.streams {
		if _, ok := services[name]; !ok {
			delete(d.streams, name)
		}
	}
}

// bound returns an upper bound of the duration of a request, or false if it isn't known. Streams
// of a route say nothing about the length of another one without a limit. The durations of other
// requests are no bound for one that may run once at most: it may take far longer, and its outcome is lost
// if it is cut.
func (d *Durations) bound(w *Work) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !w.IsRepeatable {
		return 0, false
	}
	if w.MaxTokens > 0 {
		return d.streamBound(w)
	}
	samples, ok := d.routes[w.Route]
	if !ok || w.Kind == core.RouteStream {
		return 0, false
	}
	return samples.slow()
}

// streamBound bounds a generated answer. An event has at least one token.
func (d *Durations) streamBound(w *Work) (time.Duration, bool) {
	s, ok := d.streams[w.Service]
	if !ok {
		return 0, false
	}
	first, firstKnown := s.first.slow()
	perEvent, perEventKnown := s.perEvent.slow()
	// The division keeps the product from overflowing.
	if perEvent > 0 && time.Duration(w.MaxTokens) > maxBound/perEvent {
		return maxBound, firstKnown && perEventKnown
	}
	return max(first-w.Computed, 0) + time.Duration(w.MaxTokens)*perEvent, firstKnown && perEventKnown
}
