package core

import "time"

// Role determines the work that an engine accepts.
type Role uint8

// Roles of engines. Plain services have RoleNone.
const (
	RoleNone Role = iota
	RoleMixed
	RolePrefill
	RoleDecode
)

var roleNames = [...]string{"None", "Mixed", "Prefill", "Decode"}

// String returns the role's name.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "Unknown"
}

// MarshalText encodes the role as its name.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes a role name.
func (r *Role) UnmarshalText(text []byte) error {
	for i, name := range roleNames {
		if name == string(text) {
			*r = Role(i)
			return nil
		}
	}
	return &InvalidValueError{Value: string(text), Accepted: roleNames[:]}
}

// AcceptsPrefill reports whether an engine in this role computes prompts.
func (r Role) AcceptsPrefill() bool { return r == RoleMixed || r == RolePrefill }

// AcceptsDecode reports whether an engine in this role generates tokens.
func (r Role) AcceptsDecode() bool { return r == RoleMixed || r == RoleDecode }

// Target is one back end: a model engine or a replica of a plain service.
type Target struct {
	ID         TargetID
	Service    Service
	Address    string
	DataCentre DataCentre
	// Models lists the models that an engine may load; it is empty for plain services.
	Models []Model
	// Role is the engine's initial role.
	Role Role
	// ChecksFence is true if the target refuses orders with an outdated fencing token.
	ChecksFence bool
	// DeduplicatesKeys is true if the target runs calls with the same idempotency
	// key only once.
	DeduplicatesKeys bool
}

// IsEngine reports whether the target is a model engine.
func (t Target) IsEngine() bool { return len(t.Models) > 0 }

// Serves reports whether the target may serve the request's model or service.
func (t Target) Serves(r *Request) bool {
	if r.Service != "" {
		return t.Service == r.Service
	}
	for _, m := range t.Models {
		if m == r.Model {
			return true
		}
	}
	return false
}

// LoadReport is a target's report of its own load. It may be stale on arrival.
type LoadReport struct {
	// QueuedRequests is the number of requests that wait for prefill or for a slot;
	// Running is the number being served.
	QueuedRequests int
	Running        int
	// QueuedPromptTokens is the prompt work not yet computed, in tokens.
	QueuedPromptTokens int
	// QueuedUrgentTokens is the share of QueuedPromptTokens that belongs to urgent requests.
	QueuedUrgentTokens int
	// Slots is the maximum number of sequences that run concurrently; 0 if unknown.
	Slots int
	// KVUsed and KVCapacity are the used and total KV cache in tokens.
	KVUsed     int
	KVCapacity int
	// Role, Model and WeightsVersion describe what the target currently runs.
	Role           Role
	Model          Model
	WeightsVersion string
	// Changing is set while a role change or a model load is in progress.
	Changing bool
	// Leaving is set when the target drains and must receive no new work.
	Leaving bool
	// AppliedFence and AppliedSequence are those of the last order that took effect.
	AppliedFence    Fence
	AppliedSequence uint64
	// Age is the age of the report at the time the target sent it.
	Age time.Duration
}

// TargetState is an instance's view of one target.
type TargetState struct {
	Target
	Report     LoadReport
	ReportedAt Instant
	// SentRequests and SentPromptTokens count the work sent after the report, by this
	// instance or, if the fleet extrapolates, by all instances.
	SentRequests     int
	SentPromptTokens int
	// IdlePromptTokens is the prompt work that the target could have computed between the
	// report and the last send, but was not sent. It is added to the pending work, because
	// otherwise a long idle time would hide a burst sent at its end.
	IdlePromptTokens int
	// UrgentTokens is the estimated pending prompt work of urgent requests at UrgentAt,
	// from the report and from what this instance sent since. Engines compute it before
	// other prompts.
	UrgentTokens float64
	UrgentAt     Instant
	// FinishedRequests counts the requests that finished after the report, in the same
	// way as SentRequests.
	FinishedRequests int
	// InFlight counts requests from this instance that are not finished.
	InFlight int
	// PrefillSamples is the number of observations behind PrefillRate, up to a maximum.
	PrefillSamples int
	// PrefillRate is the estimated prefill speed in tokens per second.
	PrefillRate float64
	// StepBase and StepPerSequence give the estimated time between tokens as
	// StepBase + StepPerSequence × running sequences.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// CircuitOpen is true while the target's circuit breaker is open.
	CircuitOpen bool
	// Drained is set by an operator or by a placement plan.
	Drained bool
	// Index is a small number, unique among the fleet's current targets, for indexing
	// per-target tables.
	Index uint32
}

// AcceptsWork reports whether new work may go to the target.
func (s *TargetState) AcceptsWork() bool {
	return !s.CircuitOpen && !s.Drained && !s.Report.Leaving && !s.Report.Changing
}
