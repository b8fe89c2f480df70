package forward

import (
	"net"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core/roster"
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

// maxSilenceLines bounds the log lines on silences of one request.
const maxSilenceLines = 12

// logSilence logs and counts a step.
func (s *streamRelay) logSilence(e *roster.Entry, step SilenceStep) {
	s.Observer.ObserveSilence(s.service, step)
	if s.silenceLines++; s.silenceLines > maxSilenceLines {
		return
	}
	s.Log.WithFields(log.Fields{
		"Request": s.req.ID, "Target": e.ID, "Service": s.service, "Step": string(step), "After": s.lastID,
		"SilentMs": s.Clock.Now().Sub(s.arrived.Add(s.lastEventTime)).Milliseconds(), "LeftMs": s.remaining().Milliseconds(),
	}).Warn("EngineSilent")
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
