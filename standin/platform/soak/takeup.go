package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// attempt is one try of a caller's request.
type attempt struct {
	route, id string
	// stream is the ID of the first try, resumes that of the try that brought the first event; empty
	// if none has. first is the first missing event.
	stream, resumes string
	first           int
	// size is the size of the body in bytes.
	size int
	// path is the path below the route; empty for the one of the other callers.
	path string
	// prompt holds the parts of the prompt; empty for those of the other callers.
	prompt string
	// credentials is nil for those of callers whose organisation doesn't change.
	credentials *credentials
}

// uri returns the path of the request.
func (a *attempt) uri() string {
	path := a.path
	if path == "" {
		path = "x"
	}
	return "/" + a.route + "/" + path
}

// isResumable reports whether callers may take up a route's streams.
func isResumable(route string) bool { return route == "stream" || route == "long" }

// takeUpInterval is the time between a broken answer and the next try.
const takeUpInterval = 100 * time.Millisecond

// maxWaitPart is the divisor of a caller's remaining time that gives the longest wait it accepts.
const maxWaitPart = 3

// sendUntilWhole sends a request, the first time to the given instance, until it has its whole
// stream, has been refused for good, or its time is over. It records all results.
func (c *callers) sendUntilWhole(ctx context.Context, inst *instance, a attempt, rng *rand.Rand) {
	began := time.Now()
	for try := 1; time.Since(began) < longTimeout; try++ {
		if try > 1 {
			a.id = fmt.Sprintf("%s-%d", a.stream, try)
			inst = c.instances[rng.IntN(len(c.instances))]
		}
		r := c.sendAttempt(ctx, inst, a)
		c.record(r)
		if events := r.versions(); len(events) > 0 {
			if a.resumes == "" {
				a.resumes = r.id
			}
			a.first += len(events)
		}
		wait := takeUpInterval
		switch {
		case r.status == 503 || r.status == 429:
			seconds, err := strconv.ParseFloat(r.retryAfter, 64)
			if err != nil {
				return
			}
			wait = max(wait, min(time.Duration(seconds*float64(time.Second)), (longTimeout-time.Since(began))/maxWaitPart))
		case r.err == nil || a.first >= eventCount(a.route, a.stream):
			return
		}
		pause.For(ctx, wait)
	}
}

// record appends a result.
func (c *callers) record(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// versionNotes matches the software version at the end of an event.
var versionNotes = regexp.MustCompile(regexp.QuoteMeta(platform.VersionNote) + `\w+\n\n`)

// versions returns the software versions of the engines that made the complete events of an answer, one
// for each event; an unknown one is empty.
func (r *result) versions() []string {
	if r.status != 200 || !isStream(r.route) {
		return nil
	}
	events := strings.Split(r.body, "\n\n")
	versions := make([]string, len(events)-1)
	for i := range versions {
		_, versions[i], _ = strings.Cut(events[i], platform.VersionNote)
	}
	return versions
}
