package fleet

import (
	"time"

	"gorseline/core"
)

// InForce reports whether all running instances that keep selects have a
// revision in force; a nil keep selects all.
func (f *Fleet) InForce(revision core.Revision, keep func(*Instance) bool) bool {
	for _, i := range f.instances {
		if i.running && (keep == nil || keep(i)) && i.Applier.Revision() < revision {
			return false
		}
	}
	return true
}

// RunUntilInForce runs until a revision is in force on the running instances that
// keep selects.
func (f *Fleet) RunUntilInForce(limit time.Duration, revision core.Revision, keep func(*Instance) bool) (time.Duration, bool) {
	return f.RunUntil(limit, func() bool { return f.InForce(revision, keep) })
}

// Reverts returns how often the revision in force went backwards on any instance.
func (f *Fleet) Reverts() int {
	n := 0
	for _, i := range f.instances {
		n += i.reverts
	}
	return n
}

// Traffic returns what all instances sent. Each message counts once.
func (f *Fleet) Traffic() Traffic { return f.traffic }
