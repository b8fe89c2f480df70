package dispatch

import (
	"net/http"

	"gorseline/core"
	"gorseline/core/operation"
)

// refusal returns the refusal of a request that did not run.
func refusal(req *core.Request, reason core.Reason) core.Refusal {
	r := core.Refusal{Kind: string(reason), NotRun: true, Status: http.StatusServiceUnavailable}
	switch reason {
	case core.ReasonOrganisationLimit:
		r.Status = http.StatusTooManyRequests
		r.Message = "the organisation has too many requests in flight"
	case core.ReasonKindLimit, core.ReasonConcurrency:
		r.Status = http.StatusTooManyRequests
		r.Message = "too many requests of kind " + string(req.Kind.Name) + " are in flight"
	case core.ReasonDeadline:
		r.Message = "the deadline can't be met now"
	case core.ReasonStoreUnavailable:
		r.Message = "the store that records calls that may not be repeated is unavailable"
	case operation.ReasonKeyReused:
		r.Status = http.StatusUnprocessableEntity
		r.Message = "the operation key was used with another request"
	case operation.ReasonClaimUnsettled:
		r.Message = "the store did not confirm the claim of the operation key"
	case operation.ReasonDeadlineBeforeSend:
		r.Message = "the deadline passed before the call was sent"
	case operation.ReasonTargetNotReached:
		r.Message = "the target could not be reached"
	default:
		r.Message = "no target can take the request now"
	}
	return r
}
