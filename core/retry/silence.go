package retry

import (
	"time"

	"gorseline/core"
)

// Silence holds the times after which the silence of an engine in the middle of a stream has
// consequences. A sound engine may be silent for a second and a half and go on.
type Silence struct {
	// Notice is the time after which the silence counts against the engine's health.
	Notice time.Duration
	// Move is the time after which the stream may move to another engine. It leaves the other one
	// time for the prompt before the caller disconnects.
	Move time.Duration
	// MoveAlive is the same for an engine that still answers other requests.
	MoveAlive time.Duration
	// Overlap is how long the silent engine is still listened to while another one is asked. Together
	// with Move it exceeds the silence of a sound engine.
	Overlap time.Duration
}

const (
	minNotice = 700 * time.Millisecond
	minMove   = 1300 * time.Millisecond
	// pausesToMove is the least time in multiples of the pause objective. Callers disconnect after
	// two seconds or eight times the pause objective, whichever is longer.
	pausesToMove = 4
	// silenceOverlap is well below the time for which two engines may run the same request.
	silenceOverlap = 300 * time.Millisecond
	// silenceRecheck is the time between two decisions.
	silenceRecheck = 100 * time.Millisecond
	// signOfLifeTime is how long an engine counts as alive after it sent anything.
	signOfLifeTime = 300 * time.Millisecond
)

// NewSilence returns the times for streams with a pause objective.
func NewSilence(pauseObjective time.Duration) Silence {
	move := max(minMove, pausesToMove*pauseObjective)
	return Silence{
		Notice: max(minNotice, pausesToMove*pauseObjective), Move: move, MoveAlive: move + move/4, Overlap: silenceOverlap,
	}
}

// SilenceState is what is known of a silent engine.
type SilenceState struct {
	// Silent is the time since the last event of the stream.
	Silent time.Duration
	// LastHeard is when the engine last sent anything to any request, or 0.
	LastHeard core.Instant
	// CanMove is true if the stream can be continued on another engine now.
	CanMove bool
}

// SilenceDecision is what to do with a stream whose engine is silent.
type SilenceDecision struct {
	// Move asks another engine to continue the stream.
	Move bool
	// Wait is the time until the next decision, if the stream doesn't move.
	Wait time.Duration
}

// Decide decides whether a stream moves to another engine. A stream that can't move waits for its
// engine, however long that is silent. An engine that has left the roster counts like any other: its
// entry may have lapsed because of the same pause.
func (s Silence) Decide(now core.Instant, state *SilenceState) SilenceDecision {
	after := s.Move
	if state.LastHeard != 0 && now.Sub(state.LastHeard) < signOfLifeTime {
		after = s.MoveAlive
	}
	if left := after - state.Silent; left > 0 {
		return SilenceDecision{Wait: min(left, silenceRecheck)}
	}
	return SilenceDecision{Move: state.CanMove, Wait: silenceRecheck}
}

// WaitForHeader returns how much longer to wait for the header of an answer after the usual time,
// and false to send the request to another target. waited is the time since the request was sent,
// remaining that until its deadline. canMove is true if another target can take the request now. A
// request that may have run waits for its target otherwise; one that has not is given up once the
// wait exceeds Move or half of its time, so that its caller can come back.
func (s Silence) WaitForHeader(waited, remaining time.Duration, canMove, mayHaveRun bool) (time.Duration, bool) {
	if remaining <= 0 || canMove || !mayHaveRun && waited >= min(s.Move, (waited+remaining)/2) {
		return 0, false
	}
	return min(remaining, silenceRecheck), true
}

// ExceedsPause reports whether a target has been waited for longer than a sound one may be silent, or
// for two thirds of the time until the deadline.
func (s Silence) ExceedsPause(waited, remaining time.Duration) bool {
	return waited >= min(s.Move+s.Overlap, (waited+remaining)*2/3)
}
