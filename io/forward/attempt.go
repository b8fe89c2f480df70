package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/roster"
	gio "gorseline/io"
	"gorseline/io/target"
)

// sendResult says what became of one send.
type sendResult uint8

const (
	// sendAnswered has an answer of the target that ran the request.
	sendAnswered sendResult = iota
	// sendNotRun is certain not to have run.
	sendNotRun
	// sendUnknown may have run.
	sendUnknown
)

var sendResultNames = [...]string{"Answered", "NotRun", "Unknown"}

func (s sendResult) String() string { return sendResultNames[s] }

// send sends the request to a target once and waits up to limit for the answer's header.
func (r *run) send(e *roster.Entry, a core.Attempt, limit time.Duration) (*target.Answer, sendResult) {
	now := r.Clock.Now()
	r.Health.RecordSend(now, e.ID)
	a.Target = e.ID
	a.Remaining = r.remaining()
	limit = min(limit, a.Remaining)
	r.sends++
	r.last = e.ID
	answer, err := r.Pool.Do(r.ctx, &target.Request{
		Address: e.Address, Method: r.in.Method, URI: requestURI(r.in), Host: r.in.Host,
		Header: r.Dialect.Outbound(r.in.Header, &a), Body: r.body,
		Deadline: time.Now().Add(limit), MaxIdle: r.maxIdle(),
		Matches: func(h http.Header) bool { return r.Dialect.Matches(r.req.ID, h) },
	})
	if err != nil {
		return nil, r.failed(e, &a, now, err)
	}
	if err := answer.SetReadDeadline(time.Now().Add(r.remaining())); err != nil {
		_ = answer.Close() // it can't be read
		return nil, r.failed(e, &a, now, err)
	}
	return r.classify(e, &a, answer)
}

// idleShare is the part of a target's connections that all instances together may keep
// unused. The rest is for requests under way, which a target at its limit would reset.
const idleShare = 0.5

// maxIdle returns this instance's share of the unused connections to a target, or 0 if
// the target has no limit.
func (r *run) maxIdle() int {
	limit := r.table.Configuration().Services[r.service].MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(1, int(idleShare*float64(limit)/float64(r.Budgets.Instances())))
}

// classify separates answers of targets that ran the request from refusals.
func (r *run) classify(e *roster.Entry, a *core.Attempt, answer *target.Answer) (*target.Answer, sendResult) {
	kind := r.Dialect.Answered(answer.Status, answer.Header)
	if kind == gio.AnswerRan {
		r.Observer.Attempted(r.service, sendAnswered.String())
		if !a.PrefillOnly {
			r.runs++
		}
		return answer, sendAnswered
	}
	drain(answer)
	r.Health.RecordRefusal(r.Clock.Now(), e.ID)
	if kind == gio.AnswerMisdirected {
		r.Pool.DiscardIdle(e.Address)
	}
	r.logAttempt(e, a, kind.String(), answer.Status, nil)
	r.Observer.Attempted(r.service, kind.String())
	return nil, sendNotRun
}

// failed notes a send without an answer.
func (r *run) failed(e *roster.Entry, a *core.Attempt, began core.Instant, err error) sendResult {
	result := sendUnknown
	var failure *target.Error
	if errors.As(err, &failure) && !failure.Sent {
		result = sendNotRun
	}
	if result == sendUnknown && !a.PrefillOnly {
		r.runs++
	}
	if r.in.Context().Err() == nil {
		r.silent(e, err, r.Clock.Now().Sub(began))
		r.logAttempt(e, a, result.String(), 0, err)
		r.Observer.Attempted(r.service, result.String())
	}
	return result
}

// silent notes that a target did not answer, unless it had too little time for that.
func (r *run) silent(e *roster.Entry, err error, waited time.Duration) {
	r.Pool.DiscardIdle(e.Address)
	var failure *target.Error
	if errors.As(err, &failure) && failure.Timeout() && waited < r.route.Objective {
		return
	}
	r.judgeSilent(e)
}

// judge takes in an answer of a target, and whether it was a failure of the target itself.
func (r *run) judge(e *roster.Entry, failed bool) {
	if r.Health.RecordAnswer(r.Clock.Now(), e.ID, r.service, failed) {
		r.logAvoided(e, "Failures")
	}
}

// judgeSilent takes in that a target fell silent.
func (r *run) judgeSilent(e *roster.Entry) {
	if r.Health.RecordNoAnswer(r.Clock.Now(), e.ID) {
		r.logAvoided(e, "NoAnswer")
	}
}

func (r *run) logAvoided(e *roster.Entry, reason core.Reason) {
	r.Log.WithFields(log.Fields{"Target": e.ID, "Service": r.service, "Reason": reason}).Warn("TargetAvoided")
}

func (r *run) logAttempt(e *roster.Entry, a *core.Attempt, result string, status int, err error) {
	fields := log.Fields{
		"Request": r.req.ID, "Target": e.ID, "Address": e.Address, "Result": result, "Status": status,
		"Send": r.sends, "Prefill": a.PrefillOnly, "Source": a.Source.Address, "ResumeAfter": a.ResumeAfter,
		"LeftMs": a.Remaining.Milliseconds(),
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	r.Log.WithFields(fields).Warn("AttemptFailed")
}

// drainLimit bounds what is read of an answer that nobody needs, in bytes; reading it to
// its end keeps the connection.
const drainLimit = 16 << 10

func drain(answer *target.Answer) {
	n, err := io.CopyN(io.Discard, answer.Body, drainLimit)
	if errors.Is(err, io.EOF) && n < drainLimit {
		answer.Finish()
		return
	}
	_ = answer.Close() // the rest isn't needed
}

// requestURI returns the request target as the caller sent it, in origin form.
func requestURI(in *http.Request) string {
	if len(in.RequestURI) > 0 && in.RequestURI[0] == '/' || in.RequestURI == "*" {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}
