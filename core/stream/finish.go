package stream

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// maxRetainedBuffer is the largest capacity, in bytes, of a buffer of pending text
// that is reused for the next event.
const maxRetainedBuffer = 256

// writePending writes the pending text as one event.
func (s *session) writePending(flush bool) error {
	d := &s.delivered
	tokens := s.pendingEnd - d.Offset
	d.Stream, d.Attempt = s.reassembler.stream, s.reassembler.attempt
	d.Offset = s.pendingEnd
	d.Bytes += len(s.pending)
	d.Digest = extendDigest(d.Digest, s.pending)
	s.tokenBuffer = s.relay.options.Signer.Append(s.tokenBuffer[:0], d)
	err := s.monitor.write(func(sink Sink) error {
		if err := sink.Write(s.pending, s.tokenBuffer, tokens); err != nil || !flush {
			return err
		}
		return sink.Flush()
	})
	if !s.monitor.tokenDelivered.Load() {
		s.monitor.tokenDelivered.Store(true)
		s.result.FirstToken = s.relay.options.Clock.Now().Sub(s.start)
	}
	s.pending = s.pending[:0]
	if cap(s.pending) > maxRetainedBuffer {
		s.pending = nil
	}
	if err != nil {
		return s.writeFailed(err)
	}
	return nil
}

// flushPending writes and flushes the text that is left when an attempt has ended.
func (s *session) flushPending() error {
	if len(s.pending) == 0 {
		return nil
	}
	return s.writePending(true)
}

// writeFailed cancels the stream after a failed write to the caller.
func (s *session) writeFailed(err error) error {
	s.monitor.cancelStream(err)
	return err
}

// finish sends the caller its last event and sets the result. err is nil if the
// answer is complete. It cancels the engine's stream if no one can resume it.
func (s *session) finish(err error) {
	s.result.Tokens = s.delivered.Offset
	s.result.Target = s.delivered.Target
	if err == nil {
		err = s.monitor.write(func(sink Sink) error { return sink.Finish(s.delivered.Offset) })
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
	case !s.mayHaveRun:
		s.result.Outcome = core.OutcomeNotRun
	}
	if reason != EndCallerLeft && reason != EndCallerStalled {
		s.fail(refusal, reason)
	}
	// A stalled caller may fetch the rest with its resume token.
	if reason != EndHandedOver && reason != EndCallerStalled {
		s.cancelEngine()
	}
}

// fail sends the caller a typed error. After a handover the error carries a resume
// token, unless a rerun has not yet repeated all delivered text.
func (s *session) fail(refusal *core.Refusal, reason core.Reason) {
	var id []byte
	if reason == EndHandedOver && s.reassembler.stream != "" && s.reassembler.verifiedBytes == s.reassembler.prefixBytes {
		s.delivered.Stream, s.delivered.Attempt = s.reassembler.stream, s.reassembler.attempt
		id = s.relay.options.Signer.Append(s.tokenBuffer[:0], &s.delivered)
	}
	// The outcome is the same if the caller has disconnected.
	_ = s.monitor.write(func(sink Sink) error { return sink.Fail(refusal, id) })
}

// refusal returns the error that is sent to the caller for err, and the reason why
// the stream ended.
func (s *session) refusal(err error) (*core.Refusal, core.Reason) {
	r := core.Refusal{NotRun: !s.mayHaveRun, Status: http.StatusBadGateway, RetryAfterMs: time.Second.Milliseconds()}
	switch {
	case errors.Is(err, errHandedOver):
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
	case errors.Is(err, errTokenCount):
		r.Kind, r.Message = "IncompleteAnswer", err.Error()
	case errors.Is(err, errNoTarget) || errors.Is(err, core.ErrNotRun):
		r.Kind, r.Message, r.Status = "NoTarget", err.Error(), http.StatusServiceUnavailable
	default:
		r.Kind, r.Message = "EngineFailed", err.Error()
	}
	return &r, EndFailed
}

// cancelEngine cancels the stream on the engine. If that fails, the engine ends the
// stream itself after its time limit for streams without a reader.
func (s *session) cancelEngine() {
	if s.reassembler.stream == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), s.relay.options.CancelTimeout)
	defer cancel()
	if err := s.relay.options.Completer.Cancel(ctx, s.delivered.Address, s.reassembler.stream); err != nil {
		s.record("StreamCancelFailed", s.delivered.Target, err.Error())
	}
}

// addPieceCounts adds the piece counts of the current attempt to the relay's counters
// and resets them.
func (s *session) addPieceCounts() {
	c, counts := &s.relay.counters, &s.reassembler.counts
	c.stale.Add(int64(counts.stale))
	c.duplicate.Add(int64(counts.duplicate))
	c.reordered.Add(int64(counts.reordered))
	*counts = pieceCounts{}
}

// updateCounters adds an ended stream to the relay's counters.
func (s *session) updateCounters() {
	s.addPieceCounts()
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

// attemptReason returns why the next attempt is made.
func (s *session) attemptReason() string {
	if s.lastErr == nil {
		return "the caller resumes"
	}
	return s.lastErr.Error()
}

// record adds an event to the timeline. The recorder sets its time.
func (s *session) record(kind core.EventKind, target core.TargetID, detail string) {
	if s.relay.options.Recorder == nil {
		return
	}
	s.relay.options.Recorder.Record(core.Event{
		Kind: kind, Request: s.call.Request.ID, Target: target, Reason: s.result.Reason, Detail: detail,
	})
}
