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
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// maximumEvent bounds one event of a stream, in bytes.
	maximumEvent = 1 << 20
	// silentPauses is the number of pause objectives after which a resumable stream that
	// stands still is continued elsewhere; callers leave at eight.
	silentPauses = 4
	// leastSilence is the least such time, above the pauses of a loaded engine.
	leastSilence = 700 * time.Millisecond
)

var errEventTooLong = errors.New("event of a stream is too long")

// relayStream passes events on as they arrive, and continues a resumable stream on
// another engine when it breaks. It returns false if nothing was passed on and the
// request may run again.
func (r *run) relayStream(e *roster.Entry, answer *target.Answer) (done bool) {
	s := &streamRelay{run: r}
	for {
		err := s.pump(answer)
		if err == nil {
			answer.Finish()
			r.ended(core.OutcomeDone, ReasonAnswered, answer.Status)
			return true
		}
		_ = answer.Close() // the stream is broken or nobody reads it
		if r.in.Context().Err() != nil || s.callerLeft {
			r.ended(core.OutcomeUnknown, ReasonCallerLeft, 0)
			panic(http.ErrAbortHandler)
		}
		if r.remaining() <= 0 {
			// The engine was slow, but not silent.
			s.cut(answer.Status, ReasonTimeout)
			return true
		}
		r.exclude = append(r.exclude, e.ID)
		r.judgeSilent(e)
		r.logAttempt(e, &core.Attempt{ResumeAfter: s.lastID}, "StreamBroken", answer.Status, err)
		if !s.started && r.mayRunAgain() {
			return false
		}
		next, finish, ok := s.resume()
		if !ok {
			s.cut(answer.Status, ReasonAnswerBroken)
			return true
		}
		defer finish()
		e, answer = next.entry, next.answer
	}
}

// streamRelay is the state of a stream that is passed on.
type streamRelay struct {
	*run
	started    bool
	callerLeft bool
	// lastID is the ID of the last event that was passed on.
	lastID string
	event  []byte
}

// pump passes events on until the stream ends. It returns nil at a complete end.
func (s *streamRelay) pump(answer *target.Answer) error {
	reader := bufio.NewReaderSize(answer.Body, readSize)
	for {
		if err := answer.SetReadDeadline(time.Now().Add(s.silence())); err != nil {
			return err
		}
		id, err := s.next(reader)
		if err != nil {
			if errors.Is(err, io.EOF) && len(s.event) == 0 {
				return s.flush(answer)
			}
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if !s.started {
			s.begin(answer)
		}
		if _, err := s.w.Write(s.event); err != nil {
			s.callerLeft = true
			return err
		}
		if id != "" {
			s.lastID = id
		}
		s.events, s.latest = s.events+1, s.Clock.Now().Sub(s.arrived)
		if reader.Buffered()+answer.Buffered() > 0 {
			continue
		}
		if err := s.flush(answer); err != nil {
			return err
		}
	}
}

// readSize is the buffer of a relayed stream in bytes.
const readSize = 2 << 10

func (s *streamRelay) flush(answer *target.Answer) error {
	if !s.started {
		s.begin(answer)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.callerLeft = true
		return err
	}
	return nil
}

func (s *streamRelay) begin(answer *target.Answer) {
	s.started = true
	s.first = s.Clock.Now().Sub(s.arrived)
	s.writeHead(answer)
}

// silence returns how long to wait for the next event.
func (s *streamRelay) silence() time.Duration {
	if !s.route.Resumable || s.runs >= s.route.Attempts {
		return s.remaining()
	}
	return min(s.remaining(), max(leastSilence, silentPauses*s.route.PauseObjective))
}

// next reads one event, with the empty line that ends it, into s.event and returns its
// ID. At an end of the stream s.event holds what there is of an event.
func (s *streamRelay) next(reader *bufio.Reader) (id string, err error) {
	s.event = s.event[:0]
	for {
		start := len(s.event)
		for {
			part, err := reader.ReadSlice('\n')
			s.event = append(s.event, part...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return "", err
			}
			if len(s.event) > maximumEvent {
				return "", errEventTooLong
			}
		}
		line := bytes.TrimRight(s.event[start:], "\r\n")
		if len(line) == 0 {
			return id, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(s.event) > maximumEvent {
			return "", errEventTooLong
		}
	}
}

// resumed is a stream that goes on at another engine.
type resumed struct {
	entry  *roster.Entry
	answer *target.Answer
}

// resume continues the stream after the last event passed on, on an engine that computes
// the prompt again. finish must be called when the stream is over.
func (s *streamRelay) resume() (next resumed, finish func(), ok bool) {
	if !s.route.Resumable || s.lastID == "" || s.runs >= s.route.Attempts || s.remaining() <= 0 {
		return resumed{}, nil, false
	}
	if s.engine() == nil || s.req.Prompt == nil || !s.Budgets.Take(s.service) {
		return resumed{}, nil, false
	}
	req := &assign.Request{
		Service: s.service, Engine: s.engine(), Prompt: s.req.Prompt, Chain: prompt.NewChain(s.req.Prompt),
		// The first events have arrived; what counts now is the pause.
		Objective: s.remaining(), Remaining: s.remaining(), Exclude: s.exclude,
	}
	source := &roster.Entry{Registration: core.Registration{Target: core.Target{DataCentre: s.Assigner.Home()}}}
	e, found := s.Assigner.AssignGenerator(s.Clock.Now(), s.Roster.View(), req, source)
	if !found {
		return resumed{}, nil, false
	}
	s.Log.WithFields(log.Fields{
		"Request": s.req.ID, "Target": e.ID, "After": s.lastID, "Run": s.runs + 1,
	}).Warn("StreamResumed")
	ref := s.start(e, load.Item{Kind: load.Generate, Chain: req.Chain})
	finish = func() { s.finish(ref) }
	answer, result := s.send(e, core.Attempt{ResumeAfter: s.lastID}, s.silence())
	if result != sendAnswered {
		finish()
		return resumed{}, nil, false
	}
	if !isEventStream(answer) {
		_ = answer.Close() // it isn't the rest of the stream
		finish()
		return resumed{}, nil, false
	}
	return resumed{e, answer}, finish, true
}

// cut ends a stream that can't be completed, so that the caller doesn't take it as whole.
func (s *streamRelay) cut(status int, reason core.Reason) {
	if !s.started {
		s.fail(reason)
		return
	}
	s.ended(core.OutcomeCut, reason, status)
	panic(http.ErrAbortHandler)
}
