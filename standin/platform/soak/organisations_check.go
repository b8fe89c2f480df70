package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gorseline/standin/platform"
)

// keyTolerance is added to keyApplyTime. Instances don't notice stops of under 500 ms of their processes,
// nor does the soak those of its own, and both occur on a busy machine.
const keyTolerance = 500 * time.Millisecond

// keyVersion is a version of the configuration. began is when the operators began to write it.
type keyVersion struct {
	number int
	began  time.Time
	keys   map[string]bool
}

// keyState is a version that the store holds since a call that began and was acknowledged at two times.
type keyState struct {
	version             int
	began, acknowledged time.Time
}

// keyHistory holds the versions of the configuration in the order of their numbers, and those that the
// store has held, in order: after it has come back from a copy, that is an earlier version.
type keyHistory struct {
	versions []keyVersion
	states   []keyState
	// holders holds the organisation of each key that a configuration may contain.
	holders map[string]string
}

// count returns in how many of the versions that may have been in force between two times, as ones that
// were the newest at most keyApplyTime before, a key is. all is their number. Instances keep a version
// while the store has only older ones, so that all versions from the lowest that the store has held count.
func (h *keyHistory) count(key string, from, to time.Time) (with, all int) {
	from = from.Add(-keyApplyTime - keyTolerance)
	lowest := 0
	for i, state := range h.states {
		if i+1 < len(h.states) && h.states[i+1].acknowledged.Before(from) {
			continue // has been replaced before
		}
		if state.began.After(to) {
			break // came later
		}
		if lowest == 0 || state.version < lowest {
			lowest = state.version
		}
	}
	for _, version := range h.versions {
		if version.number < lowest || version.began.After(to) {
			continue
		}
		all++
		if version.keys[key] {
			with++
		}
	}
	return with, all
}

// wasIn reports whether a version that was written before a time has a key.
func (h *keyHistory) wasIn(key string, before time.Time) bool {
	return slices.ContainsFunc(h.versions, func(v keyVersion) bool { return v.keys[key] && v.began.Before(before) })
}

// keyedRequest is a request with the key that its caller sent properly, which may be empty.
type keyedRequest struct {
	id, route, instance, key string
	started, finished        time.Time
	status                   int
}

func (r *keyedRequest) isPublic() bool { return r.route == publicRoute }

// keyCheck checks the keys and organisations of requests.
type keyCheck struct {
	history *keyHistory
	// isInTouch reports whether an instance was undisturbed for contactTime before the first time, and from
	// then up to the second one.
	isInTouch func(instance string, from, to time.Time) bool
	counts    KeyCounts
}

// KeyCounts counts the requests whose route needs a key, and the versions and keys of the configuration.
type KeyCounts struct {
	Versions, Keys int
	// Used is the number of requests that reached a target, Rejected that of those with status 401 and
	// Refused that of those with status 503.
	Used, Rejected, Refused int
	// Late is the number of requests with a dropped key that must not run any more, at undisturbed
	// instances.
	Late int
}

func (c KeyCounts) String() string {
	return fmt.Sprintf("%d versions, %d keys, %d requests reached targets, %d got 401, %d got 503; %d with a key that was dropped long before at undisturbed instances",
		c.Versions, c.Keys, c.Used, c.Rejected, c.Refused, c.Late)
}

// violations returns what is wrong with the requests and with what reached targets. An arrival without a
// request is one of an instance itself.
func (c *keyCheck) violations(requests []keyedRequest, arrivals []platform.Arrival) []string {
	var violations []string
	byID := make(map[string]*keyedRequest, len(requests))
	arrived := map[string]bool{}
	for i := range requests {
		byID[requests[i].id] = &requests[i]
	}
	for i := range arrivals {
		arrived[arrivals[i].ID] = true
		violations = append(violations, c.checkArrival(&arrivals[i], byID[arrivals[i].ID])...)
	}
	for i := range requests {
		r := &requests[i]
		c.add(r, arrived[r.id])
		if r.status != http.StatusUnauthorized {
			continue
		}
		switch with, all := c.history.count(r.key, r.started, r.finished); {
		case r.isPublic():
			violations = append(violations, r.describe("got 401 on a public route"))
		case arrived[r.id]:
			violations = append(violations, r.describe("reached a target and got 401"))
		case with == all:
			violations = append(violations, r.describe(fmt.Sprintf("got 401 with the key %s, which all %d versions that may be in force have", r.key, all)))
		}
	}
	return violations
}

