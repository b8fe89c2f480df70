package core

import "time"

// Estimate is the expected service of one request on one target.
type Estimate struct {
	// FirstToken is the delay until the first token, including queueing.
	FirstToken time.Duration
	// Queue is the part of FirstToken spent waiting for other requests.
	Queue time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
	// Total is the delay until the whole answer.
	Total time.Duration
	// PrefixTokens is the part of the prompt expected in the target's cache.
	PrefixTokens int
}

// Reason says why a decision was taken. Reasons appear in events and metrics.
type Reason string

// Reasons of routing and admission decisions.
const (
	ReasonPrefixHit         Reason = "PrefixHit"
	ReasonLeastDelay        Reason = "LeastDelay"
	ReasonRoundRobin        Reason = "RoundRobin"
	ReasonAffinity          Reason = "Affinity"
	ReasonNoTarget          Reason = "NoTarget"
	ReasonDeadline          Reason = "DeadlineUnreachable"
	ReasonOrganisationLimit Reason = "OrganisationLimit"
	ReasonKindLimit         Reason = "KindLimit"
	ReasonConcurrency       Reason = "ConcurrencyLimit"
	ReasonNoSlot            Reason = "NoSlot"
	ReasonAdmitted          Reason = "Admitted"
	ReasonNotReady          Reason = "NotReady"
	ReasonStoreUnavailable  Reason = "StoreUnavailable"
)

// Decision is the outcome of routing. Target is empty when nothing can serve the
// request; Reason then says why.
type Decision struct {
	// Target generates the answer.
	Target TargetID
	// Prefill computes the prompt when it differs from Target; the KV cache is
	// exported from it and imported by Target.
	Prefill TargetID
	// ImportFrom holds the cached prefix to import; it is empty when the prompt
	// is recomputed.
	ImportFrom TargetID
	Estimate   Estimate
	Reason     Reason
}

// Found reports whether a target was chosen.
func (d Decision) Found() bool { return d.Target != "" }

// Admission is the outcome of admission control.
type Admission struct {
	Admitted bool
	Reason   Reason
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

// Fleet gives routing its candidates.
type Fleet interface {
	// Candidates appends to into the states of targets that may serve req, at most
	// cap(into) of them, and returns the extended slice. Requests with equal
	// organisation and first prompt block get the same candidates on every instance.
	Candidates(req *Request, into []*TargetState) []*TargetState
}

// Router chooses a target. Route is safe for concurrent use.
type Router interface {
	Route(now Instant, req *Request, fleet Fleet) Decision
}

// Admitter decides whether a request is taken on. A refused request was not run.
type Admitter interface {
	Admit(now Instant, req *Request, estimate Estimate) Admission
	// Finish returns what Admit reserved. inTime says whether the deadline was kept.
	Finish(now Instant, req *Request, inTime bool)
}

// RoleChange asks for one engine to change its role.
type RoleChange struct {
	Target TargetID
	From   Role
	To     Role
	// Gain is the expected goodput, in weight, less the price of the change.
	Gain   float64
	Reason Reason
}

// PlacementView is what placement decides on, for one model.
type PlacementView struct {
	Model   Model
	Engines []TargetState
	// PromptRate and OutputRate are offered tokens per second.
	PromptRate float64
	OutputRate float64
	// Goodput is the weight per second answered in time; Offered is the weight per
	// second that arrived.
	Goodput float64
	Offered float64
}

// Placer plans role changes. It returns an empty plan when no change pays.
type Placer interface {
	Plan(now Instant, view *PlacementView) []RoleChange
}

// Policy is a named set of decisions.
type Policy interface {
	Router
	Admitter
	Placer
	Name() string
}

// PolicyProvider returns the policy that serves an organisation now.
type PolicyProvider interface {
	Policy(org Organisation) Policy
}
