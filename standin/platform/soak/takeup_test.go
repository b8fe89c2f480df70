package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// streamAnswer returns a result of a try with events of the given versions, sent at 10 s for 1 s.
func streamAnswer(stream string, try int, resumes string, versions ...string) result {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	r := result{
		id: fmt.Sprintf("%s-%d", stream, try), stream: stream, resumes: resumes, route: "long", instance: "n", status: 200,
		started: start.Add(10 * time.Second), finished: start.Add(11 * time.Second),
	}
	for i, v := range versions {
		r.body += fmt.Sprintf("id: %d\ndata: piece %d of %s by %s\n\n", i, i, r.id, v)
	}
	if len(versions) == 0 {
		r.status = 503
	}
	return r
}

// Guards against a check that misses streams of several versions, in one answer or over several
// tries, or that counts a version of which no whole event arrived.
func TestStreamsOfSeveralVersionsAreFound(t *testing.T) {
	for name, test := range map[string]struct {
		count   int
		tries   [][]string
		partial string
		isFound bool
	}{
		"over tries":          {3, [][]string{{"v1", "v1"}, {"v2"}}, "", true},
		"with a try between":  {3, [][]string{{"v1"}, {}, {"v1"}, {"v2"}}, "", true},
		"in one answer":       {3, [][]string{{"v1", "v2"}}, "", true},
		"two streams":         {2, [][]string{{"v1"}, {"v2"}}, "", false},
		"one version":         {9, [][]string{{"v1"}, {"v1"}}, "", false},
		"a part of one event": {9, [][]string{{"v1"}}, "id: 1\ndata: piece 1 of x by v2\n", false},
	} {
		var results []result
		for stream := range test.count {
			resumes := ""
			for try, versions := range test.tries {
				r := streamAnswer(fmt.Sprint("s", stream), try, resumes, versions...)
				r.body += test.partial
				results, resumes = append(results, r), cmp(resumes, r.id)
			}
		}
		violations, _ := (&versionCheck{}).violations(results)
		isFound := slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, "several software versions") })
		if isFound != test.isFound {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// cmp returns a, or b if a is empty.
func cmp(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

// Guards against a check that misses streams that are taken up in vain, or that counts those
// at a disturbed instance or without engines of their version.
func TestStreamsTakenUpInVainAreFound(t *testing.T) {
	type setting struct {
		takenUp, wentOn, begun int
		// killed is the end of a kill of the instance and ready the number of engines of the version
		// that stay ready, from leaveAt on; in seconds.
		killed, leaveAt float64
		ready           int
	}
	for name, test := range map[string]struct {
		change  func(s *setting)
		isFound bool
	}{
		"under half":                        {func(*setting) {}, true},
		"half":                              {func(s *setting) { s.wentOn = 6 }, false},
		"few":                               {func(s *setting) { s.takenUp, s.wentOn = 11, 0 }, false},
		"new ones don't begin either":       {func(s *setting) { s.begun = 8 }, false},
		"instance killed 2.9 s before":      {func(s *setting) { s.killed = 7.1 }, false},
		"instance killed 3.1 s before":      {func(s *setting) { s.killed = 6.9 }, true},
		"one engine left before":            {func(s *setting) { s.leaveAt, s.ready = 9, 1 }, false},
		"one engine left meanwhile":         {func(s *setting) { s.leaveAt, s.ready = 10.5, 1 }, false},
		"one engine left after":             {func(s *setting) { s.leaveAt, s.ready = 11.5, 1 }, true},
		"two engines of the version remain": {func(s *setting) { s.leaveAt, s.ready = 10.5, 2 }, true},
	} {
		s := setting{takenUp: 12, wentOn: 5, begun: 20, ready: 3}
		test.change(&s)
		start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
		at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
		check := versionCheck{ready: []readyChange{{start, "v1", 3}, {start, "v2", 9}, {at(s.leaveAt), "v1", s.ready - 3}}}
		check.kills = map[string][]interval{"n": {{at(s.killed - 1), at(s.killed)}}, "other": {{at(10), at(11)}}}
		var results []result
		for i := range 20 {
			r := streamAnswer(fmt.Sprint("new", i), 1, "", "v1")
			if i >= s.begun {
				r = streamAnswer(fmt.Sprint("new", i), 1, "")
			}
			results = append(results, r)
		}
		for i := range s.takenUp {
			first := streamAnswer(fmt.Sprint("s", i), 1, "", "v1")
			first.instance = "gone"
			next := streamAnswer(first.stream, 2, first.id)
			if i < s.wentOn {
				next = streamAnswer(first.stream, 2, first.id, "v1")
			}
			results = append(results, first, next)
		}
		// New streams at another instance begin whatever happens here.
		for i := range results[:20] {
			results[i].instance = "third"
		}
		if violations, _ := check.violations(results); len(violations) > 0 != test.isFound {
			t.Errorf("%s: %v", name, violations)
		}
	}
}
