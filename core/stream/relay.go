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
	// Recorder records one event per resume, rerun, failed cancellation and end of a
	// stream; nil records nothing.
	Recorder core.Recorder
	// HeartbeatInterval is the time between two inspections of a stream; the default
	// is 1 s. A caller that was sent nothing since the last inspection gets a heartbeat.
	HeartbeatInterval time.Duration
	// MissedHeartbeats is the number of consecutive intervals without a piece or
	// heartbeat after which an engine's connection counts as silent; the default is 3.
	MissedHeartbeats int
	// WriteTimeout is how long one write to a caller may take; the default is 15 s.
	WriteTimeout time.Duration
	// CancelTimeout bounds the call that cancels a stream; the default is 1 s.
	CancelTimeout time.Duration
	// MaxAttempts bounds the targets that one request is sent to; the default is 4.
	MaxAttempts int
	// MergeBytes is the length of text from which no further pieces are merged into an
	// event; the default is 1 KiB.
	MergeBytes int
	// Random returns numbers in [0, 1) for the jitter of backoff delays; the default
	// is rand.Float64.
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

// Attempt describes how one attempt on a target ended.
type Attempt struct {
	Target core.TargetID
	// Resume is true if the attempt continued a stream.
	Resume bool
	// Err is nil if the answer was completed.
	Err error
	// Abandoned is true if the relay or the caller ended the attempt. It is then
	// neither a success nor a failure of the target.
	Abandoned bool
}

// Call is a request whose answer is relayed.
type Call struct {
	// Request holds the organisation, the deadline and whether the work is repeatable.
	// A deadline of 0 means none. After the first token the deadline only prevents
	// reruns and further resumes of a failing stream.
	Request *core.Request
	// Completion is sent to each target, with the number of the attempt appended to
	// its Attempt. It may be empty if Resume is set; the answer is then never rerun.
	Completion core.CompletionRequest
	// ChooseTarget returns a target that is not in exclude. It returns false if there is
	// none.
	ChooseTarget func(exclude []core.TargetID) (Candidate, bool)
	// Resume is the position after which an answer continues; nil starts a new answer.
	Resume *Position
	// OnAttempt is called at the end of each attempt, for circuit breakers and load
	// accounting; it may be nil.
	OnAttempt func(Attempt)
}

// Sink writes the events of one answer to a caller. Calls of its methods don't
// overlap, except that Interrupt may be called at any time.
type Sink interface {
	// Write writes text. id is the resume token of the position after it. The
	// slices are valid during the call only. Text may stay buffered until Flush.
	Write(text, id []byte, tokens int) error
	// Flush sends buffered text.
	Flush() error
	// Heartbeat sends a keep-alive that carries no text.
	Heartbeat() error
	// Finish sends the terminal event; tokens is the number of tokens of the whole
	// answer.
	Finish(tokens int) error
	// Fail sends a typed error as the last event. id is a resume token, or empty if the
	// answer can't be continued.
	Fail(refusal *core.Refusal, id []byte) error
	// Interrupt makes a blocked call return with an error.
	Interrupt()
}

// Reasons why a stream ended, in results and events.
const (
	EndComplete      core.Reason = "StreamComplete"
	EndFailed        core.Reason = "StreamFailed"
	EndCallerLeft    core.Reason = "CallerLeft"
	EndCallerStalled core.Reason = "CallerStalled"
	EndHandedOver    core.Reason = "HandedOver"
	EndDeadline      core.Reason = "DeadlinePassed"
	EndDiverged      core.Reason = "RerunDiverged"
)

// Result describes how a stream ended.
type Result struct {
	// Outcome is Done for a complete answer, NotRun if no target ran the request,
	// InProgress for a stream that was handed over, and Cut otherwise.
	Outcome core.OutcomeKind
	Reason  core.Reason
	// Refusal is the error for the caller; it is nil if the engine completed the
	// answer. It is not sent to a caller that has disconnected or stalled.
	Refusal *core.Refusal
	// Tokens counts the tokens delivered, including those before Call.Resume.
	Tokens int
	// FirstToken is the time from the call of Serve to the first token; it is 0 if there
	// was none, or if Call.Resume lies after the first token.
	FirstToken time.Duration
	// Target is the target of the last attempt.
	Target  core.TargetID
	Resumes int
	Reruns  int
}

// Relay relays streams. It is safe for concurrent use.
type Relay struct {
	options        Options
	counters       counters
	allEnded       chan struct{} // signals that no stream is left; capacity 1
	heartbeatSlots chan struct{} // semaphore of heartbeats being written

	mu          sync.Mutex
	monitors    map[*monitor]struct{}
	loopRunning bool
	handingOver bool // set by HandOver
}

var (
	errHandedOver = errors.New("stream is handed over to another instance")
	errStalled    = errors.New("caller does not read")
	errDeadline   = errors.New("deadline passed before the first token")
)

// NewRelay returns a relay without streams.
func NewRelay(o Options) *Relay {
	return &Relay{
		options: o.withDefaults(), allEnded: make(chan struct{}, 1),
		heartbeatSlots: make(chan struct{}, maxConcurrentHeartbeats), monitors: map[*monitor]struct{}{},
	}
}

// HandOver ends all current and later streams with a StreamMoved error that carries a
// resume token. The engines continue to generate, and callers resume their streams on
// another instance.
func (r *Relay) HandOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handingOver = true
	for m := range r.monitors {
		m.cancelStream(errHandedOver)
	}
}

// Active returns the number of streams that are being served.
func (r *Relay) Active() int { return int(r.counters.open.Load()) }

// Counters holds the number of open streams, and totals since the relay was created.
type Counters struct {
	Open, Complete, Failed, CallerLeft, Stalled, HandedOver int64
	// Silent counts engine connections that were closed because they were silent.
	// Diverged counts streams that failed because a rerun gave other text.
	Silent, Resumes, Reruns, Diverged int64
	// Stale counts dropped pieces of another stream or attempt, Duplicate dropped pieces
	// that were received before, and Reordered pieces that arrived before an earlier one.
	Stale, Duplicate, Reordered int64
	Tokens                      int64
}

type counters struct {
	open, complete, failed, callerLeft, stalled, handedOver atomic.Int64
	silent, resumes, reruns, diverged                       atomic.Int64
	stale, duplicate, reordered, tokens                     atomic.Int64
}

// Counters returns the current values. Open and Silent are updated at once, the other
// values when a stream ends, and those of pieces also when it is rerun.
func (r *Relay) Counters() Counters {
	c := &r.counters
	return Counters{
		Open: c.open.Load(), Complete: c.complete.Load(), Failed: c.failed.Load(),
		CallerLeft: c.callerLeft.Load(), Stalled: c.stalled.Load(), HandedOver: c.handedOver.Load(),
		Silent: c.silent.Load(), Resumes: c.resumes.Load(), Reruns: c.reruns.Load(), Diverged: c.diverged.Load(),
		Stale: c.stale.Load(), Duplicate: c.duplicate.Load(), Reordered: c.reordered.Load(), Tokens: c.tokens.Load(),
	}
}
