package assign

import (
	"gorseline/core"
	"gorseline/core/roster"
)

// ReasonNoEngineOfVersion is the reason of a refusal because no target of the required version
// is ready.
const ReasonNoEngineOfVersion core.Reason = "NoEngineOfVersion"

// hasVersion reports whether a target has the required software version. Without a required one
// all targets do. Targets of unknown version count as a version of their own.
func hasVersion(e *roster.Entry, required *core.SoftwareVersion) bool {
	return required == nil || e.Version == *required
}

// isRestricted reports whether a request requires a version that only some engines have.
func isRestricted(view *roster.View, req *Request) bool {
	if req.Version == nil {
		return false
	}
	for _, e := range view.Ready(req.Service) {
		if e.Version != *req.Version {
			return true
		}
	}
	return false
}

// missingReason returns the reason why there is no candidate for a request.
func missingReason(view *roster.View, service core.Service, required *core.SoftwareVersion) core.Reason {
	for _, e := range view.Ready(service) {
		if hasVersion(e, required) {
			return core.ReasonNoTarget
		}
	}
	if required == nil {
		return core.ReasonNoTarget
	}
	return ReasonNoEngineOfVersion
}

// mustMix reports whether generating engines have to compute a prompt however busy they are,
// because no prefill engine of the required version is usable.
func (a *Assigner) mustMix(now core.Instant, view *roster.View, req *Request) bool {
	if req.Version == nil {
		return false
	}
	for _, e := range view.Ready(req.Service) {
		if e.Role == core.RolePrefill && a.isUsable(now, e, req.Exclude, req.Version) {
			return false
		}
	}
	return true
}
