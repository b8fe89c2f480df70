package stream

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// maxKept is the capacity that the buffer of pending text keeps, in bytes.
const maxKept = 256

// emit writes the pending text as one event.
func (s *session) emit(flush bool) error {
	d := &s.delivered
	tokens := s.pendingOffset - d.Offset
	d.Stream, d.Attempt = s.match.stream, s.match.attempt
	d.Offset = s.pendingOffset
	d.Bytes += len(s.pending)
	d.Digest = extend(d.Digest, s.pending)
	s.id = s.relay.options.Signer.Append(s.id[:0], d)
	err := s.watch.write(func(sink Sink) error {
		if err := sink.Write(s.pending, s.id, tokens); err != nil || !flush {
			return err
		}
		return sink.Flush()
	})
	if !s.watch.begun.Load() {
		s.watch.begun.Store(true)
		s.result.FirstToken = s.relay.options.Clock.Now().Sub(s.start)
	}
	s.pending = s.pending[:0]
	if cap(s.pending) > maxKept {
		s.pending = nil
	}
	if err != nil {
		return s.callerGone(err)
	}
	return nil
}

// flush writes the text of a try that has ended.
func (s *session) flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	return s.emit(true)
}

// callerGone ends the stream after a failed write.
func (s *session) callerGone(err error) error {
	s.watch.end(err)
	return err
}

// finish tells the caller how the answer ended and cancels the engine's stream
// if nobody will read it.
func (s *session) finish(err error) {
	s.result.Tokens = s.delivered.Offset
	s.result.Target = s.delivered.Target
	if err == nil {
		err = s.watch.write(func(sink Sink) error { return sink.Finish(s.delivered.Offset) })
		if err == nil {
			s.result.Outcome, s.result.Reason = core.OutcomeDone, EndComplete
			return
		}
		s.result.Outcome, s.result.Reason = core.OutcomeCut, EndCallerLeft
		return
	}
	refusal, reason := s.refusal(err)
	s.result.Outcome, s.result.Reason, s.result.Refusal = core.OutcomeCut, reason, refusal
	switch {
	case reason == EndHandedOver:
		s.result.Outcome = core.OutcomeInProgress
	case !s.sent:
		s.result.Outcome = core.OutcomeNotRun
	}
	if reason != EndCallerLeft && reason != EndCallerStalled {
		s.fail(refusal, reason)
	}
	// A stalled caller may come back for the rest with its resume token.
	if reason != EndHandedOver && reason != EndCallerStalled {
		s.cancelEngine()
	}
}

// fail sends the caller its final answer.
func (s *session) fail(refusal *core.Refusal, reason core.Reason) {
	var id []byte
	if reason == EndHandedOver && s.match.stream != "" && s.match.skipped == s.match.skip {
		s.delivered.Stream, s.delivered.Attempt = s.match.stream, s.match.attempt
		id = s.relay.options.Signer.Append(s.id[:0], &s.delivered)
	}
	// The caller may have gone meanwhile; the outcome is the same.
	_ = s.watch.write(func(sink Sink) error { return sink.Fail(refusal, id) })
}

// refusal says what a caller is told about err, and why the stream ended.
func (s *session) refusal(err error) (*core.Refusal, core.Reason) {
	r := core.Refusal{NotRun: !s.sent, Status: http.StatusBadGateway, RetryAfterMs: time.Second.Milliseconds()}
	switch {
	case errors.Is(err, errHandOver):
		r.Kind, r.Message, r.Status = "StreamMoved", "continue on another address", http.StatusServiceUnavailable
		r.RetryAfterMs = 1
		return &r, EndHandedOver
	case errors.Is(err, errStalled):
		r.Kind, r.Message = "CallerStalled", err.Error()
		return &r, EndCallerStalled
	case errors.Is(err, errDeadline):
		r.Kind, r.Message, r.Status = "DeadlinePassed", err.Error(), http.StatusGatewayTimeout
		return &r, EndDeadline
	case errors.Is(err, errDiverged):
		r.Kind, r.Message, r.RetryAfterMs = "RerunDiverged", err.Error(), 0
		return &r, EndDiverged
	case s.ctx.Err() != nil:
		r.Kind, r.Message = "CallerLeft", err.Error()
		return &r, EndCallerLeft
	case errors.Is(err, errCount):
		r.Kind, r.Message = "IncompleteAnswer", err.Error()
	case errors.Is(err, errNoTarget) || errors.Is(err, core.ErrNotRun):
		r.Kind, r.Message, r.Status = "NoTarget", err.Error(), http.StatusServiceUnavailable
	default:
		r.Kind, r.Message = "EngineFailed", err.Error()
	}
	return &r, EndFailed
}

// cancelEngine stops the engine's stream. A failure leaves it to the engine's own
// limit for streams without a reader.
func (s *session) cancelEngine() {
	if s.match.stream == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.relay.options.CancelTimeout)
	defer cancel()
	if err := s.relay.options.Completer.Cancel(ctx, s.delivered.Address, s.match.stream); err != nil {
		s.record("StreamCancelFailed", s.delivered.Target, err.Error())
	}
}

// count adds the dropped pieces of the current matcher to the relay's totals.
func (s *session) count() {
	c, d := &s.relay.counters, &s.match.drops
	c.late.Add(int64(d.late))
	c.doubled.Add(int64(d.doubled))
	c.reordered.Add(int64(d.reordered))
	*d = drops{}
}

// account adds an ended stream to the relay's totals.
func (s *session) account() {
	s.count()
	c := &s.relay.counters
	c.tokens.Add(int64(s.delivered.Offset))
	c.resumes.Add(int64(s.result.Resumes))
	c.reruns.Add(int64(s.result.Reruns))
	switch s.result.Reason {
	case EndComplete:
		c.complete.Add(1)
	case EndCallerLeft:
		c.callerLeft.Add(1)
	case EndCallerStalled:
		c.stalled.Add(1)
	case EndHandedOver:
		c.handedOver.Add(1)
	case EndDiverged:
		c.diverged.Add(1)
		c.failed.Add(1)
	default:
		c.failed.Add(1)
	}
	detail := ""
	if s.result.Refusal != nil {
		detail = s.result.Refusal.Message
	}
	s.record("StreamEnded", s.delivered.Target, detail)
}

// why says what led to the next try.
func (s *session) why() string {
	if s.cause == nil {
		return "the caller resumes"
	}
	return s.cause.Error()
}

// record adds an event to the timeline. The recorder stamps it.
func (s *session) record(kind core.EventKind, target core.TargetID, detail string) {
	if s.relay.options.Recorder == nil {
		return
	}
	s.relay.options.Recorder.Record(core.Event{
		Kind: kind, Request: s.call.Request.ID, Target: target, Reason: s.result.Reason, Detail: detail,
	})
}
