package forward

import (
	"time"

	"gorseline/core"
)

// UsageRecorder counts the requests of organisations that targets begin to run.
type UsageRecorder interface {
	// RecordBegun counts a request that began a time ago.
	RecordBegun(organisation core.Organisation, ago time.Duration)
}

// recordBegun counts the request once, as begun at a time. A generation begins with its first event. A call
// begins when it is sent: it waits for little else than a slot.
func (r *activeRequest) recordBegun(at core.Instant) {
	organisation := r.verdict.Access.Organisation
	if r.hasBegun || organisation == "" {
		return
	}
	r.hasBegun = true
	r.Usage.RecordBegun(organisation, r.Clock.Now().Sub(at))
}

// recordDoubtful counts a call that was sent and not answered: most of these have run, since a target that
// doesn't run a request says so.
func (r *activeRequest) recordDoubtful() {
	if r.lastResult == sendUnknown && r.route.Kind != core.RouteStream {
		r.recordBegun(r.sentAt)
	}
}
