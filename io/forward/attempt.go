package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/retry"
	"gorseline/core/roster"
	gio "gorseline/io"
	"gorseline/io/target"
)

// sendResult is the result of one send of the request to a target.
type sendResult uint8

const (
	// sendAnswered means that the target ran the request and answered.
	sendAnswered sendResult = iota
	// sendNotRun means that the target has certainly not run the request.
	sendNotRun
	// sendUnknown means that the target may have run the request.
	sendUnknown
)

var sendResultNames = [...]string{"Answered", "NotRun", "Unknown"}

func (s sendResult) String() string { return sendResultNames[s] }

// send sends the request to a target once and waits up to limit for the header of the
// answer. The answer is nil unless the result is sendAnswered. Nothing is sent if the retry
// budget doesn't allow it or the instance leaves too soon, whatever the caller has decided.
func (r *activeRequest) send(e *roster.Entry, a core.Attempt, limit time.Duration) (answer *target.Answer, result sendResult) {
	defer func() { r.lastResult = result }()
	if !r.allowSend(&a) || !r.allowTraitsNow() || !r.allowTarget(e) || !r.takeLimit(e) || !r.takeRetries(r.retryCause(), stageOf(&a)) {
		return nil, sendNotRun
	}
	began := r.Clock.Now()
	r.sentAt = began
	r.Health.RecordSend(began, e.ID)
	a.Target, a.Access = e.ID, r.verdict.Access
	a.Remaining = r.remaining()
	limit = min(limit, a.Remaining)
	r.sends++
	r.lastTarget, r.lastVersion, r.lastAttempt, r.silentTarget = e.ID, e.Version, a, ""
	answer, err := r.Pool.Do(r.ctx, &target.Request{
		Address: e.Address, Method: r.in.Method, URI: requestURI(r.in), Host: r.in.Host,
		Header: r.Dialect.OutboundHeader(r.in.Header, &a), Body: r.body,
		Deadline: time.Now().Add(limit), MaxIdle: r.maxIdle(),
		Extend: r.extendWait(e, &a, began, limit),
		Name:   string(r.req.ID), NameIn: func(h http.Header) string { return string(r.Dialect.AnsweredRequest(h)) },
	})
	if err != nil {
		return nil, r.sendFailed(e, &a, began, err)
	}
	if answer.IsNewConnection {
		r.recordConnection(e, nil)
	}
	if !answer.IsProven {
		_ = answer.Close() // what else comes on it belongs to no known request
		return nil, r.sendFailed(e, &a, began, errUnnamedAnswer)
	}
	r.observeLimit(e, began, answer.Header)
	r.observeLeaving(e, answer.Header)
	r.observePause(e, answer.Status, answer.Header)
	if err := answer.SetReadDeadline(time.Now().Add(r.remaining())); err != nil {
		_ = answer.Close() // without a deadline reads could block
		return nil, r.sendFailed(e, &a, began, err)
	}
	return r.classify(e, &a, answer)
}

// errUnnamedAnswer reports an answer without an ID on a connection that had other requests. It may be that to an
// earlier one, or its repetition, so that the request may run.
var errUnnamedAnswer = errors.New("answer may belong to another request")

// extendWait returns the function that decides how much longer than limit to wait for a target. A
// target is waited for if it is an engine that completes prompts, or if the request can't be sent
// to another one.
func (r *activeRequest) extendWait(e *roster.Entry, a *core.Attempt, began core.Instant, limit time.Duration) func() (time.Time, bool) {
	patience := retry.Patience{Timeout: limit}
	silence := retry.NewSilence(0)
	return func() (time.Time, bool) {
		now := r.Clock.Now()
		if e.Role != core.RoleNone && r.remaining() > 0 {
			if until, ok := patience.Extend(now, r.Loads.LastComputed(e.ID)); ok {
				return time.Now().Add(min(until.Sub(now), r.remaining())), true
			}
		}
		waited := now.Sub(began)
		canMove := r.canSendElsewhere(e, a, !silence.ExceedsPause(waited, r.remaining()))
		wait, ok := silence.WaitForHeader(waited, r.remaining(), canMove, !a.PrefillOnly)
		if ok && r.silentTarget != e.ID && waited >= r.route.Objective {
			r.silentTarget = e.ID
			r.recordSilence(e)
		}
		return time.Now().Add(wait), ok
	}
}

// idleConnectionShare is the fraction of a target's connection limit that all instances
// together may keep idle. The rest is left for requests in progress, which a target at
// its limit would reset.
const idleConnectionShare = 0.5

// maxIdle returns how many idle connections to a target this instance may keep, or 0 if
// the service has no limit.
func (r *activeRequest) maxIdle() int {
	limit := r.table.Configuration().Services[r.service].MaxConnections
	if limit <= 0 {
		return 0
	}
	instances := r.Budgets.Instances()
	if instances == 0 {
		return 1
	}
	return max(1, int(idleConnectionShare*float64(limit)/float64(instances)))
}

