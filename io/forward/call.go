package forward

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/drain"
	"gorseline/core/load"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// maxSends is the number of sends after which a request that got no answer is not
	// retried.
	maxSends = 4
	// callTimeoutShare is the fraction of the objective after which a repeatable call
	// without an answer is retried on another target. Nearly all calls take less.
	callTimeoutShare = 0.6
	// maxBufferedAnswer is the length in bytes up to which an answer is read whole before
	// it is relayed, so that a broken one can still be retried.
	maxBufferedAnswer = 256 << 10
)

// serveCall forwards a request that needs no prompt computation.
func (r *activeRequest) serveCall() {
	for {
		d := r.chooseCall()
		if d.Target == nil && r.includeAgain() {
			d = r.chooseCall()
		}
		r.logCall(d)
		if d.Target == nil {
			r.failWithoutTarget(r.limitRefusal(d.Reason, d.RetryAfter))
			return
		}
		if r.attemptCall(d) {
			return
		}
		if !r.allowRetry(r.retryCause()) {
			return
		}
	}
}

// chooseCall chooses a target that has not been tried.
func (r *activeRequest) chooseCall() assign.CallDecision {
	return r.Assigner.AssignCall(r.Clock.Now(), r.Roster.View(), &assign.CallRequest{
		Service: r.service, Remaining: r.remaining(), Exclude: r.exclude, Version: r.version,
	})
}

// attemptCall sends the request to the chosen target and relays its answer. After a
// failure answer it tries further targets. It returns false if the request has not been
// answered and may be retried.
func (r *activeRequest) attemptCall(d assign.CallDecision) (done bool) {
	e := d.Target
	r.exclude = append(r.exclude, e.ID)
	ref := r.startWork(e, load.Item{Kind: load.Call})
	defer r.finishWork(ref)
	answer, result := r.send(e, core.Attempt{}, r.callTimeout())
	if result != sendAnswered {
		return false
	}
	failed := answer.Status >= http.StatusInternalServerError
	r.recordAnswer(e, failed)
	isStream := isEventStream(answer)
	if !isStream {
		r.recordBegun(r.sentAt)
	}
	if next, ok := r.nextTarget(failed); ok {
		r.Quarantine.RecordStopped(r.runAt(e))
		discardBody(answer)
		r.logAttempt(e, "Failed", answer.Status, nil)
		r.logCall(next)
		return r.attemptCall(next)
	}
	if isStream {
		return r.relayStream(e, answer)
	}
	return r.relayAnswer(e, answer)
}

// nextTarget chooses another target after a failure answer, if the request may run again
// and the retry budget allows it. Otherwise the failure answer is relayed.
func (r *activeRequest) nextTarget(failed bool) (assign.CallDecision, bool) {
	if !failed || !r.mayRunAgain() || !r.fits(&core.Attempt{}) || r.remaining() <= r.route.Objective/4 {
		return assign.CallDecision{}, false
	}
	d := r.chooseCall()
	return d, d.Target != nil && r.takeRetries(RetryFailed, retry.StageRun)
}

// callTimeout returns how long one send waits for the header of the answer.
func (r *activeRequest) callTimeout() time.Duration {
	if r.route.Kind != core.RouteRepeatable || r.possibleRuns+1 >= r.route.Attempts {
		return r.remaining()
	}
	return max(time.Duration(callTimeoutShare*float64(r.route.Objective)), r.remaining()/4)
}

// allowRetry reports whether the request may be sent again. If not, it answers the
// request with an error.
func (r *activeRequest) allowRetry(cause RetryCause) bool {
	switch {
	case r.notSent:
		r.failWithoutTarget(ReasonLeaving, drain.RetryAfter)
	case r.quarantined != "":
		r.failWithoutTarget(r.quarantined, quarantineRetryAfter)
	case r.connectFailures > 0 && r.Paths.IsCut(r.service) && r.takeDetour():
	case r.ctx.Err() != nil:
		r.fail(ReasonNoAnswer)
	case !r.mayRunAgain():
		r.fail(ReasonNoAnswer)
	case r.sends >= maxSends:
		r.fail(ReasonTargetsRefused)
	case !r.takeRetries(cause, retry.StageRun):
		r.fail(ReasonRetryBudget)
	default:
		return true
	}
	return false
}

// failWithoutTarget answers a request for which there is no target. It is a refusal that
// suggests a retry after the given time, unless the request may have run.
func (r *activeRequest) failWithoutTarget(reason core.Reason, after time.Duration) {
	if reason == core.ReasonNoTarget && r.noTargetReached() && r.takeDetour() {
		return
	}
	if r.possibleRuns > 0 || r.in.Context().Err() != nil {
		r.fail(reason)
		return
	}
	r.refuse(reason, after)
}

// relayAnswer relays an answer that is not an event stream. e is its target, or nil if another
// instance relays it. It returns false if reading
// the answer failed before any of it was relayed and the request may run again.
func (r *activeRequest) relayAnswer(e *roster.Entry, answer *target.Answer) (done bool) {
	var body []byte
	isBuffered := answer.Length >= 0 && answer.Length <= maxBufferedAnswer
	if isBuffered {
		var err error
		if body, err = readAll(answer.Body, answer.Length); err != nil {
			_ = answer.Close() // the read error is handled here
			r.recordBroken(e, err)
			r.Observer.ObserveSend(r.service, "Broken")
			if r.mayRunAgain() {
				return false
			}
			r.fail(ReasonAnswerBroken)
			return true
		}
		r.recordComplete(e, answer)
		answer.Finish()
	}
	r.timeToFirstByte = r.Clock.Now().Sub(r.arrived)
	r.writeHeader(answer)
	if isBuffered {
		// The outcome is the same if the caller has disconnected.
		_, _ = r.w.Write(body)
		r.recordEnd(core.OutcomeDone, ReasonAnswered, answer.Status)
		return true
	}
	r.copyBody(e, answer)
	return true
}

