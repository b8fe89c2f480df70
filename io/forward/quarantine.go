package forward

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/quarantine"
	"gorseline/core/roster"
	"gorseline/io/target"
)

// quarantineRetryAfter is the retry delay for callers whose requests have a quarantined trait. A trait
// is released by a probe at the earliest, which is minutes away.
const quarantineRetryAfter = 30 * time.Second

// traitsOf returns the traits of a request, the whole request last.
func (r *activeRequest) traitsOf() []core.Trait {
	var traits []core.Trait
	if r.req.Prompt != nil && r.engineLimits() != nil {
		for _, part := range r.req.Prompt.SharedParts() {
			traits = append(traits, core.Trait{Kind: core.TraitPart, ID: part.ID})
		}
	}
	fields := append([]string{r.in.Method, r.in.Host, requestURI(r.in)}, r.Dialect.CallerIdentity(r.in.Header, &r.verdict.Access)...)
	return append(traits, core.Trait{Kind: core.TraitRequest, ID: quarantine.Fingerprint(r.body, fields...)})
}

// allowTraits refuses a request that has a quarantined trait and returns false then.
func (r *activeRequest) allowTraits() bool {
	index, ok := r.Quarantine.Quarantined(r.traits)
	if !ok {
		return true
	}
	if r.isProbe = r.Quarantine.TakeProbe(r.traits); r.isProbe {
		r.logQuarantine("QuarantineProbed", index)
		return true
	}
	r.logQuarantine("RequestRefused", index)
	r.failWithoutTarget(quarantineReason(r.traits[index].Kind), quarantineRetryAfter)
	return false
}

// allowTraitsNow reports whether the request may be sent: it has no trait that has been quarantined
// since its arrival.
func (r *activeRequest) allowTraitsNow() bool {
	index, ok := r.quarantinedTrait()
	if ok {
		r.logQuarantine("NotSentInQuarantine", index)
		r.quarantined = quarantineReason(r.traits[index].Kind)
	}
	return !ok
}

// quarantinedTrait returns the index of the first quarantined trait, or false. A probe has none.
func (r *activeRequest) quarantinedTrait() (index int, ok bool) {
	if r.isProbe {
		return 0, false
	}
	return r.Quarantine.Quarantined(r.traits)
}

func quarantineReason(kind core.TraitKind) core.Reason {
	if kind == core.TraitRequest {
		return ReasonRequestQuarantined
	}
	return ReasonPartQuarantined
}

func (r *activeRequest) logQuarantine(event string, index int) {
	trait := r.traits[index]
	fields := log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": quarantineReason(trait.Kind),
		"Sends": r.sends, "Runs": r.possibleRuns, "LeftMs": r.remaining().Milliseconds(),
	}
	if trait.Kind == core.TraitRequest {
		fields["Fingerprint"] = core.FormatTrait(trait.ID)
	} else {
		fields["Part"], fields["Index"] = core.FormatTrait(trait.ID), index
	}
	r.Log.WithFields(fields).Warn(event)
}

// mayCrashAgain reports whether the request, which a target has lost, might crash another one.
func (r *activeRequest) mayCrashAgain() bool {
	return r.wasLost && (r.isProbe || r.Quarantine.IsSuspect(r.traits))
}

// runAt returns the latest run of the request, which is at e.
func (r *activeRequest) runAt(e *roster.Entry) *core.TargetRun {
	return &core.TargetRun{Request: r.req.ID, Target: e.Registration, Traits: r.traits, Sent: r.sentAt}
}

// recordBroken records that no complete answer arrived. Only the end of the connection says that the
// target may have crashed; timeouts and malformed answers don't. e is nil if another instance has sent
// the request to its target, and records the run.
func (r *activeRequest) recordBroken(e *roster.Entry, err error) {
	if e == nil {
		return
	}
	if r.ctx.Err() != nil || !isConnectionEnd(err) {
		r.Quarantine.RecordStopped(r.runAt(e))
		return
	}
	r.wasLost = true
	r.Quarantine.RecordLost(r.runAt(e))
}

// recordComplete records a complete answer. A target may answer with a failure before it runs the
// request, so that only a success shows that it has survived that. e is nil as in recordBroken.
func (r *activeRequest) recordComplete(e *roster.Entry, answer *target.Answer) {
	if e == nil {
		return
	}
	run := r.runAt(e)
	if answer.Status >= http.StatusInternalServerError {
		r.Quarantine.RecordStopped(run)
		return
	}
	run.EndsWithConnection = answer.Framing == target.FramingConnection
	r.Quarantine.RecordSurvived(run)
}

// isConnectionEnd reports whether a target closed or reset its connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}