// classify returns the answer of a target that ran the request. Other answers count as
// refusals and are discarded.
func (r *activeRequest) classify(e *roster.Entry, a *core.Attempt, answer *target.Answer) (*target.Answer, sendResult) {
	kind := r.Dialect.ClassifyAnswer(answer.Status, answer.Header)
	if kind == gio.AnswerRan {
		r.Observer.ObserveSend(r.service, sendAnswered.String())
		r.Quarantine.RecordAlive(&e.Registration, r.sentAt)
		if a.PrefillOnly && answer.Status != http.StatusOK {
			// The target may count a failed computation or not.
			r.recordSend(a, retry.SendUnknown)
			return answer, sendAnswered
		}
		r.recordSend(a, retry.SendAccepted)
		if !a.PrefillOnly {
			r.possibleRuns++
		}
		return answer, sendAnswered
	}
	discardBody(answer)
	r.recordSend(a, retry.SendRefused)
	r.Health.RecordRefusal(r.Clock.Now(), e.ID)
	if kind == gio.AnswerMisdirected {
		r.Pool.DiscardIdle(e.Address)
	}
	r.logAttempt(e, kind.String(), answer.Status, nil)
	r.Observer.ObserveSend(r.service, kind.String())
	return nil, sendNotRun
}

// sendFailed records a send without an answer. If the caller has disconnected, it
// only updates possibleRuns.
func (r *activeRequest) sendFailed(e *roster.Entry, a *core.Attempt, began core.Instant, err error) sendResult {
	result, recorded := sendUnknown, retry.SendUnknown
	if isConnectFailure(err) {
		result, recorded = sendNotRun, retry.SendNotSent
	}
	r.recordSend(a, recorded)
	if result == sendUnknown && !a.PrefillOnly {
		r.possibleRuns++
	}
	if r.in.Context().Err() == nil && !errors.Is(context.Cause(r.ctx), errSuperseded) {
		r.handleNoAnswer(e, err, r.Clock.Now().Sub(began))
		if result == sendNotRun {
			r.recordConnection(e, err)
		}
		if result == sendUnknown {
			r.recordBroken(e, err)
		}
		r.logAttempt(e, result.String(), 0, err)
		r.Observer.ObserveSend(r.service, result.String())
	}
	return result
}

// handleNoAnswer closes the idle connections to a target that did not answer, and records
// the missing answer unless the wait timed out before the objective of the route.
func (r *activeRequest) handleNoAnswer(e *roster.Entry, err error, waited time.Duration) {
	r.Pool.DiscardIdle(e.Address)
	var failure *target.Error
	if errors.As(err, &failure) && failure.Timeout() && (failure.Sent || waited < r.route.Objective) {
		if waited >= r.route.Objective && r.silentTarget != e.ID {
			r.recordSilence(e)
		}
		return
	}
	r.recordNoAnswer(e)
}

// includeAgain allows the excluded targets once more, such as one that was silent while all others
// refuse now. It returns false if that was done before or the request may not run again.
func (r *activeRequest) includeAgain() bool {
	if r.isIncludedAgain || len(r.exclude) == 0 || r.possibleRuns == 0 || !r.mayRunAgain() || r.ctx.Err() != nil {
		return false
	}
	r.isIncludedAgain, r.exclude = true, nil
	return true
}

// recordAnswer updates the target's health with an answer. failed reports whether the
// answer was a failure of the target itself.
func (r *activeRequest) recordAnswer(e *roster.Entry, failed bool) {
	if r.Health.RecordAnswer(r.Clock.Now(), e.ID, r.service, failed) {
		r.logAvoided(e, "Failures")
	}
}

// recordNoAnswer updates the target's health after a missing answer or a broken stream.
func (r *activeRequest) recordNoAnswer(e *roster.Entry) {
	if r.Health.RecordNoAnswer(r.Clock.Now(), e.ID) {
		r.logAvoided(e, "NoAnswer")
	}
}

func (r *activeRequest) logAvoided(e *roster.Entry, reason core.Reason) {
	r.Log.WithFields(log.Fields{"Target": e.ID, "Service": r.service, "Reason": reason}).Warn("TargetAvoided")
}

// logAttempt logs that the latest send failed. LeftMs is the time that the target was given.
func (r *activeRequest) logAttempt(e *roster.Entry, result string, status int, err error) {
	a := &r.lastAttempt
	fields := log.Fields{
		"Request": r.req.ID, "Target": e.ID, "Address": e.Address, "Result": result, "Status": status, "Service": r.service,
		"Send": r.sends, "Prefill": a.PrefillOnly, "Source": a.Source.Address, "ResumeAfter": a.ResumeAfter,
		"LeftMs": a.Remaining.Milliseconds(),
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	r.Log.WithFields(fields).Warn("AttemptFailed")
}

// maxDiscard bounds the bytes that are read of a prefill answer or a discarded answer.
// A connection can be reused only after its answer was read to the end.
const maxDiscard = 16 << 10

// discardTime bounds the time for which a discarded answer is read: a new connection costs less.
const discardTime = 20 * time.Millisecond

// discardBody reads the rest of an answer so that its connection can be reused. It closes
// the connection of a longer or slower one.
func discardBody(answer *target.Answer) {
	if err := answer.SetReadDeadline(time.Now().Add(discardTime)); err != nil {
		_ = answer.Close() // without a deadline the read could block
		return
	}
	n, err := io.CopyN(io.Discard, answer.Body, maxDiscard)
	if errors.Is(err, io.EOF) && n < maxDiscard {
		answer.Finish()
		return
	}
	_ = answer.Close() // too long or broken
}

// requestURI returns the request target as the caller sent it, in origin form.
func requestURI(in *http.Request) string {
	if len(in.RequestURI) > 0 && in.RequestURI[0] == '/' || in.RequestURI == "*" {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}
