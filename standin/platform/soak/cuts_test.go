package soak

import (
	"testing"
	"time"
)

// Guards against a check that misses callers who are served far worse during a cut.
func TestCutsAreChecked(t *testing.T) {
	tests := map[string]struct {
		cutSent, cutServed, otherSent, otherServed int
		want                                       bool
	}{
		"none served":          {100, 0, 300, 298, true},
		"as well as others":    {100, 97, 300, 298, false},
		"two thirds":           {300, 200, 300, 300, false},
		"fewer":                {300, 199, 300, 300, true},
		"few requests":         {12, 2, 300, 300, false},
		"others are no better": {100, 10, 300, 40, false},
		"nobody else":          {100, 0, 0, 0, false},
	}
	for name, test := range tests {
		c := cutCheck{cutSent: test.cutSent, cutServed: test.cutServed, otherSent: test.otherSent, otherServed: test.otherServed}
		if c.isViolated() != test.want {
			t.Errorf("%s: violated %v", name, c.isViolated())
		}
	}
}

// Guards against a check that counts cuts during which no instance reaches a target, or the instances of
// another cut among those that do.
func TestOverlappingCutsAreCheckedApart(t *testing.T) {
	start := time.Now()
	cutOff := map[string]bool{"a": true, "b": true}
	c := cutCheck{
		cut: cut{interval: interval{start, start.Add(time.Minute)}, instances: []string{"a"}}, all: []string{"a", "b", "c"},
		isCutAt: func(instance string, _ time.Time) bool { return cutOff[instance] },
	}
	send := func() {
		for _, instance := range c.all {
			c.add(&result{instance: instance, started: start.Add(10 * time.Second)})
		}
	}
	send()
	if c.cutSent != 1 || c.otherSent != 1 {
		t.Errorf("%d requests counted at the instances cut off, %d at the others", c.cutSent, c.otherSent)
	}
	cutOff["c"] = true
	send()
	if c.cutSent != 1 || c.otherSent != 1 {
		t.Error("requests are counted while nobody reaches a target")
	}
}
