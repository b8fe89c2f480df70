package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gorseline/core/common/pause"
)

// result is the outcome of one request as its caller saw it.
type result struct {
	id    string
	route string
	// stream is the ID of the caller's first try, resumes that of the try that brought the first
	// event of the stream that this one takes up. The answer begins with event first.
	stream, resumes string
	first           int
	instance        string
	started         time.Time
	finished        time.Time
	status          int
	stamp           string
	retryAfter      string
	body            string
	// err is set if there was no complete response.
	err error
}

// callers send requests to all instances and record the results.
type callers struct {
	instances []*instance
	client    *http.Client
	routes    []string
	// takesUp is set if callers take up broken streams.
	takesUp bool
	// hasSubjects is set if the prompts of streams share a second part with some others.
	hasSubjects bool
	// hasUploads is set if the bodies of some requests are long.
	hasUploads bool
	// organisations is nil unless the configuration has organisations.
	organisations *organisations

	mu      sync.Mutex
	results []result
	// sent holds the times of all requests by route, also of those that are not in results. Requests that
	// must not run for their key are left out.
	sent map[string][]time.Time
}

func newCallers(instances []*instance, routes []string) *callers {
	return &callers{instances: instances, routes: routes, sent: map[string][]time.Time{}, client: &http.Client{
		// Connections are reused for many requests, until the instance's process ends.
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true, ResponseHeaderTimeout: 6 * time.Second},
		Timeout:   longTimeout + 5*time.Second,
	}}
}

// routeMix lists the callers' routes. They are drawn at equal rates, so that a route listed
// twice gets twice the load.
var routeMix = []string{"once", "once", "safe", "stream", "single"}

// plannedRouteMix is the mix beside planned work. Most requests are streams that may last as long
// as a grace period.
var plannedRouteMix = []string{"once", "safe", "stream", "long", "long", "long-single", "long-single"}

// routes returns the callers' routes.
func (o *Options) routes() []string {
	switch {
	case o.Endings:
		return endingRouteMix
	case o.Versions > 1:
		return versionRouteMix
	case o.Planned:
		return plannedRouteMix
	}
	return routeMix
}

// setPace sets how many events the engines make and how fast, and how long slow calls take.
func (s *soak) setPace() {
	interval := eventInterval
	if s.options.Endings {
		interval = endingEventInterval
	} else if !s.options.hasLongStreams() {
		return
	}
	for _, t := range s.testbed.targets {
		t.SetSlowPath("/"+slowRoute+"/"+slowCall, slowTime)
		t.SetEvents(maxLongEvents, interval)
	}
}

// run sends the requests of the caller with the given number until ctx ends, and completes
// the last one.
func (c *callers) run(ctx context.Context, number int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		inst := c.instances[rng.IntN(len(c.instances))]
		route := c.routes[rng.IntN(len(c.routes))]
		id := fmt.Sprintf("%s-%d-%d-%d", route, seed, number, i)
		a := attempt{route: route, id: id, stream: id, size: rng.IntN(20_000), credentials: c.organisations.draw(rng)}
		if c.hasUploads {
			a.size = endingSize(rng)
		}
		if c.takesUp && isResumable(route) {
			c.sendUntilWhole(context.WithoutCancel(ctx), inst, a, rng)
		} else {
			c.record(c.sendAttempt(context.WithoutCancel(ctx), inst, a))
		}
		pause.For(ctx, time.Duration(5+rng.IntN(40))*time.Millisecond)
	}
}

// callerTimeout is how long a caller waits for a response, as it states in its requests.
// longTimeout applies to long streams.
const (
	callerTimeout = 2500 * time.Millisecond
	longTimeout   = 10 * time.Second
)

// timeoutOf returns how long a caller waits for a response on a route. The ID of a request begins
// with its route and can be given instead.
func timeoutOf(route string) time.Duration {
	if strings.HasPrefix(route, "long") || strings.HasPrefix(route, slowRoute) {
		return longTimeout
	}
	return callerTimeout
}

// isStream reports whether a route's answers are streams.
func isStream(route string) bool {
	return route == "stream" || route == "single" || strings.HasPrefix(route, "long")
}

// Numbers of events of a stream. An engine takes eventInterval for each.
const (
	shortEvents                  = 4
	minLongEvents, maxLongEvents = 10, 140
)

// eventCount returns the number of events of a request's stream, which its caller states.
func eventCount(route, id string) int {
	if !strings.HasPrefix(route, "long") {
		return shortEvents
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, id) // never fails
	return minLongEvents + int(h.Sum32()%(maxLongEvents-minLongEvents+1))
}

// send sends one request with a body of the given size in bytes and returns its result.
func (c *callers) send(ctx context.Context, inst *instance, route, id string, size int) result {
	return c.sendAttempt(ctx, inst, attempt{route: route, id: id, stream: id, size: size})
}

// sendAttempt sends one try of a request and returns its result.
func (c *callers) sendAttempt(ctx context.Context, inst *instance, a attempt) (r result) {
	a.credentials = c.organisations.orLasting(a.credentials)
	route, id := a.route, a.id
	r = result{id: id, route: route, instance: inst.name, started: time.Now(), stream: a.stream, resumes: a.resumes, first: a.first}
	if c.organisations.mayRun(&a) {
		c.mu.Lock()
		c.sent[route] = append(c.sent[route], r.started)
		c.mu.Unlock()
	}
	defer func() {
		r.finished = time.Now()
		c.organisations.record(&r, a.credentials)
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+inst.callerAddress+a.uri(), strings.NewReader(strings.Repeat("b", a.size)))
	if err != nil {
		r.err = err
		return r
	}
	// Without GetBody the transport can't retry a request on its own.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeoutOf(route).Milliseconds(), 10))
	if isStream(route) {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", fmt.Sprintf("4000,%d", eventCount(route, a.stream)))
		req.Header.Set("X-Prompt-Prefix", c.promptOf(a))
	}
	if a.resumes != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(a.first-1))
		req.Header.Set("Resumes", a.resumes)
	}
	a.credentials.set(req.Header)
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
	r.stamp, r.retryAfter = resp.Header.Get("X-Upstream-Stamp"), resp.Header.Get("Retry-After")
	return r
}

// promptOf returns the parts of the prompt of a request.
func (c *callers) promptOf(a attempt) string {
	switch {
	case a.prompt != "":
		return a.prompt
	case c.hasSubjects:
		h := fnv.New32a()
		_, _ = io.WriteString(h, a.stream) // never fails
		return fmt.Sprintf("ab:3000,s%d:500,%x:500", h.Sum32()%subjects, h.Sum32())
	}
	return "ab:3000," + fmt.Sprintf("%x", len(a.stream)) + ":1000"
}

// allResults returns a copy of the results so far.
func (c *callers) allResults() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}

// requestTimes returns the times at which requests for a service were sent, in order.
func (c *callers) requestTimes(service string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var times []time.Time
	for route, sent := range c.sent {
		if routeService(route) == service {
			times = append(times, sent...)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
