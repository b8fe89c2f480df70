package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/prompt"
	"gorseline/core/roster"
	"gorseline/io/target"
)

// maxEvent bounds one event of a stream, in bytes. Each stream may need a buffer of that size.
const maxEvent = 256 << 10

var errEventTooLong = errors.New("event of a stream is too long")

// relayStream relays events as they arrive, and resumes a resumable stream on another
// engine when it breaks, or when its engine is silent and another one can go on. It returns false if
// nothing was relayed and the request may run again.
func (r *activeRequest) relayStream(e *roster.Entry, answer *target.Answer) (done bool) {
	s := &streamRelay{activeRequest: r}
	if r.isContinuation() {
		s.orderID = r.req.ResumeAfter
	}
	for {
		s.watchSilence(e, answer)
		s.answerEvents = 0
		err := s.relayEvents(answer)
		if err == nil {
			s.markHeard(r.Clock.Now())
			r.completeAnswer()
			r.recordComplete(e, answer)
			answer.Finish()
			r.recordEnd(core.OutcomeDone, ReasonAnswered, answer.Status)
			return true
		}
		_ = answer.Close() // reading or writing has failed already
		if r.in.Context().Err() != nil || s.callerDisconnected {
			r.Quarantine.RecordStopped(r.runAt(e))
			s.endAsk()
			r.recordEnd(core.OutcomeUnknown, ReasonCallerLeft, 0)
			r.cutAnswer()
		}
		if r.isOutOfTime() {
			// The deadline of the request has passed, so the failed read isn't recorded as a
			// missing answer of the engine.
			r.Quarantine.RecordStopped(r.runAt(e))
			s.endAsk()
			reason := ReasonTimeout
			if r.remaining() > 0 {
				reason = ReasonAnswerBroken
			}
			s.abort(answer.Status, reason)
			return true
		}
		r.exclude = append(r.exclude, e.ID)
		if !target.IsDeadline(err) {
			r.recordNoAnswer(e)
		}
		r.recordBroken(e, err)
		r.lastAttempt.ResumeAfter = s.lastID
		r.logAttempt(e, "StreamBroken", answer.Status, err)
		if s.silence.ask == nil && !s.started && r.mayRunAgain() {
			return false
		}
		next, ok := s.continueElsewhere()
		if !ok && r.in.Context().Err() != nil {
			r.recordEnd(core.OutcomeUnknown, ReasonCallerLeft, 0)
			r.cutAnswer()
		}
		if !ok {
			if !s.started && r.mayRunAgain() {
				return false
			}
			s.abort(answer.Status, ReasonAnswerBroken)
			return true
		}
		defer next.finish()
		e, answer = next.engine, next.answer
	}
}

// streamRelay is the state of a relayed stream.
type streamRelay struct {
	*activeRequest
	started            bool
	callerDisconnected bool
	// lastID is the ID of the last relayed event that had one.
	lastID string
	// orderID is the ID that the next event must follow: lastID, or that of the caller's last event.
	orderID string
	// answerEvents counts the events of the present engine.
	answerEvents int
	// buffer holds the event that is being read or written.
	buffer  []byte
	silence silence
}

// relayEvents relays events until the stream ends. It returns nil if the stream ends between two
// events. A stream that ends with its connection must have one: a target that ends after the header
// has lost the request.
func (s *streamRelay) relayEvents(answer *target.Answer) error {
	reader := bufio.NewReaderSize(answer.Body, streamBufferSize)
	for {
		if err := answer.SetReadDeadline(time.Now().Add(min(s.remaining(), s.silence.limits.Notice))); err != nil {
			return err
		}
		id, err := s.readEvent(reader)
		if err != nil {
			switch {
			case !errors.Is(err, io.EOF):
				return err
			case len(s.buffer) > 0, isUnstated(answer) && s.answerEvents == 0:
				return io.ErrUnexpectedEOF
			}
			return s.endStream(answer)
		}
		if !follows(s.orderID, id) {
			return s.breakOrder(answer, id)
		}
		now := s.Clock.Now()
		s.markHeard(now)
		s.recordBegun(now)
		if !s.started {
			s.startAnswer(answer)
		}
		if _, err := s.w.Write(s.buffer); err != nil {
			s.callerDisconnected = true
			return err
		}
		if id != "" {
			s.lastID, s.orderID = id, id
		}
		s.events, s.lastEventTime = s.events+1, now.Sub(s.arrived)
		s.answerEvents++
		if hasEvent(reader) {
			continue
		}
		if err := s.flush(answer); err != nil {
			return err
		}
	}
}

