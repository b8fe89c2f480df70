package forward

import (
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

// SilenceStep is a step in the handling of an engine that sends nothing in the middle of a stream.
type SilenceStep string

// Steps of a silence.
const (
	// SilenceNoticed means that nothing has arrived for a while.
	SilenceNoticed SilenceStep = "Noticed"
	// SilenceAsked means that another engine is asked to continue the stream.
	SilenceAsked SilenceStep = "Asked"
	// SilenceRefused means that the other engine doesn't continue the stream.
	SilenceRefused SilenceStep = "Refused"
	// SilenceNotPossible means that the stream can't be continued on another engine.
	SilenceNotPossible SilenceStep = "NotPossible"
	// SilenceMoved means that the stream continues on another engine.
	SilenceMoved SilenceStep = "Moved"
	// SilenceEnded means that the silent engine has gone on.
	SilenceEnded SilenceStep = "Ended"
)

// askPoll is the time between two looks at whether another engine has answered.
const askPoll = 10 * time.Millisecond

// silence is the state of the silence of a stream's engine.
type silence struct {
	engine *roster.Entry
	limits retry.Silence
	// heard is the record of the engine.
	heard *retry.LastHeard
	// since is when the last event was relayed, or the relay of the answer began.
	since core.Instant
	// isNoticed and isStuck are set once the steps Noticed and NotPossible are recorded.
	isNoticed, isStuck bool
	// ask is the request to another engine to continue the stream, or nil.
	ask *continuation
	// asks counts the requests to other engines, lines the log lines.
	asks, lines int
}

// watchSilence prepares for the silences of the engine of an answer.
func (s *streamRelay) watchSilence(e *roster.Entry, answer *target.Answer) {
	s.silence = silence{
		engine: e, limits: retry.NewSilence(s.route.PauseObjective), heard: s.Health.LastHeard(e.ID), since: s.Clock.Now(),
		lines: s.silence.lines, asks: s.silence.asks,
	}
	answer.OnTimeout(s.onSilence)
}

// onSilence is called when nothing has arrived for the time that the previous decision set. It
// returns until when to wait, or false if the answer is given up.
func (s *streamRelay) onSilence() (until time.Time, ok bool) {
	if s.isOutOfTime() {
		return time.Time{}, false
	}
	q := &s.silence
	if !q.isNoticed {
		q.isNoticed = true
		s.logSilence(SilenceNoticed)
		s.recordSilence(q.engine)
	}
	if q.ask != nil {
		if !q.ask.isDone() {
			// After the overlap the continuation is waited for alone.
			return time.Now().Add(askPoll), time.Since(q.ask.began) < q.limits.Overlap
		}
		if q.ask.isAnswered() {
			return time.Time{}, false
		}
		s.endAsk()
	}
	return s.decideSilence()
}

// decideSilence waits on or asks another engine, which needs everything for a continuation. The
// silent engine is listened to meanwhile.
func (s *streamRelay) decideSilence() (until time.Time, ok bool) {
	q := &s.silence
	now := s.Clock.Now()
	state := retry.SilenceState{
		Silent: now.Sub(q.since), LastHeard: max(q.heard.At(), s.Loads.LastComputed(q.engine.ID)), CanMove: true,
	}
	d := q.limits.Decide(now, &state)
	if d.Move {
		obstacle := s.startAsk(true)
		if obstacle == "" {
			return time.Now().Add(askPoll), true
		}
		if !q.isStuck {
			q.isStuck = true
			s.logSilence(SilenceNotPossible, obstacle)
		}
		state.CanMove = false
		d = q.limits.Decide(now, &state)
	}
	return time.Now().Add(min(d.Wait, s.remaining())), true
}

// markHeard ends a silence after an event. The continuation on another engine, if one was asked, is
// cancelled, since it would repeat the event.
func (s *streamRelay) markHeard(now core.Instant) {
	q := &s.silence
	q.heard.Mark(now)
	if !q.isNoticed {
		q.since = now
		return
	}
	s.endAsk()
	s.logSilence(SilenceEnded)
	q.since = now
	s.Health.RecordLife(now, q.engine.ID)
	q.isNoticed, q.isStuck = false, false
}

// endAsk cancels the continuation on another engine, if one was asked, and takes over its counts.
// The latest send remains that to the present engine.
func (s *streamRelay) endAsk() {
	c := s.silence.ask
	if c == nil {
		return
	}
	isRefused := c.isDone() && !c.isAnswered()
	c.cancel()
	s.adoptCounts(c)
	if isRefused {
		s.logSilence(SilenceRefused)
	}
	if c.answer != nil {
		_ = c.answer.Close() // the engine is told to stop by that
	}
	s.silence.ask = nil
	c.finish()
}

// recordSilence records a silence in a target's health.
func (r *activeRequest) recordSilence(e *roster.Entry) {
	if r.Health.RecordSilence(r.Clock.Now(), e.ID) {
		r.logAvoided(e, "Silent")
	}
}

// maxSilenceLines bounds the log lines on silences of one request.
const maxSilenceLines = 12

// logSilence logs and counts a step.
func (s *streamRelay) logSilence(step SilenceStep, reason ...core.Reason) {
	s.Observer.ObserveSilence(s.service, step)
	q := &s.silence
	if q.lines++; q.lines > maxSilenceLines {
		return
	}
	fields := log.Fields{
		"Request": s.req.ID, "Target": q.engine.ID, "Service": s.service, "Step": string(step), "After": s.lastID,
		"SilentMs": s.Clock.Now().Sub(q.since).Milliseconds(), "LeftMs": s.remaining().Milliseconds(),
	}
	if len(reason) > 0 {
		fields["Reason"] = reason[0]
	}
	if q.ask != nil {
		fields["Other"] = q.ask.engine.ID
	}
	s.Log.WithFields(fields).Warn("EngineSilent")
}
