package forward

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/drain"
	"gorseline/core/retry"
)

// leaving is the state of a forwarder whose instance leaves.
type leaving struct {
	// began is when the instance began to leave, deadline when it ends the requests that are
	// still in progress.
	began, deadline core.Instant
}

// StartDraining makes the forwarder close the connection of each caller after its answer, so
// that callers connect to another instance for their next request. left is the time until the
// requests in progress are ended. Further calls change nothing.
func (f *Forwarder) StartDraining(left time.Duration) {
	now := f.Clock.Now()
	f.leaving.CompareAndSwap(nil, &leaving{began: now, deadline: now.Add(left)})
}

// EndRequests ends all requests in progress and returns their number. Those whose answer hasn't
// begun are answered with an error, the others are cut.
func (f *Forwarder) EndRequests() int64 {
	n := f.Active()
	f.endRequests()
	return n
}

// endReason returns the reason of the end of a request: Stopped if EndRequests caused it.
func (r *activeRequest) endReason(reason core.Reason) core.Reason {
	if r.stopped.Err() != nil && (reason == ReasonNoAnswer || reason == ReasonAnswerBroken) {
		return ReasonStopped
	}
	return reason
}

// retryAfter returns the retry delay of a request that failed and has not run.
func (r *activeRequest) retryAfter() time.Duration {
	if r.stopped.Err() != nil {
		return drain.RetryAfter
	}
	return r.remaining() / 4
}

// allowArrival reports whether a request that has been read can be finished before the instance
// leaves. Otherwise it refuses the request.
func (r *activeRequest) allowArrival() bool {
	l := r.leaving.Load()
	if l == nil {
		return true
	}
	fit := r.fit(l, &core.Attempt{})
	r.logFit("ArrivedWhileLeaving", l, fit)
	if !fit.Fits() {
		r.refuse(ReasonLeaving, drain.RetryAfter)
	}
	return fit.Fits()
}

// allowSend reports whether an attempt can be finished before the instance leaves. A stream that
// the caller already receives goes on in any case.
func (r *activeRequest) allowSend(a *core.Attempt) bool {
	if a.ResumeAfter != "" || r.fits(a) {
		return true
	}
	r.notSent = true
	l := r.leaving.Load()
	r.logFit("NotSentWhileLeaving", l, r.fit(l, a))
	return false
}

// fits reports whether the request would end before the instance leaves if this attempt were
// sent now.
func (r *activeRequest) fits(a *core.Attempt) bool {
	l := r.leaving.Load()
	return l == nil || r.fit(l, a).Fits()
}

// logFit logs a comparison and what it is based on.
func (r *activeRequest) logFit(event string, l *leaving, fit drain.Fit) {
	entry := r.Log.WithFields(log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Fits": fit.Fits(), "Learned": fit.Learned,
		"NeedMs": fit.Need.Milliseconds(), "LeftMs": fit.Left.Milliseconds(), "SinceMs": r.arrived.Sub(l.began).Milliseconds(),
		"BodyMs": r.accepted.Sub(r.arrived).Milliseconds(), "Runs": r.possibleRuns,
	})
	if fit.Fits() {
		entry.Info(event)
		return
	}
	entry.Warn(event)
}

// fit compares the time that the request needs, if this attempt is sent now, with the time that
// is left.
func (r *activeRequest) fit(l *leaving, a *core.Attempt) drain.Fit {
	w := drain.Work{Service: r.service, Route: r.route.Name, Kind: r.route.Kind, IsRepeatable: r.route.Repeatable()}
	if r.req.Prompt != nil {
		w.MaxTokens = r.req.Prompt.MaxOutput
	}
	if r.route.Kind == core.RouteStream {
		w.Pause = retry.NewSilence(r.route.PauseObjective).MoveAlive
	}
	if !a.Source.IsZero() {
		w.Computed = r.prefillTime
	}
	return r.durations.Fit(&w, l.deadline.Sub(r.Clock.Now()), r.remaining())
}

// learnDuration records the duration of a request that has ended. A request that had no answer
// at its deadline took at least this long.
func (r *activeRequest) learnDuration(outcome core.OutcomeKind, status int) {
	isAnswered := outcome == core.OutcomeDone && status < http.StatusInternalServerError
	if r.sends == 0 || !isAnswered && r.remaining() > 0 {
		return
	}
	if r.route.Kind != core.RouteStream {
		r.durations.ObserveRequest(r.route.Name, r.Clock.Now().Sub(r.accepted))
	}
	if r.events > 0 {
		first := r.timeToFirstByte - r.accepted.Sub(r.arrived)
		r.durations.ObserveStream(r.service, r.events, first, r.lastEventTime-r.timeToFirstByte)
	}
}
