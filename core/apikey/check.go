package apikey

import "gorseline/core"

// Reasons of refusals. All but ReasonUnconfirmed reject the request for good.
const (
	ReasonMissing     core.Reason = "KeyMissing"
	ReasonMalformed   core.Reason = "KeyMalformed"
	ReasonUnknown     core.Reason = "KeyUnknown"
	ReasonDropped     core.Reason = "KeyDropped"
	ReasonUnconfirmed core.Reason = "KeyUnconfirmed"
)

// Request is what a check needs to know of a request.
type Request struct {
	Route *core.Route
	// Key is the API key that the caller sent, or empty.
	Key         string
	IsMalformed bool
	// Digest replaces Key if another instance has read the key. It is zero otherwise.
	Digest core.KeyDigest
}

// Verdict is the outcome of a check.
type Verdict struct {
	// Reason is empty if the request is accepted.
	Reason core.Reason
	// Access is what an accepted request may do.
	Access core.Access
	// Digest is the digest of the key; zero if none was read.
	Digest core.KeyDigest
	// DroppedIn is the version that dropped the key, or 0.
	DroppedIn core.Revision
}

// IsAccepted reports whether the request may run.
func (v *Verdict) IsAccepted() bool { return v.Reason == "" }

// Check decides whether a request may run. A key that isn't known is rejected for good only if the
// configuration is current: callers don't repeat a rejected request, and an older configuration may
// lack a key that has been added since.
func (x *Index) Check(req Request, currency core.CurrencyProvider) Verdict {
	if !x.isEnforced {
		return Verdict{Access: core.Access{Priority: req.Route.Priority}}
	}
	access := core.Access{IsEnforced: true, Priority: req.Route.Priority}
	if req.Route.IsPublic {
		return Verdict{Access: access}
	}
	v := Verdict{Digest: req.Digest}
	if v.Digest.IsZero() && len(req.Key) > 0 && len(req.Key) <= x.maxKeyBytes {
		v.Digest = core.NewKeyDigest(req.Key)
	}
	if holder := x.holders[v.Digest]; holder != nil {
		access.Organisation, access.Key = holder.Name, v.Digest
		if holder.Priority != nil {
			access.Priority = *holder.Priority
		}
		v.Access = access
		return v
	}
	v.Reason, v.DroppedIn = x.refusal(&req, v.Digest)
	if !currency.IsCurrent() {
		v.Reason = ReasonUnconfirmed
	}
	return v
}

// refusal returns why a key isn't accepted, and the version that dropped it.
func (x *Index) refusal(req *Request, digest core.KeyDigest) (core.Reason, core.Revision) {
	switch {
	case req.IsMalformed:
		return ReasonMalformed, 0
	case req.Key == "" && req.Digest.IsZero():
		return ReasonMissing, 0
	}
	if version := x.droppedIn(digest); version != 0 {
		return ReasonDropped, version
	}
	return ReasonUnknown, 0
}