// endStream ends a stream that has ended between two events. An engine that is asked to go on after the
// last event of a whole stream states the end of an empty one.
func (s *streamRelay) endStream(answer *target.Answer) error {
	if err := s.confirmEnd(s.silence.engine, answer); err != nil {
		return err
	}
	if s.events > 0 && s.answerEvents == 0 {
		s.Log.WithFields(log.Fields{
			"Request": s.req.ID, "Target": s.silence.engine.ID, "Service": s.service, "After": s.lastID,
		}).Warn("ContinuationEmpty")
	}
	return s.flush(answer)
}

// breakOrder returns the error of an event that doesn't follow the last one. Those before it are sent.
func (s *streamRelay) breakOrder(answer *target.Answer, id string) error {
	if s.answerEvents > 0 {
		if err := s.flush(answer); err != nil {
			return err
		}
	}
	return errors.Errorf("event %.20q doesn't follow %.20q", id, s.orderID)
}

// follows reports whether an event may come after another one: the IDs of a stream's events rise. Those
// that are no decimal numbers aren't compared.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseUint(last, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	return errBefore != nil || err != nil || number > before
}

// hasEvent reports whether a complete event is buffered, which can be read without waiting. Its end
// is an empty line.
func hasEvent(reader *bufio.Reader) bool {
	buffered, _ := reader.Peek(reader.Buffered()) // never fails for buffered bytes
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// streamBufferSize is the size of the read buffer of a stream in bytes.
const streamBufferSize = 2 << 10

// flush sends the relayed events to the caller.
func (s *streamRelay) flush(answer *target.Answer) error {
	if !s.started {
		s.startAnswer(answer)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.callerDisconnected = true
		return err
	}
	return nil
}

// startAnswer writes the header of the answer.
func (s *streamRelay) startAnswer(answer *target.Answer) {
	s.started = true
	s.recordStart(s.silence.engine)
	s.timeToFirstByte = s.Clock.Now().Sub(s.arrived)
	s.writeHeader(answer)
}

// readEvent reads one event, with the empty line that ends it, into s.buffer and returns
// its ID. After an error s.buffer holds the part of the event that was read.
func (s *streamRelay) readEvent(reader *bufio.Reader) (id string, err error) {
	s.buffer = s.buffer[:0]
	for {
		start := len(s.buffer)
		for {
			part, err := reader.ReadSlice('\n')
			s.buffer = append(s.buffer, part...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return "", err
			}
			if len(s.buffer) > maxEvent {
				return "", errEventTooLong
			}
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		if len(line) == 0 {
			return id, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(s.buffer) > maxEvent {
			return "", errEventTooLong
		}
	}
}

// chooseContinuation chooses the engine that resumes the stream and computes the prompt again.
// onlyFree excludes engines that seem full: while the present engine may still go on, a refusal
// would only exclude them from later tries.
func (r *activeRequest) chooseContinuation(onlyFree bool) (*roster.Entry, prompt.Chain, bool) {
	req := &assign.Request{
		Service: r.service, Engine: r.engineLimits(), Prompt: r.req.Prompt, Chain: prompt.NewChain(r.req.Prompt),
		// The objective applies to the first event, which has been relayed.
		Objective: r.remaining(), Remaining: r.remaining(), Exclude: r.exclude,
		Version: r.version, OnlyFree: onlyFree,
	}
	// There is no exported KV cache to import. The source limits the choice to engines of
	// this instance's cell and prefers those of its data centre.
	source := &roster.Entry{Registration: core.Registration{Target: core.Target{DataCentre: r.Assigner.Home()}}}
	e, found := r.Assigner.AssignGenerator(r.Clock.Now(), r.Roster.View(), req, source)
	return e, req.Chain, found
}

// abort ends a stream that can't be completed. If its header has been sent it cuts the answer.
func (s *streamRelay) abort(status int, reason core.Reason) {
	if !s.started {
		s.fail(reason)
		return
	}
	s.recordEnd(core.OutcomeCut, reason, status)
	s.cutAnswer()
}
