package core

import "time"

// RouteKind states how often a request on a route may run and how it is answered.
type RouteKind uint8

// Kinds of routes. The zero value is the most restrictive.
const (
	// RouteOnce runs at most once.
	RouteOnce RouteKind = iota
	// RouteRepeatable may run any number of times.
	RouteRepeatable
	// RouteStream answers with a stream of events. Its requests run at most once unless
	// the route is resumable.
	RouteStream
)

var routeKindNames = [...]string{"Once", "Repeatable", "Stream"}

// String returns the kind's name.
func (k RouteKind) String() string {
	if int(k) < len(routeKindNames) {
		return routeKindNames[k]
	}
	return "Unknown"
}

// Split sends a weighted share of a route's requests to a service.
type Split struct {
	Service Service
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the time limit for the whole answer.
	Timeout time.Duration
	// Objective is the target latency of the answer, for streams that of the first event.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events of a stream.
	PauseObjective time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Attempts limits the number of targets that one request may be sent to.
	Attempts int
	// HasPrompt is true if requests carry a prompt that engines compute and cache.
	HasPrompt bool `cbor:"Prompted"`
	// Resumable is true if a stream may continue on another target after the last event
	// received.
	Resumable bool
	// IsPublic is true if requests need no API key.
	IsPublic bool `cbor:",omitempty"`
	// Splits is never empty in a valid route.
	Splits []Split
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// EngineLimits describes the engines of a service. The value 0 means unknown.
type EngineLimits struct {
	// Slots is the number of sequences that run concurrently.
	Slots int
	// CacheTokens is the KV cache capacity of one engine in tokens; CacheTokenBytes is the
	// size of one token in it.
	CacheTokens     int
	CacheTokenBytes int
	// LinkBytesPerSecond is the rate of KV cache transfers of one engine.
	LinkBytesPerSecond float64 `cbor:"LinkBytes"`
	// RoleChangeTime is how long an engine is unavailable while it changes its role.
	RoleChangeTime time.Duration `cbor:"RoleChange"`
}

// ServiceLimits describes the targets of one service.
type ServiceLimits struct {
	Name       Service
	HealthPath string
	// MaxConnections limits the connections that one target accepts from all clients.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineLimits
	// Scaling is nil if the number of servers is fixed.
	Scaling *ScalingLimits `cbor:",omitempty"`
}

// ForwardingFormat is the format of configurations that hold organisations. Builds that don't know
// organisations write none.
const ForwardingFormat = 1

// Forwarding is an accepted configuration of routes and services. It is immutable. Peers
// exchange it as CBOR; tags keep field names that differ there.
type Forwarding struct {
	// Format is ForwardingFormat, or 0 if the peer that sent the configuration runs a build that
	// leaves out organisations.
	Format   int `cbor:",omitempty"`
	Version  Revision
	Routes   []Route
	Services map[Service]ServiceLimits
	// MaxBodyBytes limits the body of a request; 0 means that the configuration sets no limit.
	MaxBodyBytes int64
	// HasOrganisations is true if requests need an API key unless their route is public.
	// Organisations may be empty then.
	HasOrganisations bool               `cbor:",omitempty"`
	Organisations    []OrganisationKeys `cbor:",omitempty"`
	// MaxKeyBytes is the length of the longest API key.
	MaxKeyBytes int `cbor:",omitempty"`
}

// PromptPart is one segment of a prompt. Requests may share leading parts, which engines
// cache.
type PromptPart struct {
	// ID identifies the part's content.
	ID     uint64
	Tokens int
}

// Prompt describes the prompt of a request, as stated by the caller.
type Prompt struct {
	Model Model
	Parts []PromptPart
	// Tokens is the length of the whole prompt, at least the sum of the parts.
	Tokens int
	// MaxOutput limits the answer, in tokens; ExpectedOutput is the caller's estimate of
	// its length, or 0.
	MaxOutput      int
	ExpectedOutput int
}

// SharedParts returns the parts that other requests may share, which are all but the last one.
func (p *Prompt) SharedParts() []PromptPart { return p.Parts[:max(0, len(p.Parts)-1)] }

// ForwardRequest describes a request that is forwarded unchanged.
type ForwardRequest struct {
	ID   RequestID
	Host string
	// Path is the path without the query, as sent.
	Path string
	// CallerTimeout is how long the caller waits, counted from the arrival; 0 means that the
	// request states none.
	CallerTimeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has received, or empty for a
	// new stream.
	ResumeAfter string
	// ResumedRequest is the caller's attempt that brought the first event of the stream that
	// it continues, or empty if the request names none.
	ResumedRequest RequestID
	// Prompt is nil if the request describes no prompt.
	Prompt *Prompt
	// Key is the API key, or empty if there is none. IsKeyMalformed is true if the request has
	// credentials in another form than one bearer key.
	Key            string
	IsKeyMalformed bool
}

// StreamRequest returns the caller's attempt that brought the first event of the stream. For a
// new stream, or if the request doesn't name that attempt, it is the request itself.
func (r *ForwardRequest) StreamRequest() RequestID {
	if r.ResumeAfter == "" || r.ResumedRequest == "" {
		return r.ID
	}
	return r.ResumedRequest
}

// Registration is a target's entry in the platform's registry.
type Registration struct {
	Target
	// Started is when the target's process started, in milliseconds of its own wall
	// clock. A restart under the same ID changes it. 0 means unknown.
	Started int64
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Leaving is true while the target finishes its work and accepts no more.
	Leaving bool
	// WarmUpRemaining is the rest of the warm-up time after the target's start, in which it
	// is slow.
	WarmUpRemaining time.Duration `cbor:"ColdLeft"`
	// Sequence is the heartbeat number: the count of entries that the target wrote since its
	// start. A lower number belongs to an older entry that arrived late.
	Sequence uint64 `cbor:"Beat"`
	// Version is the version of the target's software; empty means unknown.
	Version SoftwareVersion `cbor:",omitempty"`
	// IsReclaimable is true if the platform may take the target away at short notice. LeavesIn is the
	// time left when it did so, or 0.
	IsReclaimable bool          `cbor:",omitempty"`
	LeavesIn      time.Duration `cbor:",omitempty"`
}

// CacheSource locates a KV cache that a target imports before it generates tokens.
type CacheSource struct {
	// Address is the address of the target that holds the cache.
	Address string
	// Handle identifies the cache on that target.
	Handle string
}

// IsZero reports whether there is nothing to import.
func (s CacheSource) IsZero() bool { return s.Handle == "" }

// Attempt describes one attempt to run a request on a target.
type Attempt struct {
	Target TargetID
	// Access is what the caller's API key grants.
	Access Access
	// Remaining is the time left for the target to answer.
	Remaining time.Duration
	// PrefillOnly computes the prompt and keeps its KV cache for import elsewhere.
	PrefillOnly bool
	Source      CacheSource
	// FetchFrom is the address of a target that has cached prompt parts which this target
	// lacks and fetches from there. If it is empty, this target computes them.
	FetchFrom string
	// ResumeAfter is the ID of the last event received from an earlier attempt.
	ResumeAfter string
}
