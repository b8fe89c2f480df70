package configuration

import (
	"sync/atomic"
	"time"

	"gorseline/core"
)

// IsolationLimit is how long an instance keeps taking new work without hearing
// from the store or a peer. It equals the time in which an accepted change must
// be in force everywhere.
const IsolationLimit = 9 * time.Second

// Readiness says whether an instance may take new work, and why not.
type Readiness struct {
	Ready  bool
	Reason string
}

// IsolationDetector decides whether the revision in force may be relied on. It is safe
// for concurrent use; Ready reads two atomic values.
type IsolationDetector struct {
	applier *Applier
	// confirmed is the last contact at which no newer revision was known, plus
	// one; 0 means never.
	confirmed atomic.Int64
}

// NewIsolationDetector returns the rule for an applier.
func NewIsolationDetector(a *Applier) *IsolationDetector { return &IsolationDetector{applier: a} }

// RecordContact notes a contact with the store or a peer at the given time, when the given
// revision was the newest known. A contact does not confirm an older revision.
func (i *IsolationDetector) RecordContact(at core.Instant, known core.Revision) {
	if known > i.applier.Revision() {
		return
	}
	for {
		last := i.confirmed.Load()
		if int64(at) < last || i.confirmed.CompareAndSwap(last, int64(at)+1) {
			return
		}
	}
}

// Ready reports whether new work may be taken at now.
func (i *IsolationDetector) Ready(now core.Instant) Readiness {
	if i.applier.Revision() == 0 {
		return Readiness{Reason: "no configuration yet: neither the store nor a peer has given one"}
	}
	last := i.confirmed.Load()
	if last == 0 || now.Sub(core.Instant(last-1)) > IsolationLimit {
		return Readiness{Reason: "the revision in force is not confirmed: no current word from the store or a peer for 9s"}
	}
	return Readiness{Ready: true}
}