// maxUnstatedBody bounds an answer that doesn't state its length, in bytes. A target in trouble may
// send bytes without end.
const maxUnstatedBody = 64 << 20

var errAnswerTooLong = errors.New("answer is too long")

// copyBody relays a long body, or one of unknown length, as it arrives. If that fails it cuts the answer.
func (r *activeRequest) copyBody(e *roster.Entry, answer *target.Answer) {
	source := &bodyReader{Reader: answer.Body}
	if err := r.copyWhole(e, answer, source); err != nil {
		_ = answer.Close() // reading or writing has failed already
		r.recordBroken(e, source.err)
		r.brokenBy = err
		r.recordEnd(core.OutcomeCut, ReasonAnswerBroken, answer.Status)
		r.cutAnswer()
	}
	r.completeAnswer()
	r.recordComplete(e, answer)
	answer.Finish()
	r.recordEnd(core.OutcomeDone, ReasonAnswered, answer.Status)
}

// copyWhole copies a body to the caller. It returns an error unless the body is known to be whole, and
// keeps the error in source if it is the target's.
func (r *activeRequest) copyWhole(e *roster.Entry, answer *target.Answer, source *bodyReader) error {
	body := io.Reader(source)
	if answer.Length < 0 {
		body = io.LimitReader(body, maxUnstatedBody)
	}
	n, err := io.Copy(flushWriter{r.w}, body)
	switch {
	case err != nil:
		return err
	case answer.Length < 0 && n == maxUnstatedBody:
		return errAnswerTooLong
	}
	if source.err = source.checkEnd(answer); source.err == nil {
		source.err = r.confirmEnd(e, answer)
	}
	return source.err
}

// flushWriter flushes after each write.
type flushWriter struct{ http.ResponseWriter }

// Write writes and flushes b.
func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

// writeHeader relays the status and the header.
func (r *activeRequest) writeHeader(answer *target.Answer) {
	header := r.w.Header()
	r.stateLeaving()
	r.framing = answer.Framing
	for name, values := range r.Dialect.RelayedHeader(answer.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents the server from detecting one
	}
	if r.hasOpenEnd(answer) {
		r.openEnd(header)
	}
	r.w.WriteHeader(answer.Status)
}

func isEventStream(answer *target.Answer) bool {
	mediaType, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	isKnown := err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)
	return isKnown && mediaType == "text/event-stream" && answer.Status >= 200 && answer.Status < 300
}

func (r *activeRequest) logCall(d assign.CallDecision) {
	fields := log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": d.Reason,
		"Running": d.Running, "Candidates": d.Candidates, "Roster": r.Roster.View().Version,
		"LeftMs": r.remaining().Milliseconds(),
	}
	r.addContinuation(fields)
	if d.Target == nil {
		fields["RetryAfterMs"] = d.RetryAfter.Milliseconds()
		r.Log.WithFields(fields).Warn("RequestRefused")
		return
	}
	fields["Target"], fields["Version"] = d.Target.ID, d.Target.Version
	r.Log.WithFields(fields).Info("RequestAssigned")
}

// releaseExport frees an exported KV cache that no engine will import. It does so in the
// background, unless the engine has asked for a pause.
func (r *activeRequest) releaseExport(e *roster.Entry, handle string) {
	if r.Pauses.Left(r.Clock.Now(), &e.Registration) > 0 {
		return // the export expires
	}
	method, uri := r.Dialect.ReleaseRequest(handle)
	r.Limits.Charge(r.Clock.Now(), &e.Registration)
	r.releases.Go(func() {
		// The call must not be cancelled when the request ends.
		answer, err := r.Pool.Do(r.released, &target.Request{
			Address: e.Address, Method: method, URI: uri, Host: e.Address,
			Header: http.Header{}, Deadline: time.Now().Add(releaseTimeout), MaxIdle: r.maxIdle(),
		})
		if err != nil {
			r.Log.WithFields(log.Fields{"Target": e.ID, "Handle": handle, "Error": err.Error()}).Warn("ReleaseFailed")
			return
		}
		discardBody(answer)
	})
}

// releaseTimeout bounds a call that frees an export. An export that is not freed expires.
const releaseTimeout = time.Second

// readCacheHandle returns the handle of the exported KV cache in the answer to a prefill.
func (r *activeRequest) readCacheHandle(answer *target.Answer) (string, error) {
	// The handle comes with the header.
	err := answer.SetReadDeadline(time.Now().Add(min(stallMargin, r.remaining())))
	var body []byte
	if err == nil {
		body, err = readAll(io.LimitReader(answer.Body, maxDiscard), answer.Length)
	}
	if err == nil && len(body) == maxDiscard {
		err = errAnswerTooLong
	}
	if err != nil {
		_ = answer.Close() // the error is returned
		return "", errors.Wrap(err, "read prefill answer")
	}
	answer.Finish()
	if answer.Status != http.StatusOK {
		return "", errors.Errorf("prefill answered status %d: %.100s", answer.Status, bytes.TrimSpace(body))
	}
	return r.Dialect.ExportHandle(body)
}
