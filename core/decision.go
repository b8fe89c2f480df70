package core

import "time"

// Estimate holds the expected delays of one request on one target.
type Estimate struct {
	// FirstToken is the delay until the first token, including queueing.
	FirstToken time.Duration
	// Queue is the share of FirstToken that is spent waiting for other requests.
	Queue time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
	// Total is the delay until the answer is complete.
	Total time.Duration
	// PrefixTokens is the length of the prompt prefix expected in the target's cache.
	PrefixTokens int
}

// Reason states why a decision was taken. Reasons appear in events and metrics.
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

// Decision is the outcome of routing. Target is empty when no target can serve the
// request; Reason then states why.
type Decision struct {
	// Target generates the answer.
	Target TargetID
	// Prefill computes the prompt when it differs from Target; the KV cache is
	// exported from it and imported by Target.
	Prefill TargetID
	// ImportFrom is the target whose cached prefix is imported; it is empty when the
	// prompt is recomputed.
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
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
}

// Fleet provides the candidate targets of a request.
type Fleet interface {
	// Candidates appends the states of targets that may serve req to dst, up to its
	// capacity, and returns the extended slice. Requests of the same organisation with
	// the same first prompt block get the same candidates on every instance.
	Candidates(req *Request, dst []*TargetState) []*TargetState
}

// Router chooses a target. Route is safe for concurrent use.
type Router interface {
	Route(now Instant, req *Request, fleet Fleet) Decision
}

// Admitter decides whether a request is admitted. A refused request is never run.
type Admitter interface {
	Admit(now Instant, req *Request, estimate Estimate) Admission
	// Finish releases what Admit reserved. inTime reports whether the deadline was met.
	Finish(now Instant, req *Request, inTime bool)
}

// RoleChange is a planned change of one engine's role.
type RoleChange struct {
	Target TargetID
	From   Role
	To     Role
	// Gain is the expected goodput, in weight, minus the price of the change.
	Gain   float64
	Reason Reason
}

// PlacementView is the input of a placement decision for one model.
type PlacementView struct {
	Model   Model
	Engines []TargetState
	// PromptRate and OutputRate are the offered load in tokens per second.
	PromptRate float64
	OutputRate float64
	// Goodput is the weight per second answered in time; Offered is the weight per
	// second that arrived.
	Goodput float64
	Offered float64
}

// Placer plans role changes. Plan returns nothing when no change is worth its price.
type Placer interface {
	Plan(now Instant, view *PlacementView) []RoleChange
}

// Policy is a named combination of routing, admission control and placement.
type Policy interface {
	Router
	Admitter
	Placer
	Name() string
}

// PolicyProvider returns the policy that currently serves an organisation.
type PolicyProvider interface {
	Policy(org Organisation) Policy
}
