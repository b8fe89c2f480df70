package soak

import (
	"fmt"
	"slices"
	"time"
)

// Limits of the check of streams that callers take up.
const (
	// maxMixedStreams is the number of streams that may hold events of two versions.
	maxMixedStreams = 2
	// minTakenUp is the number of streams from which on their share that goes on is checked.
	minTakenUp = 12
	// minReady is the number of ready engines of its version with which a stream is expected to go on.
	minReady = 2
)

// versionCheck checks the streams of callers that take up broken ones at any instance.
type versionCheck struct {
	// kills holds the times for which instances were down, ready the changes of the number of
	// ready engines, in order.
	kills map[string][]interval
	ready []readyChange
}

// mixed returns the streams that hold events of several versions, with the versions.
func (c *versionCheck) mixed(results []result) []string {
	versions := map[string][]string{}
	var mixed []string
	for i := range results {
		r := &results[i]
		for _, v := range r.versions() {
			seen := versions[r.stream]
			if slices.Contains(seen, v) {
				continue
			}
			versions[r.stream] = append(seen, v)
			if len(seen) == 1 {
				mixed = append(mixed, fmt.Sprintf("%s has events of %s and, by %s at %s, of %s", r.stream, seen[0], r.id, r.instance, v))
			}
		}
	}
	return mixed
}

// share is the number of streams and of those that got an event.
type share struct{ got, all int }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.got, s.all) }

// shares returns how many new streams began, and how many of those that were taken up went on,
// among those with a try at an undisturbed instance. Taken-up streams count for tries during which
// minReady engines of their version were ready.
func (c *versionCheck) shares(results []result) (begun, takenUp share) {
	version, tries := map[string]string{}, map[bool]map[string]bool{false: {}, true: {}}
	for i := range results {
		if events := results[i].versions(); len(events) > 0 && results[i].resumes == "" {
			version[results[i].stream] = events[0]
		}
	}
	for i := range results {
		r := &results[i]
		isTakenUp := r.resumes != ""
		if !isResumable(r.route) || !c.isUndisturbed(r) || isTakenUp && c.minimumReady(version[r.stream], r.started, r.finished) < minReady {
			continue
		}
		tries[isTakenUp][r.stream] = tries[isTakenUp][r.stream] || len(r.versions()) > 0
	}
	for isTakenUp, s := range map[bool]*share{false: &begun, true: &takenUp} {
		s.all = len(tries[isTakenUp])
		for _, got := range tries[isTakenUp] {
			if got {
				s.got++
			}
		}
	}
	return begun, takenUp
}

// isUndisturbed reports whether the instance of a request ran from contactTime before it to its end.
func (c *versionCheck) isUndisturbed(r *result) bool {
	return !slices.ContainsFunc(c.kills[r.instance], func(down interval) bool {
		return down.begin.Before(r.finished) && down.end.Add(contactTime).After(r.started)
	})
}

// minimumReady returns the least number of ready engines of a version between two times.
func (c *versionCheck) minimumReady(version string, from, to time.Time) int {
	count, least := 0, -1
	for _, change := range c.ready {
		if change.version != version || change.at.After(to) {
			continue
		}
		if change.at.After(from) && least < 0 {
			least = count
		}
		count += change.change
		if least >= 0 {
			least = min(least, count)
		}
	}
	if least < 0 {
		return count
	}
	return least
}

// violations returns the violations and a description of the streams that were taken up.
func (c *versionCheck) violations(results []result) (violations []string, description string) {
	mixed := c.mixed(results)
	begun, takenUp := c.shares(results)
	if len(mixed) > maxMixedStreams {
		violations = append(violations, fmt.Sprintf("%d streams have events of several software versions, the first: %s", len(mixed), mixed[0]))
	}
	if takenUp.all >= minTakenUp && 2*takenUp.got*begun.all < begun.got*takenUp.all {
		violations = append(violations, fmt.Sprintf("%v streams that were taken up went on, %v new ones began", takenUp, begun))
	}
	return violations, fmt.Sprintf("%v taken up went on, %v new ones began, %d of several versions", takenUp, begun, len(mixed))
}

// checkVersions returns the violations of the rules on streams that callers take up.
func (s *soak) checkVersions(results []result) (violations []string) {
	if s.options.Versions < 2 {
		return nil
	}
	check := versionCheck{kills: s.kills, ready: s.testbed.allReadyChanges()}
	violations, s.streams = check.violations(results)
	return violations
}
