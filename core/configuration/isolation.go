package configuration

import (
	"sync/atomic"
	"time"

	"gorseline/core"
)

// IsolationLimit is how long an instance accepts new work without a contact with the store
// or a peer. It equals the time within which an accepted change must be in force
// everywhere.
const IsolationLimit = 9 * time.Second

// Readiness states whether an instance may accept new work and, if not, the reason.
type Readiness struct {
	Ready  bool
	Reason string
}

// IsolationDetector decides whether the revision in force is confirmed recently enough to
// accept new work. It is safe for concurrent use; Ready reads two atomic values.
type IsolationDetector struct {
	applier *Applier
	// confirmed is the time of the last contact at which no newer revision was known, plus
	// 1 ns; 0 means never.
	confirmed atomic.Int64
}

// NewIsolationDetector returns a detector for the revision in force on an applier.
func NewIsolationDetector(a *Applier) *IsolationDetector { return &IsolationDetector{applier: a} }

// RecordContact records a contact with the store or a peer at the given time, when known
// was the newest known revision. The contact is ignored if the revision in force is older
// than that.
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

// Ready reports whether the instance may accept new work at now.
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
