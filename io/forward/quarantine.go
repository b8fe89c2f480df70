package forward

import (
	"io"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/roster"
)

const (
	// survivedEvents is the number of events from which an engine has survived the beginning of an
	// answer.
	survivedEvents = 2
	// quarantineRetryAfter is the retry delay for callers whose prompts have a quarantined part. A
	// part is released by a probe at the earliest, which is minutes away.
	quarantineRetryAfter = 30 * time.Second
)

// allowPrompt refuses a request whose prompt has a quarantined part and returns false then.
func (r *activeRequest) allowPrompt() bool {
	index, ok := r.Quarantine.QuarantinedPart(r.req.Prompt)
	if !ok {
		return true
	}
	if r.isProbe = r.Quarantine.TakeProbe(r.req.Prompt); r.isProbe {
		r.logQuarantine("PartProbed", index)
		return true
	}
	r.logQuarantine("RequestRefused", index)
	r.failWithoutTarget(ReasonPartQuarantined, quarantineRetryAfter)
	return false
}

// allowParts reports whether the request may be sent: its prompt has no part that has been
// quarantined since its arrival.
func (r *activeRequest) allowParts() bool {
	if !r.hasQuarantinedPart() {
		return true
	}
	index, _ := r.Quarantine.QuarantinedPart(r.req.Prompt)
	r.logQuarantine("NotSentWithQuarantinedPart", index)
	r.isQuarantined = true
	return false
}

func (r *activeRequest) hasQuarantinedPart() bool {
	if r.req.Prompt == nil || r.isProbe || r.engineLimits() == nil {
		return false
	}
	_, ok := r.Quarantine.QuarantinedPart(r.req.Prompt)
	return ok
}

func (r *activeRequest) logQuarantine(event string, index int) {
	r.Log.WithFields(log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": ReasonPartQuarantined,
		"Part": core.FormatPart(r.req.Prompt.Parts[index].ID), "Index": index, "Sends": r.sends, "Runs": r.possibleRuns,
		"LeftMs": r.remaining().Milliseconds(),
	}).Warn(event)
}

// mayCrashAgain reports whether the request, which an engine has lost, might crash another one.
func (r *activeRequest) mayCrashAgain() bool {
	return r.wasLost && (r.isProbe || r.Quarantine.IsSuspect(r.req.Prompt))
}

// recordLost records that an engine ended its connection before it had answered a prompt. Other
// errors, such as timeouts and malformed answers, say nothing about a crash.
func (r *activeRequest) recordLost(e *roster.Entry, err error) {
	if r.req.Prompt == nil || r.engineLimits() == nil || r.ctx.Err() != nil || !isConnectionEnd(err) {
		return
	}
	r.wasLost = true
	r.Quarantine.RecordLost(core.LostRequest{Request: r.req.ID, Target: e.Registration, Prompt: r.req.Prompt})
}

// recordSurvived records that an engine has survived the beginning of the answer to a prompt.
func (r *activeRequest) recordSurvived(e *roster.Entry) {
	if r.req.Prompt != nil && r.engineLimits() != nil {
		r.Quarantine.RecordSurvived(&e.Registration, r.req.Prompt)
	}
}

// isConnectionEnd reports whether a target closed or reset its connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}
