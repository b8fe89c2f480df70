package stream

import (
	"context"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

const (
	// maxResumes bounds the resumes of one stream in a row that bring no piece.
	maxResumes = 3
	// backoffBase and backoffMax bound the pause before a try that follows a
	// failed one, so that a broken engine is not called in a tight loop.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// session is one stream being served.
type session struct {
	relay  *Relay
	call   *Call
	ctx    context.Context
	watch  watch
	start  core.Instant
	result Result

	delivered Position
	match     matcher
	progress  bool // the current try brought a piece
	sent      bool // a target may have run the request
	lost      bool // the engine does not know the stream any more
	exhausted bool // no further target is left
	excluded  []core.TargetID
	// importFrom is the address that the current target imports KV cache from.
	importFrom string
	cause      error // of the latest failed try
	tries      int   // targets tried
	idle       int   // tries in a row that brought no piece

	pending       []byte // text not yet written, at most MergeBytes and one piece
	pendingOffset int    // offset behind the pending text
	id            []byte
}

// Serve relays one answer to sink and returns when it has ended. ctx ends when
// the caller has gone.
func (r *Relay) Serve(ctx context.Context, call Call, sink Sink) Result {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s := &session{relay: r, call: &call, ctx: ctx, start: r.options.Clock.Now()}
	s.delivered = Position{Organisation: call.Request.Organisation, Digest: digestStart}
	s.watch.relay, s.watch.end, s.watch.sink = r, end, sink
	if call.Resume != nil {
		s.delivered = *call.Resume
		s.watch.begun.Store(call.Resume.Offset > 0)
		s.sent = true
	}
	defer s.expire().Stop()
	s.watch.start()
	err := s.run()
	s.finish(err)
	s.watch.stop()
	s.account()
	return s.result
}

// expire ends the stream at its deadline if it has no token by then.
func (s *session) expire() *time.Timer {
	return time.AfterFunc(s.remaining(), func() {
		if !s.watch.begun.Load() {
			s.watch.end(errDeadline)
		}
	})
}

// run makes tries until the answer is complete or no further try is allowed.
func (s *session) run() error {
	resume := s.call.Resume != nil
	if resume {
		s.match = newResume(&s.delivered)
	}
	for {
		err := s.prepare(resume)
		if err == nil {
			err = s.try(resume)
		}
		if err == nil {
			return nil
		}
		s.cause = err
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		if resume, err = s.next(err); err != nil {
			return err
		}
		if !resume {
			continue // another target needs no pause
		}
		if err := s.pause(); err != nil {
			return err
		}
	}
}

// next decides what follows a failed try: a resume, a rerun, or the error. A
// stream that can't be rerun is resumed until the deadline, because its engine may
// come back.
func (s *session) next(err error) (resume bool, final error) {
	switch {
	case errors.Is(err, errDiverged) || errors.Is(err, errCount):
		return false, err
	case errors.Is(err, errNoTarget):
		s.exhausted = true
	case errors.Is(err, core.ErrUnknownStream):
		s.lost = true // the engine answers, so it may run the request again
	default:
		s.exclude()
	}
	known := s.match.stream != "" && !s.lost
	limit := maxResumes
	if errors.Is(err, core.ErrIdleTimeout) {
		limit = 1 // the engine hangs if a new connection is silent too
	}
	switch {
	case known && s.idle < limit:
		return true, nil
	case s.mayRerun():
		return false, nil
	case known && s.remaining() > 0:
		return true, nil
	default:
		return false, err
	}
}

// exclude keeps reruns away from the target of the failed try.
func (s *session) exclude() {
	if !slices.Contains(s.excluded, s.delivered.Target) {
		s.excluded = append(s.excluded, s.delivered.Target)
	}
}

// mayRerun reports whether the request may be sent to another target.
func (s *session) mayRerun() bool {
	repeatable := s.call.Request.Kind.Repeatable || !s.sent
	possible := s.call.Completion.Model != "" && !s.exhausted && s.tries < s.relay.options.MaxAttempts
	return repeatable && possible && s.remaining() > 0
}

func (s *session) remaining() time.Duration {
	if s.call.Request.Deadline == 0 {
		return math.MaxInt64
	}
	return s.call.Request.Remaining(s.relay.options.Clock.Now())
}

// pause waits before the next try if the last one brought nothing.
func (s *session) pause() error {
	s.watch.phase.Store(phaseWait)
	if s.idle == 0 {
		return nil
	}
	limit := min(backoffMax, backoffBase<<min(s.idle, 8))
	timer := time.NewTimer(limit/2 + time.Duration(s.relay.options.Random()*float64(limit/2)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
}

var errNoTarget = errors.New("no target is left to serve the request")

// prepare chooses the stream to resume or the next target.
func (s *session) prepare(resume bool) error {
	if resume {
		s.result.Resumes++
		s.record("StreamResumed", s.delivered.Target, s.why())
		s.match.held, s.match.bytes = nil, 0
		return nil
	}
	candidate, ok := s.call.Targets(s.excluded)
	if !ok || slices.Contains(s.excluded, candidate.Target) {
		return errNoTarget
	}
	s.tries++
	s.lost = false
	if s.sent {
		s.result.Reruns++
		s.record("StreamRerun", candidate.Target, s.why())
	}
	attempt := core.AttemptID(string(s.call.Completion.Attempt) + "/" + strconv.Itoa(s.tries))
	s.count()
	s.match = newRerun(attempt, &s.delivered)
	s.delivered.Target, s.delivered.Address = candidate.Target, candidate.Address
	s.delivered.Attempt, s.delivered.Stream = attempt, ""
	s.importFrom = candidate.ImportFrom
	return nil
}

// open starts or resumes the engine's stream.
func (s *session) open(ctx context.Context, resume bool) (core.PieceReader, error) {
	if resume {
		return s.relay.options.Completer.Resume(ctx, s.delivered.Address, s.match.stream, s.match.next)
	}
	request := s.call.Completion
	request.ImportFrom, request.Attempt = s.importFrom, s.match.attempt
	pieces, err := s.relay.options.Completer.Complete(ctx, s.delivered.Address, request)
	s.sent = s.sent || !errors.Is(err, core.ErrNotRun)
	if named, ok := pieces.(core.NamedReader); ok && err == nil {
		s.match.stream = named.Stream()
	}
	return pieces, err
}

// try opens a connection and relays its pieces.
func (s *session) try(resume bool) error {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.progress = false
	s.watch.attempt(cancel)
	s.watch.phase.Store(phaseRead)
	pieces, err := s.open(ctx, resume)
	if err == nil {
		err = s.pump(ctx, pieces)
		_ = pieces.Close() // what was read counts
		if flushErr := s.flush(); err == nil {
			err = flushErr
		}
	}
	s.ended(resume, err)
	return err
}

// ended notes the end of a try.
func (s *session) ended(resume bool, err error) {
	if err == nil {
		s.delivered.Offset = s.match.next
	}
	if s.progress {
		s.idle = 0
	} else {
		s.idle++
	}
	if s.call.OnAttempt != nil {
		abandoned := err != nil && s.ctx.Err() != nil
		s.call.OnAttempt(Attempt{Target: s.delivered.Target, Resume: resume, Err: err, Abandoned: abandoned})
	}
}

// pump relays pieces until the terminal one.
func (s *session) pump(ctx context.Context, pieces core.PieceReader) error {
	ready, _ := pieces.(core.ReadyReader)
	for {
		s.watch.phase.Store(phaseRead)
		piece, err := pieces.Next(ctx)
		if errors.Is(err, io.EOF) {
			return errGap // the terminal piece would have ended the loop
		}
		if err != nil {
			return err
		}
		s.watch.reads.Add(1)
		done := false
		if !piece.Heartbeat {
			if done, err = s.accept(&piece); err != nil || done {
				return err
			}
		}
		if len(s.pending) == 0 {
			continue
		}
		more := ready != nil && ready.Ready() && s.watch.begun.Load()
		if !more || len(s.pending) >= s.relay.options.MergeBytes {
			if err := s.emit(!more); err != nil {
				return err
			}
		}
	}
}

// accept takes one piece and those that were held for it. It reports whether the
// answer is complete.
func (s *session) accept(piece *core.Piece) (done bool, err error) {
	ok, err := s.match.push(piece)
	if err != nil || !ok {
		return false, err
	}
	s.progress = true
	for p := *piece; ok; p, ok = s.match.take() {
		text, offset, err := s.match.advance(&p)
		if err != nil {
			return false, err
		}
		s.pending = append(s.pending, text...)
		s.pendingOffset = offset
		if p.Final {
			return true, nil
		}
	}
	return false, nil
}
