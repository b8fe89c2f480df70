package forward

import (
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/roster"
)

// ContinuationResult is what became of a request that continues a stream.
type ContinuationResult string

// Results of continuations.
const (
	// ContinuationRelayed means that events of the continued stream were relayed.
	ContinuationRelayed ContinuationResult = "Relayed"
	// ContinuationVersionUnknown means that it isn't known at which version the stream began.
	ContinuationVersionUnknown ContinuationResult = "VersionUnknown"
	// ContinuationNoEngine means that no engine of that version is ready.
	ContinuationNoEngine ContinuationResult = "NoEngineOfVersion"
	// ContinuationNotRelayed means that nothing was relayed for another reason.
	ContinuationNotRelayed ContinuationResult = "NotRelayed"
)

// ReasonStreamVersionUnknown is the reason of a refusal to continue a stream because it isn't
// known at which version it began.
const ReasonStreamVersionUnknown core.Reason = "StreamVersionUnknown"

// unknownVersionRetryAfter is the retry delay for callers whose stream this instance doesn't
// know. Another instance may know it, or this one after the next messages of its peers.
const unknownVersionRetryAfter = 100 * time.Millisecond

// isContinuation reports whether the request continues a stream that began in an earlier attempt
// of its caller.
func (r *activeRequest) isContinuation() bool {
	return r.req.ResumeAfter != "" && r.route != nil && r.route.Resumable
}

// requireVersion limits a continuation to the engines of the version at which its stream began.
// It returns false if it has refused the request because that version isn't known.
func (r *activeRequest) requireVersion() bool {
	if !r.isContinuation() {
		return true
	}
	version, ok := r.StreamVersions.StreamVersion(r.ctx, r.service, r.req.StreamRequest())
	if ok {
		r.version = &version
		return true
	}
	after := min(unknownVersionRetryAfter, r.remaining()/4)
	fields := log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": ReasonStreamVersionUnknown,
		"RetryAfterMs": after.Milliseconds(), "LeftMs": r.remaining().Milliseconds(),
	}
	r.addContinuation(fields)
	r.Log.WithFields(fields).Warn("RequestRefused")
	r.failWithoutTarget(ReasonStreamVersionUnknown, after)
	return false
}

// firstEventObjective returns the time within which the first event of an answer is wanted. The
// caller of a continuation got the first event of its stream in an earlier attempt, so the time
// that the lookup of the version takes doesn't count.
func (r *activeRequest) firstEventObjective() time.Duration {
	if r.isContinuation() {
		return r.route.Objective
	}
	return r.remainingObjective()
}

// recordStart records at which version a resumable stream begins or continues, before an event of
// it is relayed, and limits the rest of the stream to that version. e is the entry of the engine
// as it was when the request was sent, since an engine may restart at another version.
func (r *activeRequest) recordStart(e *roster.Entry) {
	if !r.route.Resumable {
		return
	}
	r.version = &e.Version
	r.StreamStarts.RecordStreamStart(core.StreamStart{
		Service: r.service, Request: r.req.StreamRequest(), Version: e.Version, Deadline: r.continuationDeadline(),
	})
}

// continuationDeadline returns the time after which the caller doesn't continue the stream any
// more. The caller may have more time left than the route gives to one attempt.
func (r *activeRequest) continuationDeadline() core.Instant {
	return max(r.deadline, min(r.arrived.Add(r.req.CallerTimeout), r.deadline.Add(r.route.Timeout)))
}

// addContinuation adds to the fields of a log line which stream a request continues, after which
// event and at which version it must.
func (r *activeRequest) addContinuation(fields log.Fields) {
	if r.req.ResumeAfter == "" {
		return
	}
	fields["Resumes"], fields["After"] = r.req.StreamRequest(), r.req.ResumeAfter
	if r.version != nil {
		fields["Required"] = *r.version
	}
}

// logNotResumed logs that no engine of its version could go on with a broken stream.
func (s *streamRelay) logNotResumed() {
	if s.version == nil {
		return
	}
	s.Log.WithFields(log.Fields{
		"Request": s.req.ID, "Service": s.service, "Version": *s.version, "After": s.lastID, "Reason": core.ReasonNoTarget,
		"Roster": s.Roster.View().Version,
	}).Warn("StreamNotResumed")
}

// observeContinuation counts what became of a continuation.
func (r *activeRequest) observeContinuation(reason core.Reason) {
	if !r.isContinuation() {
		return
	}
	result := ContinuationNotRelayed
	switch {
	case r.events > 0:
		result = ContinuationRelayed
	case reason == ReasonStreamVersionUnknown:
		result = ContinuationVersionUnknown
	case reason == assign.ReasonNoEngineOfVersion:
		result = ContinuationNoEngine
	}
	r.Observer.ObserveContinuation(r.service, result)
}