// describe returns a violation with the request.
func (r *keyedRequest) describe(violation string) string {
	return fmt.Sprintf("%s at %s from %s to %s: %s", r.id, r.instance, r.started.UTC().Format("15:04:05.000"), r.finished.UTC().Format("15:04:05.000"), violation)
}

// add counts a request.
func (c *keyCheck) add(r *keyedRequest, hasArrived bool) {
	if r.isPublic() {
		return
	}
	switch {
	case hasArrived:
		c.counts.Used++
	case r.status == http.StatusUnauthorized:
		c.counts.Rejected++
	case r.status == http.StatusServiceUnavailable:
		c.counts.Refused++
	}
	with, _ := c.history.count(r.key, r.started, r.started)
	if with == 0 && c.history.wasIn(r.key, r.started) && c.isInTouch(r.instance, r.started, r.finished) {
		c.counts.Late++
	}
}

// checkArrival checks a request that reached a target.
func (c *keyCheck) checkArrival(a *platform.Arrival, r *keyedRequest) []string {
	var violations []string
	report := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		if r != nil {
			text = r.describe(text)
		}
		violations = append(violations, text)
	}
	if len(a.Header["Authorization"]) > 0 {
		report("a target got the header Authorization %q", a.Header["Authorization"])
	}
	for name, values := range a.Header {
		if strings.Contains(strings.Join(values, "\n"), keyPrefix) {
			report("a target got a key in the header %s", name)
		}
	}
	organisation := ""
	if r != nil && !r.isPublic() {
		organisation = c.history.holders[r.key]
		if !c.history.wasIn(r.key, a.At) {
			report("reached a target with the key %q, which no configuration had", r.key)
		} else if with, _ := c.history.count(r.key, r.started, a.At); with == 0 && c.isInTouch(r.instance, r.started, a.At) {
			report("reached a target %v after it was sent with the key %s, which was dropped before", a.At.Sub(r.started).Round(time.Millisecond), r.key)
		}
	}
	if got := strings.Join(a.Header["X-Tenant"], ", "); got != organisation || organisation == "" && len(a.Header["X-Tenant"]) > 0 {
		report("a target got X-Tenant %q, want %q", a.Header["X-Tenant"], organisation)
	}
	return violations
}

// isInTouchForKeys reports whether an instance was undisturbed from contactTime before a time to another
// one, and could reach the store or an undisturbed peer that could.
func (s *soak) isInTouchForKeys(name string, from, to time.Time) bool {
	isFree := func(disruptions []interval) bool {
		return !slices.ContainsFunc(disruptions, func(d interval) bool {
			return d.begin.Before(to) && d.end.Add(contactTime).After(from)
		})
	}
	if !isFree(s.crashes.disrupted[name]) || !isFree(s.crashes.store) {
		return false
	}
	return isFree(s.storeless[name]) || slices.ContainsFunc(s.instances, func(peer *instance) bool {
		return isFree(s.storeless[peer.name]) && isFree(s.crashes.disrupted[peer.name])
	})
}

// checkOrganisations returns the violations of the rules on keys and organisations.
func (s *soak) checkOrganisations() []string {
	o := s.testbed.organisations
	if o == nil {
		return nil
	}
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	var arrivals []platform.Arrival
	for _, t := range s.testbed.targets {
		arrivals = append(arrivals, t.Arrivals()...)
	}
	check := keyCheck{history: &o.history, isInTouch: s.isInTouchForKeys}
	violations := check.violations(o.sent, arrivals)
	s.keyCounts = check.counts
	s.keyCounts.Versions, s.keyCounts.Keys = len(o.history.versions), len(o.history.holders)
	for _, inst := range s.instances {
		text, err := os.ReadFile(inst.logFile.Name())
		if err != nil {
			s.recordError(errors.Wrap(err, "read log"))
		}
		violations = append(violations, checkLog(inst.name, text)...)
	}
	return violations
}

// checkLog returns the first line of a log that contains a key.
func checkLog(instance string, text []byte) []string {
	for line := range bytes.Lines(text) {
		if bytes.Contains(line, []byte(keyPrefix)) {
			return []string{fmt.Sprintf("the log of %s contains a key: %.200s", instance, line)}
		}
	}
	return nil
}
