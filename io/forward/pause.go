package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/roster"
)

// ReasonTargetsPaused is the reason of a refusal because all targets ask to be sent nothing.
const ReasonTargetsPaused core.Reason = "TargetsPaused"

// pauseSpread is the largest time by which callers are told to come back later than the end of a pause,
// so that they don't come together.
const pauseSpread = 400 * time.Millisecond

// observePause records that a target that refuses the request asks to be sent nothing for a while.
func (r *activeRequest) observePause(e *roster.Entry, status int, header http.Header) {
	length, isAsked, err := r.Dialect.AskedPause(status, header)
	if err != nil {
		r.Log.WithFields(log.Fields{"Target": e.ID, "Service": r.service, "Request": r.req.ID, "Error": err.Error()}).Warn("PauseMalformed")
		return
	}
	if isAsked && r.Pauses.Record(r.Clock.Now(), &e.Registration, length) {
		r.Log.WithFields(log.Fields{
			"Target": e.ID, "Service": r.service, "Request": r.req.ID, "PauseMs": length.Milliseconds(),
		}).Warn("TargetPaused")
	}
}

// allowTarget reports whether a target may be sent a request now. It may have asked for a pause since
// it was chosen.
func (r *activeRequest) allowTarget(e *roster.Entry) bool {
	if r.Pauses.Left(r.Clock.Now(), &e.Registration) == 0 {
		return true
	}
	r.Observer.ObserveSend(r.service, "Paused")
	return false
}

// pauseRefusal replaces the reason and the retry delay of a refusal if all targets of a role have asked
// for pauses: the delay is then the time until one may be used, spread over the callers.
func (r *activeRequest) pauseRefusal(reason core.Reason, after time.Duration) (core.Reason, time.Duration) {
	if reason != core.ReasonNoTarget && reason != core.ReasonConcurrency && reason != core.ReasonNoSlot {
		return reason, after
	}
	ready := r.Roster.View().Ready(r.service)
	longest := time.Duration(0)
	for _, accepts := range []func(core.Role) bool{
		func(role core.Role) bool { return role == core.RoleNone || role.AcceptsDecode() }, core.Role.AcceptsPrefill,
	} {
		longest = max(longest, r.leastPause(ready, accepts))
	}
	if longest == 0 {
		return reason, after
	}
	return ReasonTargetsPaused, longest + rand.N(pauseSpread)
}

// leastPause returns the time until the first target of a role may be used, or 0 if one may be now or
// there is none.
func (r *activeRequest) leastPause(ready []*roster.Entry, accepts func(core.Role) bool) time.Duration {
	now, least := r.Clock.Now(), time.Duration(0)
	for _, e := range ready {
		if !accepts(e.Role) {
			continue
		}
		left := r.Pauses.Left(now, &e.Registration)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
