package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// stallPauses is the time without an event, in multiples of the pause objective, after
	// which a resumable stream is resumed on another engine. Callers disconnect after eight
	// times the pause objective.
	stallPauses = 4
	// minStallTimeout is the lower bound of that time. Pauses of a loaded engine are
	// shorter.
	minStallTimeout = 700 * time.Millisecond
)

var errEventTooLong = errors.New("event of a stream is too long")

// relayStream relays events as they arrive, and resumes a resumable stream on another
// engine when it breaks. It returns false if nothing was relayed and the request may run
// again.
func (r *activeRequest) relayStream(e *roster.Entry, answer *target.Answer) (done bool) {
	s := &streamRelay{activeRequest: r}
	for {
		err := s.relayEvents(answer)
		if err == nil {
			answer.Finish()
			r.recordEnd(core.OutcomeDone, ReasonAnswered, answer.Status)
			return true
		}
		_ = answer.Close() // reading or writing has failed already
		if r.in.Context().Err() != nil || s.callerDisconnected {
			r.recordEnd(core.OutcomeUnknown, ReasonCallerLeft, 0)
			panic(http.ErrAbortHandler)
		}
		if r.remaining() <= 0 {
			// The deadline of the request has passed, so the failed read isn't recorded as a
			// missing answer of the engine.
			s.abort(answer.Status, ReasonTimeout)
			return true
		}
		r.exclude = append(r.exclude, e.ID)
		r.recordNoAnswer(e)
		r.lastAttempt.ResumeAfter = s.lastID
		r.logAttempt(e, "StreamBroken", answer.Status, err)
		if !s.started && r.mayRunAgain() {
			return false
		}
		next, finish, ok := s.resume()
		if !ok {
			s.abort(answer.Status, ReasonAnswerBroken)
			return true
		}
		defer finish()
		e, answer = next.entry, next.answer
	}
}

// streamRelay is the state of a relayed stream.
type streamRelay struct {
	*activeRequest
	started            bool
	callerDisconnected bool
	// lastID is the ID of the last relayed event that had one.
	lastID string
	// buffer holds the event that is being read or written.
	buffer []byte
}

// relayEvents relays events until the stream ends. It returns nil if the stream ends
// between two events.
func (s *streamRelay) relayEvents(answer *target.Answer) error {
	reader := bufio.NewReaderSize(answer.Body, streamBufferSize)
	for {
		if err := answer.SetReadDeadline(time.Now().Add(s.readTimeout())); err != nil {
			return err
		}
		id, err := s.readEvent(reader)
		if err != nil {
			if errors.Is(err, io.EOF) && len(s.buffer) == 0 {
				return s.flush(answer)
			}
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if !s.started {
			s.startAnswer(answer)
		}
		if _, err := s.w.Write(s.buffer); err != nil {
			s.callerDisconnected = true
			return err
		}
		if id != "" {
			s.lastID = id
		}
		s.events, s.lastEventTime = s.events+1, s.Clock.Now().Sub(s.arrived)
		if hasEvent(reader) {
			continue
		}
		if err := s.flush(answer); err != nil {
			return err
		}
	}
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
	s.timeToFirstByte = s.Clock.Now().Sub(s.arrived)
	s.writeHeader(answer)
}

// readTimeout returns how long to wait for the next event.
func (s *streamRelay) readTimeout() time.Duration {
	if !s.route.Resumable || s.possibleRuns >= s.route.Attempts {
		return s.remaining()
	}
	return min(s.remaining(), max(minStallTimeout, stallPauses*s.route.PauseObjective))
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

// resumedStream is a stream that continues on another engine.
type resumedStream struct {
	entry  *roster.Entry
	answer *target.Answer
}

// resume resumes the stream after the last relayed event, on an engine that computes the
// prompt again. finish must be called when the stream has ended.
func (s *streamRelay) resume() (next resumedStream, finish func(), ok bool) {
	if !s.route.Resumable || s.lastID == "" || s.possibleRuns >= s.route.Attempts || s.remaining() <= 0 {
		return resumedStream{}, nil, false
	}
	if s.engineLimits() == nil || s.req.Prompt == nil || !s.takeRetries(RetryStream, retry.StageRun) {
		return resumedStream{}, nil, false
	}
	req := &assign.Request{
		Service: s.service, Engine: s.engineLimits(), Prompt: s.req.Prompt, Chain: prompt.NewChain(s.req.Prompt),
		// The objective applies to the first event, which has been relayed.
		Objective: s.remaining(), Remaining: s.remaining(), Exclude: s.exclude,
	}
	// There is no exported KV cache to import. The source limits the choice to engines of
	// this instance's cell and prefers those of its data centre.
	source := &roster.Entry{Registration: core.Registration{Target: core.Target{DataCentre: s.Assigner.Home()}}}
	e, found := s.Assigner.AssignGenerator(s.Clock.Now(), s.Roster.View(), req, source)
	if !found {
		return resumedStream{}, nil, false
	}
	s.Log.WithFields(log.Fields{
		"Request": s.req.ID, "Target": e.ID, "After": s.lastID, "Run": s.possibleRuns + 1,
	}).Warn("StreamResumed")
	ref := s.startWork(e, load.Item{Kind: load.Generate, Chain: req.Chain})
	finish = func() { s.finishWork(ref) }
	answer, result := s.send(e, core.Attempt{ResumeAfter: s.lastID}, s.readTimeout())
	if result != sendAnswered {
		finish()
		return resumedStream{}, nil, false
	}
	if !isEventStream(answer) {
		_ = answer.Close() // not a continuation of the stream
		finish()
		return resumedStream{}, nil, false
	}
	return resumedStream{e, answer}, finish, true
}

// abort ends a stream that can't be completed. If its header has been sent it aborts the
// connection, so that the caller doesn't mistake the stream for a complete one.
func (s *streamRelay) abort(status int, reason core.Reason) {
	if !s.started {
		s.fail(reason)
		return
	}
	s.recordEnd(core.OutcomeCut, reason, status)
	panic(http.ErrAbortHandler)
}
