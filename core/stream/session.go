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
	// maxResumes is the number of consecutive attempts without a piece after which a
	// stream is rerun if possible.
	maxResumes = 3
	// backoffBase and backoffMax bound the delay before a resume, so that a broken
	// engine is not called in a tight loop.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// session is the state of one stream being served.
type session struct {
	relay   *Relay
	call    *Call
	ctx     context.Context
	monitor monitor
	start   core.Instant
	result  Result

	delivered     Position
	reassembler   reassembler
	gotPiece      bool // the current attempt has received a piece
	mayHaveRun    bool // a target may have run the request
	streamLost    bool // the engine no longer has the stream
	noTargetsLeft bool
	excluded      []core.TargetID
	// importFrom is the address of the engine from which the current target imports KV
	// cache.
	importFrom   string
	lastErr      error // of the latest failed attempt
	attempts     int   // targets that were chosen
	idleAttempts int   // consecutive attempts without a piece

	pending     []byte // text not yet written; one piece may exceed MergeBytes
	pendingEnd  int    // offset after the pending text
	tokenBuffer []byte // reused for resume tokens
}

// Serve relays one answer to sink and returns when it has ended. ctx must be cancelled
// when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, call Call, sink Sink) Result {
	ctx, cancelStream := context.WithCancelCause(ctx)
	defer cancelStream(nil)
	s := &session{relay: r, call: &call, ctx: ctx, start: r.options.Clock.Now()}
	s.delivered = Position{Organisation: call.Request.Organisation, Digest: fnvOffsetBasis}
	s.monitor.relay, s.monitor.cancelStream, s.monitor.sink = r, cancelStream, sink
	if call.Resume != nil {
		s.delivered = *call.Resume
		s.monitor.tokenDelivered.Store(call.Resume.Offset > 0)
		s.mayHaveRun = true
	}
	defer s.startDeadlineTimer().Stop()
	s.monitor.start()
	err := s.run()
	s.finish(err)
	s.monitor.stop()
	s.updateCounters()
	return s.result
}

// startDeadlineTimer starts a timer that ends the stream at its deadline if no token
// has been delivered by then.
func (s *session) startDeadlineTimer() *time.Timer {
	return time.AfterFunc(s.remaining(), func() {
		if !s.monitor.tokenDelivered.Load() {
			s.monitor.cancelStream(errDeadline)
		}
	})
}

// run makes attempts until the answer is complete or no further attempt is allowed.
func (s *session) run() error {
	resume := s.call.Resume != nil
	if resume {
		s.reassembler = newResumeReassembler(&s.delivered)
	}
	for {
		err := s.prepare(resume)
		if err == nil {
			err = s.runAttempt(resume)
		}
		if err == nil {
			return nil
		}
		s.lastErr = err
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		if resume, err = s.nextStep(err); err != nil {
			return err
		}
		if !resume {
			continue // a rerun on another target needs no backoff
		}
		if err := s.backOff(); err != nil {
			return err
		}
	}
}

// nextStep decides what follows a failed attempt: a resume (true), a rerun (false), or
// the error that ends the stream. A stream that can't be rerun is resumed until the
// deadline, because its engine may recover.
func (s *session) nextStep(err error) (resume bool, final error) {
	switch {
	case errors.Is(err, errDiverged) || errors.Is(err, errTokenCount):
		return false, err
	case errors.Is(err, errNoTarget):
		s.noTargetsLeft = true
	case errors.Is(err, core.ErrUnknownStream):
		s.streamLost = true // the engine is available, so it isn't excluded from a rerun
	default:
		s.excludeTarget()
	}
	known := s.reassembler.stream != "" && !s.streamLost
	limit := maxResumes
	if errors.Is(err, core.ErrIdleTimeout) {
		limit = 1 // if a new connection is silent too, the engine itself hangs
	}
	switch {
	case known && s.idleAttempts < limit:
		return true, nil
	case s.mayRerun():
		return false, nil
	case known && s.remaining() > 0:
		return true, nil
	default:
		return false, err
	}
}

// excludeTarget excludes the target of the failed attempt from reruns.
func (s *session) excludeTarget() {
	if !slices.Contains(s.excluded, s.delivered.Target) {
		s.excluded = append(s.excluded, s.delivered.Target)
	}
}

// mayRerun reports whether the request may be sent to another target.
func (s *session) mayRerun() bool {
	repeatable := s.call.Request.Kind.Repeatable || !s.mayHaveRun
	possible := s.call.Completion.Model != "" && !s.noTargetsLeft && s.attempts < s.relay.options.MaxAttempts
	return repeatable && possible && s.remaining() > 0
}

// remaining returns the time until the deadline.
func (s *session) remaining() time.Duration {
	if s.call.Request.Deadline == 0 {
		return math.MaxInt64
	}
	return s.call.Request.Remaining(s.relay.options.Clock.Now())
}

