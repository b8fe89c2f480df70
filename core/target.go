package core

import "time"

// Role is the work that an engine accepts.
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
	// Models lists what an engine may load; it is empty for plain services.
	Models []Model
	// Role is the role that the configuration starts the engine in.
	Role Role
	// ChecksFence says that the target refuses orders with an old fencing number.
	ChecksFence bool
	// DeduplicatesKeys says that the target runs a call with the same key once.
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

// LoadReport is what a target says about its own load. It lags behind reality.
type LoadReport struct {
	// QueuedRequests wait for prefill or for a slot; Running are being served.
	QueuedRequests int
	Running        int
	// QueuedPromptTokens is the prompt work not yet computed, in tokens.
	QueuedPromptTokens int
	// QueuedUrgentTokens is the part of it that belongs to urgent requests.
	QueuedUrgentTokens int
	// Slots is the largest number of sequences that run at once; 0 if unknown.
	Slots int
	// KVUsed and KVCapacity are in tokens of KV cache.
	KVUsed     int
	KVCapacity int
	// Role, Model and WeightsVersion are what the target runs now.
	Role           Role
	Model          Model
	WeightsVersion string
	// Changing is set while a role change or a model load is under way.
	Changing bool
	// Leaving is set when the target asks for no new work.
	Leaving bool
	// AppliedFence and AppliedSequence belong to the last order that took effect.
	AppliedFence    Fence
	AppliedSequence uint64
	// Age is how old the report was when the target sent it.
	Age time.Duration
}

// TargetState is what an instance knows about one target.
type TargetState struct {
	Target
	Report     LoadReport
	ReportedAt Instant
	// SentRequests and SentPromptTokens were sent after the report, by this instance or,
	// if the fleet extrapolates, by all instances.
	SentRequests     int
	SentPromptTokens int
	// IdlePromptTokens is the prompt work that the target had time for, but had not
	// been given, between the report and the last send. It keeps a long idle time
	// from hiding a burst that was sent at its end.
	IdlePromptTokens int
	// UrgentTokens is the prompt work of urgent requests that the target had at
	// UrgentAt, by its report and by what was sent from here since. Engines compute
	// it before other prompts.
	UrgentTokens float64
	UrgentAt     Instant
	// FinishedRequests have finished after the report; they are counted as
	// SentRequests are.
	FinishedRequests int
	// InFlight counts requests from this instance that are not finished.
	InFlight int
	// PrefillSamples counts the observations that PrefillRate rests on, up to a bound.
	PrefillSamples int
	// PrefillRate is the learned prompt rate in tokens per second.
	PrefillRate float64
	// StepBase and StepPerSequence give the learned time between tokens as
	// StepBase + StepPerSequence × running sequences.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// CircuitOpen is true while the circuit towards the target is open.
	CircuitOpen bool
	// Drained is set by an operator or by a placement plan.
	Drained bool
	// Index is a small number that the fleet gives the target, for use as an index. It
	// is unique among the targets that the fleet knows.
	Index uint32
}

// AcceptsWork reports whether new work may go to the target.
func (s *TargetState) AcceptsWork() bool {
	return !s.CircuitOpen && !s.Drained && !s.Report.Leaving && !s.Report.Changing
}
