package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/roster"
	"gorseline/core/targetlimit"
)

// takeLimit reports whether the limit that a target states allows to send a request to it.
func (r *activeRequest) takeLimit(e *roster.Entry) bool {
	if r.Limits.Take(r.Clock.Now(), &e.Registration) {
		return true
	}
	// Requests that were assigned at the same time have used up the limit.
	r.Observer.ObserveSend(r.service, "Limited")
	return false
}

// observeLimit records what an answer states about the limit of its target, whatever the answer is.
func (r *activeRequest) observeLimit(e *roster.Entry, sentAt core.Instant, header http.Header) {
	rate, isStated, err := r.Dialect.StatedLimit(header)
	if err != nil {
		r.Log.WithFields(log.Fields{"Target": e.ID, "Request": r.req.ID, "Error": err.Error()}).Warn("TargetLimitMalformed")
		return
	}
	fact, ok := r.Limits.Observe(r.Clock.Now(), &e.Registration, targetlimit.Statement{Rate: rate, IsStated: isStated, SentAt: sentAt})
	if ok {
		r.LimitPublisher.PublishLimit(fact)
	}
}

// observeLeaving records that the target of an answer states that it leaves.
func (r *activeRequest) observeLeaving(e *roster.Entry, header http.Header) {
	if !r.Dialect.StatesLeaving(header) {
		return
	}
	r.statedLeaving = strconv.FormatInt(e.Started, 10) + " " + string(e.ID)
	r.Leavings.RecordLeaving(e.ID, e.Started)
}

// limitRefusal replaces the reason and the retry delay of a refusal if pauses or limits keep targets of
// the service from being used: the delay is then the time until one may be.
func (r *activeRequest) limitRefusal(reason core.Reason, after time.Duration) (core.Reason, time.Duration) {
	reason, after = r.pauseRefusal(reason, after)
	if reason != core.ReasonNoTarget && reason != core.ReasonConcurrency {
		return reason, after
	}
	now, isLimited, least := r.Clock.Now(), false, time.Duration(-1)
	for _, e := range r.Roster.View().Ready(r.service) {
		wait, limited, never := r.Limits.Wait(now, &e.Registration)
		isLimited = isLimited || limited
		if limited && !never && (least < 0 || wait < least) {
			least = wait
		}
	}
	switch {
	case !isLimited:
		return reason, after
	case least < 0:
		return ReasonTargetLimit, after // other instances use the targets
	}
	return ReasonTargetLimit, min(max(least, minLimitRetryAfter), max(after, r.remaining()/3))
}

// minLimitRetryAfter is the least retry delay of a request that the limits of targets keep back.
const minLimitRetryAfter = 20 * time.Millisecond
