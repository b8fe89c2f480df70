package stream

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Options configures a relay. Completer, Clock and Signer are required; other zero
// fields get defaults.
type Options struct {
	Completer core.Completer
	Clock     core.ClockProvider
	Signer    *TokenSigner
	// Recorder gets one event per resume, rerun and end; nil records nothing.
	Recorder core.Recorder
	// HeartbeatInterval is the time between two looks at a stream; the default is
	// 1 s. A caller that got nothing since the last look gets a heartbeat.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of intervals without a piece or heartbeat
	// after which an engine's connection counts as silent; the default is 3.
	MissedHeartbeats int
	// WriteTimeout is how long one write to a caller may take; the default is 15 s.
	WriteTimeout time.Duration
	// CancelTimeout bounds the call that cancels a stream; the default is 1 s.
	CancelTimeout time.Duration
	// MaxAttempts bounds the targets tried for one request; the default is 4.
	MaxAttempts int
	// MergeBytes bounds the text merged into one event; the default is 1 KB.
	MergeBytes int
	// Random returns numbers from 0 to 1 that spread pauses; the default is
	// rand.Float64.
	Random func() float64
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = time.Second
	}
	if o.MissedHeartbeats == 0 {
		o.MissedHeartbeats = 3
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = 15 * time.Second
	}
	if o.CancelTimeout == 0 {
		o.CancelTimeout = time.Second
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = 4
	}
	if o.MergeBytes == 0 {
		o.MergeBytes = 1 << 10
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

// Candidate is a target for one attempt.
type Candidate struct {
	Target  core.TargetID
	Address string
	// ImportFrom is the address of an engine to import the KV cache from.
	ImportFrom string
}

// Attempt tells how one try on a target ended.
type Attempt struct {
	Target core.TargetID
	// Resume is true if the try continued a stream.
	Resume bool
	// Err is nil if the answer was completed.
	Err error
	// Abandoned is true if the try was ended from this side, which says nothing
	// about the target.
	Abandoned bool
}

// Call is one request to relay.
type Call struct {
	// Request gives organisation, deadline and whether the work is repeatable. A
	// deadline of 0 means none. After the first token the deadline only bars reruns.
	Request *core.Request
	// Completion is sent to each target; its Attempt is extended by a number. It
	// may be empty if Resume is set, which excludes reruns.
	Completion core.CompletionRequest
	// Targets returns a target that is not in exclude. It returns false if there is
	// none.
	Targets func(exclude []core.TargetID) (Candidate, bool)
	// Resume continues an answer after this position.
	Resume *Position
	// OnAttempt is told of each try, for circuit breakers and load; it may be nil.
	OnAttempt func(Attempt)
}

// Sink writes the events of one answer to a caller. Calls of its methods don't
// overlap, except that Interrupt may come at any time.
type Sink interface {
	// Write writes text. id is the resume token of the position after it. The
	// slices are valid during the call only. Text may stay buffered until Flush.
	Write(text, id []byte, tokens int) error
	// Flush sends what was written.
	Flush() error
	// Heartbeat sends a sign of life.
	Heartbeat() error
	// Finish sends the terminal event; tokens is the length of the whole answer.
	Finish(tokens int) error
	// Fail sends a typed error. id is a resume token, or empty if the answer can't
	// be continued.
	Fail(refusal *core.Refusal, id []byte) error
	// Interrupt makes a blocked call return with an error.
	Interrupt()
}

// Ends of a stream, as reasons in results and events.
const (
	EndComplete      core.Reason = "StreamComplete"
	EndFailed        core.Reason = "StreamFailed"
	EndCallerLeft    core.Reason = "CallerLeft"
	EndCallerStalled core.Reason = "CallerStalled"
	EndHandedOver    core.Reason = "HandedOver"
	EndDeadline      core.Reason = "DeadlinePassed"
	EndDiverged      core.Reason = "RerunDiverged"
)

// Result tells how a stream ended.
type Result struct {
	// Outcome is Done for a complete answer, NotRun if no target ran the request,
	// InProgress for a stream that was handed over, and else Cut.
	Outcome core.OutcomeKind
	Reason  core.Reason
	// Refusal is what the caller was told, if the answer is not complete.
	Refusal *core.Refusal
	// Tokens counts those delivered here and before a resume.
	Tokens int
	// FirstToken is the time until the first token; it is 0 if there was none.
	FirstToken time.Duration
	// Target generated the last part.
	Target  core.TargetID
	Resumes int
	Reruns  int
}

// Relay relays streams. It is safe for concurrent use.
type Relay struct {
	options    Options
	counters   counters
	ended      chan struct{} // the last stream has ended; holds at most one value
	heartbeats chan struct{} // one value per heartbeat being written

	mu      sync.Mutex
	watches map[*watch]struct{}
	looping bool // loop runs
	leaving bool // HandOver was called
}

var (
	errHandOver = errors.New("stream is handed over to another instance")
	errStalled  = errors.New("caller does not read")
	errDeadline = errors.New("deadline passed before the first token")
)

// NewRelay returns a relay without streams.
func NewRelay(o Options) *Relay {
	return &Relay{
		options: o.withDefaults(), ended: make(chan struct{}, 1),
		heartbeats: make(chan struct{}, maxHeartbeats), watches: map[*watch]struct{}{},
	}
}

// HandOver ends all streams with a StreamMoved error that carries a resume token,
// and does the same to each later stream. Their engines go on; the caller
// continues on another instance.
func (r *Relay) HandOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	for w := range r.watches {
		w.end(errHandOver)
	}
}

// Active returns the number of streams that are being served.
func (r *Relay) Active() int { return int(r.counters.open.Load()) }

// Counters holds totals since the relay was made, and the open streams.
type Counters struct {
	Open, Complete, Failed, CallerLeft, Stalled, HandedOver int64
	// Silent counts connections that were given up, Resumes and Reruns what
	// followed; Diverged counts reruns with other text.
	Silent, Resumes, Reruns, Diverged int64
	// Stale and Duplicate pieces were dropped, Reordered pieces were put in order.
	Stale, Duplicate, Reordered int64
	Tokens                      int64
}

type counters struct {
	open, complete, failed, callerLeft, stalled, handedOver atomic.Int64
	silent, resumes, reruns, diverged                       atomic.Int64
	late, doubled, reordered, tokens                        atomic.Int64
}

// Counters returns the current values. Tokens and dropped pieces of a stream are
// added when it ends.
func (r *Relay) Counters() Counters {
	c := &r.counters
	return Counters{
		Open: c.open.Load(), Complete: c.complete.Load(), Failed: c.failed.Load(),
		CallerLeft: c.callerLeft.Load(), Stalled: c.stalled.Load(), HandedOver: c.handedOver.Load(),
		Silent: c.silent.Load(), Resumes: c.resumes.Load(), Reruns: c.reruns.Load(), Diverged: c.diverged.Load(),
		Stale: c.late.Load(), Duplicate: c.doubled.Load(), Reordered: c.reordered.Load(), Tokens: c.tokens.Load(),
	}
}