// backOff waits before the next attempt if the last one received no piece.
func (s *session) backOff() error {
	s.monitor.phase.Store(phaseBackoff)
	if s.idleAttempts == 0 {
		return nil
	}
	limit := min(backoffMax, backoffBase<<min(s.idleAttempts, 8))
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

// prepare sets up the state for a resume, or chooses the target of a new attempt.
func (s *session) prepare(resume bool) error {
	if resume {
		s.result.Resumes++
		s.record("StreamResumed", s.delivered.Target, s.attemptReason())
		s.reassembler.buffered, s.reassembler.bufferedBytes = nil, 0
		return nil
	}
	candidate, ok := s.call.ChooseTarget(s.excluded)
	if !ok || slices.Contains(s.excluded, candidate.Target) {
		return errNoTarget
	}
	s.attempts++
	s.streamLost = false
	if s.mayHaveRun {
		s.result.Reruns++
		s.record("StreamRerun", candidate.Target, s.attemptReason())
	}
	attempt := core.AttemptID(string(s.call.Completion.Attempt) + "/" + strconv.Itoa(s.attempts))
	s.addPieceCounts()
	s.reassembler = newRerunReassembler(attempt, &s.delivered)
	s.delivered.Target, s.delivered.Address = candidate.Target, candidate.Address
	s.delivered.Attempt, s.delivered.Stream = attempt, ""
	s.importFrom = candidate.ImportFrom
	return nil
}

// open starts or resumes the engine's stream.
func (s *session) open(ctx context.Context, resume bool) (core.PieceReader, error) {
	if resume {
		return s.relay.options.Completer.Resume(ctx, s.delivered.Address, s.reassembler.stream, s.reassembler.next)
	}
	request := s.call.Completion
	request.ImportFrom, request.Attempt = s.importFrom, s.reassembler.attempt
	pieces, err := s.relay.options.Completer.Complete(ctx, s.delivered.Address, request)
	s.mayHaveRun = s.mayHaveRun || !errors.Is(err, core.ErrNotRun)
	if named, ok := pieces.(core.NamedReader); ok && err == nil {
		s.reassembler.stream = named.Stream()
	}
	return pieces, err
}

// runAttempt opens a connection and relays its pieces.
func (s *session) runAttempt(resume bool) error {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.gotPiece = false
	s.monitor.setAttempt(cancel)
	s.monitor.phase.Store(phaseRead)
	pieces, err := s.open(ctx, resume)
	if err == nil {
		err = s.relayPieces(ctx, pieces)
		_ = pieces.Close() // pieces that were read stay valid
		if flushErr := s.flushPending(); err == nil {
			err = flushErr
		}
	}
	s.attemptEnded(resume, err)
	return err
}

// attemptEnded records the end of an attempt.
func (s *session) attemptEnded(resume bool, err error) {
	if err == nil {
		s.delivered.Offset = s.reassembler.next
	}
	if s.gotPiece {
		s.idleAttempts = 0
	} else {
		s.idleAttempts++
	}
	if s.call.OnAttempt != nil {
		abandoned := err != nil && s.ctx.Err() != nil
		s.call.OnAttempt(Attempt{Target: s.delivered.Target, Resume: resume, Err: err, Abandoned: abandoned})
	}
}

// relayPieces relays pieces until the terminal one.
func (s *session) relayPieces(ctx context.Context, pieces core.PieceReader) error {
	ready, _ := pieces.(core.ReadyReader)
	for {
		s.monitor.phase.Store(phaseRead)
		piece, err := pieces.Next(ctx)
		if errors.Is(err, io.EOF) {
			return errMissingPieces // there was no terminal piece
		}
		if err != nil {
			return err
		}
		s.monitor.reads.Add(1)
		done := false
		if !piece.Heartbeat {
			if done, err = s.acceptPiece(&piece); err != nil || done {
				return err
			}
		}
		if len(s.pending) == 0 {
			continue
		}
		more := ready != nil && ready.Ready() && s.monitor.tokenDelivered.Load()
		if !more || len(s.pending) >= s.relay.options.MergeBytes {
			if err := s.writePending(!more); err != nil {
				return err
			}
		}
	}
}

// acceptPiece adds the text of a piece, and of the buffered pieces that follow it, to
// the pending text. It reports whether the answer is complete.
func (s *session) acceptPiece(piece *core.Piece) (done bool, err error) {
	ok, err := s.reassembler.push(piece)
	if err != nil || !ok {
		return false, err
	}
	s.gotPiece = true
	for p := *piece; ok; p, ok = s.reassembler.nextBuffered() {
		text, offset, err := s.reassembler.advance(&p)
		if err != nil {
			return false, err
		}
		s.pending = append(s.pending, text...)
		s.pendingEnd = offset
		if p.Final {
			return true, nil
		}
	}
	return false, nil
}
