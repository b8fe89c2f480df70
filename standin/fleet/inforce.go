package fleet

import (
	"time"

	"gorseline/core"
)

// InForce reports whether every running instance that matches the filter has applied
// the revision or a newer one. A nil filter matches all instances.
func (f *Fleet) InForce(revision core.Revision, filter func(*Instance) bool) bool {
	for _, i := range f.instances {
		if i.running && (filter == nil || filter(i)) && i.Applier.Revision() < revision {
			return false
		}
	}
	return true
}

// RunUntilInForce advances the virtual time until InForce holds, by at most limit. It
// returns the elapsed virtual time and whether InForce held.
func (f *Fleet) RunUntilInForce(limit time.Duration, revision core.Revision, filter func(*Instance) bool) (time.Duration, bool) {
	return f.RunUntil(limit, func() bool { return f.InForce(revision, filter) })
}

// Reverts returns how often an instance replaced its revision in force by an older one,
// summed over all instances.
func (f *Fleet) Reverts() int {
	n := 0
	for _, i := range f.instances {
		n += i.reverts
	}
	return n
}

// Traffic returns the traffic that all instances sent. Each message counts once.
func (f *Fleet) Traffic() Traffic { return f.traffic }
