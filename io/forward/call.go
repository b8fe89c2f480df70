package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// maximumSends bounds the targets that are tried for one request when they refuse it.
	maximumSends = 4
	// patientShare is the part of the objective after which a repeatable call that got no
	// answer is tried elsewhere. It is above the time of nearly all calls.
	patientShare = 0.6
	// bufferedAnswer is the length up to which a body is read before it is relayed, so
	// that a broken one can be noticed first, in bytes.
	bufferedAnswer = 256 << 10
)

// serveCall forwards a request that carries no prompt.
func (r *run) serveCall() {
	for {
		d := r.chooseCall()
		r.logCall(d)
		if d.Target == nil {
			r.giveUp(d.Reason, d.RetryAfter)
			return
		}
		if r.callOnce(d) {
			return
		}
		if !r.tryAgain() {
			return
		}
	}
}

// chooseCall asks for a target that was not tried yet.
func (r *run) chooseCall() assign.CallDecision {
	return r.Assigner.AssignCall(r.Clock.Now(), r.Roster.View(), &assign.CallRequest{
		Service: r.service, Remaining: r.remaining(), Exclude: r.exclude,
	})
}

// callOnce sends the request to one target and relays its answer. It returns false if
// another target may be tried.
func (r *run) callOnce(d assign.CallDecision) (done bool) {
	e := d.Target
	r.exclude = append(r.exclude, e.ID)
	ref := r.start(e, load.Item{Kind: load.Call})
	defer r.finish(ref)
	answer, result := r.send(e, core.Attempt{}, r.callLimit())
	if result != sendAnswered {
		return false
	}
	failed := answer.Status >= http.StatusInternalServerError
	r.judge(e, failed)
	if next, ok := r.another(failed); ok {
		drain(answer)
		r.logAttempt(e, &core.Attempt{}, "Failed", answer.Status, nil)
		r.logCall(next)
		return r.callOnce(next)
	}
	if isEventStream(answer) {
		return r.relayStream(e, answer)
	}
	return r.relay(answer)
}

// another chooses a target for a request that the last one has failed: a repeatable one
// may succeed elsewhere. Without another target the caller gets the answer that there is.
func (r *run) another(failed bool) (assign.CallDecision, bool) {
	if !failed || !r.mayRunAgain() || r.remaining() <= r.route.Objective/4 {
		return assign.CallDecision{}, false
	}
	d := r.chooseCall()
	return d, d.Target != nil && r.Budgets.Take(r.service)
}

// callLimit returns how long to wait for the answer to one send.
func (r *run) callLimit() time.Duration {
	if r.route.Kind != core.RouteRepeatable || r.runs+1 >= r.route.Attempts {
		return r.remaining()
	}
	return max(time.Duration(patientShare*float64(r.route.Objective)), r.remaining()/4)
}

// tryAgain decides whether the request is sent once more. It answers the request if not.
func (r *run) tryAgain() bool {
	switch {
	case r.ctx.Err() != nil:
		r.fail(ReasonNoAnswer)
	case !r.mayRunAgain():
		r.fail(ReasonNoAnswer)
	case r.sends >= maximumSends:
		r.fail(ReasonTargetsRefused)
	case !r.Budgets.Take(r.service):
		r.fail(ReasonRetryBudget)
	default:
		return true
	}
	return false
}

// giveUp ends a request for which there is no target.
func (r *run) giveUp(reason core.Reason, after time.Duration) {
	if r.runs > 0 || r.in.Context().Err() != nil {
		r.fail(reason)
		return
	}
	r.refuse(reason, after)
}

// relay passes a whole answer on. It returns false if the answer broke off before any of
// it was passed on and the request may run again.
func (r *run) relay(answer *target.Answer) (done bool) {
	var body []byte
	isWhole := answer.Length >= 0 && answer.Length <= bufferedAnswer
	if isWhole {
		var err error
		if body, err = readAll(answer.Body, answer.Length); err != nil {
			_ = answer.Close() // it is broken
			r.Observer.Attempted(r.service, "Broken")
			if r.mayRunAgain() {
				return false
			}
			r.fail(ReasonAnswerBroken)
			return true
		}
		answer.Finish()
	}
	r.first = r.Clock.Now().Sub(r.arrived)
	r.writeHead(answer)
	if isWhole {
		// A caller that left can't be told.
		_, _ = r.w.Write(body)
		r.ended(core.OutcomeDone, ReasonAnswered, answer.Status)
		return true
	}
	r.copyBody(answer)
	return true
}

// copyBody relays a long body, or one of unknown length, as it arrives.
func (r *run) copyBody(answer *target.Answer) {
	_, err := io.Copy(flushed{r.w}, answer.Body)
	if err != nil {
		_ = answer.Close() // it is broken, or the caller left
		r.ended(core.OutcomeCut, ReasonAnswerBroken, answer.Status)
		panic(http.ErrAbortHandler)
	}
	answer.Finish()
	r.ended(core.OutcomeDone, ReasonAnswered, answer.Status)
}

// flushed passes on each write at once.
type flushed struct{ http.ResponseWriter }

// Write writes and flushes b.
func (f flushed) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

// writeHead passes on status and header.
func (r *run) writeHead(answer *target.Answer) {
	header := r.w.Header()
	for name, values := range r.Dialect.Relayed(answer.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the server from guessing one
	}
	r.w.WriteHeader(answer.Status)
}

func isEventStream(answer *target.Answer) bool {
	return answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

func (r *run) logCall(d assign.CallDecision) {
	fields := log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": d.Reason,
		"Running": d.Running, "Candidates": d.Candidates, "Roster": r.Roster.View().Version,
		"LeftMs": r.remaining().Milliseconds(),
	}
	if d.Target == nil {
		fields["RetryAfterMs"] = d.RetryAfter.Milliseconds()
		r.Log.WithFields(fields).Warn("RequestRefused")
		return
	}
	fields["Target"] = d.Target.ID
	r.Log.WithFields(fields).Info("RequestAssigned")
}

// release frees an exported KV cache that nobody imports. It doesn't wait for the answer.
func (r *run) release(e *roster.Entry, handle string) {
	method, uri := r.Dialect.Release(handle)
	// The request may be over, or its caller gone, before the call ends.
	ctx := context.WithoutCancel(r.in.Context())
	r.releases.Go(func() {
		answer, err := r.Pool.Do(ctx, &target.Request{
			Address: e.Address, Method: method, URI: uri, Host: e.Address,
			Header: http.Header{}, Deadline: time.Now().Add(releaseTimeout), MaxIdle: r.maxIdle(),
		})
		if err != nil {
			r.Log.WithFields(log.Fields{"Target": e.ID, "Handle": handle, "Error": err.Error()}).Warn("ReleaseFailed")
			return
		}
		drain(answer)
	})
}

// releaseTimeout bounds a call that frees an export. The export expires by itself.
const releaseTimeout = time.Second

// readHandle reads the answer to a prefill.
func (r *run) readHandle(answer *target.Answer) (string, error) {
	body, err := readAll(io.LimitReader(answer.Body, drainLimit), answer.Length)
	if err != nil {
		_ = answer.Close() // it is broken
		return "", errors.Wrap(err, "read prefill answer")
	}
	answer.Finish()
	if answer.Status != http.StatusOK {
		return "", errors.Errorf("prefill answered status %d: %.100s", answer.Status, bytes.TrimSpace(body))
	}
	return r.Dialect.Handle(body)
}
