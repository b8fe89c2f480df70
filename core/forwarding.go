package core

import "time"

// RouteKind says how often a request on a route may run.
type RouteKind uint8

// Kinds of routes. The zero value is the strictest.
const (
	// RouteOnce runs at most once.
	RouteOnce RouteKind = iota
	// RouteRepeatable may run any number of times.
	RouteRepeatable
	// RouteStream answers with a stream of events. It runs at most once unless the
	// route is resumable.
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

// Split sends a share of a route's requests to a service.
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
	// Timeout is the longest time that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Objective is the time allowed until the answer, for streams until the first event.
	Objective time.Duration
	// PauseObjective is the longest pause allowed between the events of a stream.
	PauseObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Attempts bounds the targets that one request may be sent to.
	Attempts int
	// Prompted routes carry a prompt that engines compute and cache.
	Prompted bool
	// Resumable streams may continue on another target after the last event received.
	Resumable bool
	// Splits is never empty in a valid route.
	Splits []Split
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// EngineLimits describe the engines of a service. Zero fields are unknown.
type EngineLimits struct {
	// Slots is the number of sequences that run at once.
	Slots int
	// CacheTokens is the KV cache of one engine in tokens, CacheTokenBytes the size of one.
	CacheTokens     int
	CacheTokenBytes int
	// LinkBytes is the rate of KV cache transfers of one engine in bytes per second.
	LinkBytes float64
	// RoleChange is how long an engine is away while it changes its role.
	RoleChange time.Duration
}

// ServiceLimits describe the targets of one service.
type ServiceLimits struct {
	Name       Service
	HealthPath string
	// MaxConnections bounds the connections that one target accepts from all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// Forwarding is an accepted configuration of routes. It is immutable.
type Forwarding struct {
	Version  Revision
	Routes   []Route
	Services map[Service]ServiceLimits
	// MaxBodyBytes bounds the body of a request; 0 means that the configuration doesn't.
	MaxBodyBytes int64
}

// PromptPart is one part of a prompt. Requests share leading parts.
type PromptPart struct {
	// ID names the part's content.
	ID     uint64
	Tokens int
}

// Prompt is what a caller states about the prompt of a request.
type Prompt struct {
	Model Model
	Parts []PromptPart
	// Tokens is the whole length, at least the sum of the parts.
	Tokens int
	// MaxOutput bounds the answer, in tokens; ExpectedOutput is the caller's estimate,
	// or 0.
	MaxOutput      int
	ExpectedOutput int
}

// ForwardRequest is a request that is passed on unchanged.
type ForwardRequest struct {
	ID   RequestID
	Host string
	// Path is the path without the query, as sent.
	Path string
	// CallerTimeout is how long the caller waits, from the arrival; 0 means that it did not say.
	CallerTimeout time.Duration
	// Prompt is nil if the request states none.
	Prompt *Prompt
}

// Registration is a target's entry in the platform's registry.
type Registration struct {
	Target
	// Started is when the target's process started, in milliseconds of its own wall
	// clock. A restart under the same ID changes it. 0 means unknown.
	Started int64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving targets finish their work and get no more.
	Leaving bool
	// ColdLeft is how much longer the target is slow after its start.
	ColdLeft time.Duration
	// Beat counts the entries that this start of the target wrote. A lower number is an
	// older entry that arrived late.
	Beat uint64
}

// CacheSource names a KV cache that a target imports before it generates.
type CacheSource struct {
	// Address of the target that holds the cache.
	Address string
	Handle  string
}

// IsZero reports whether there is nothing to import.
func (s CacheSource) IsZero() bool { return s.Handle == "" }

// Attempt is one send of a request to a target.
type Attempt struct {
	Target TargetID
	// Remaining is the time that the target may use.
	Remaining time.Duration
	// PrefillOnly computes the prompt and keeps its KV cache for import elsewhere.
	PrefillOnly bool
	Source      CacheSource
	// FetchFrom is the address of a target from which the parts of the prompt are fetched
	// that it holds and this one lacks; empty computes them.
	FetchFrom string
	// ResumeAfter is the ID of the last event received of an earlier attempt.
	ResumeAfter string
}
