// Package forward forwards the requests of callers to targets and relays the answers
// unchanged. Package assign and others in core make the decisions; this package carries
// them out.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/apikey"
	"gorseline/core/assign"
	"gorseline/core/drain"
	"gorseline/core/intake"
	"gorseline/core/load"
	"gorseline/core/reach"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/core/targetlimit"
	gio "gorseline/io"
	"gorseline/io/target"
)

// WorkPublisher publishes to the other instances the work that this one sends to targets.
type WorkPublisher interface {
	// Sent publishes work that is being sent.
	Sent(item load.Item)
	// Computed publishes that the prompt of this work has been computed.
	Computed(ref load.Ref)
	// Finished publishes that this work has ended.
	Finished(ref load.Ref)
}

// LimitPublisher publishes the limits that targets state to the other instances.
type LimitPublisher interface {
	// PublishLimit publishes a fact. It doesn't block.
	PublishLimit(fact targetlimit.Fact)
}

// Observer counts requests and sends.
type Observer interface {
	// ObserveRequest counts a request by route kind, outcome and reason. took is the time
	// from its arrival to its end, first the time to the first byte of the answer, or 0
	// without one.
	ObserveRequest(kind core.RouteKind, outcome core.OutcomeKind, reason core.Reason, took, first time.Duration)
	// ObserveSend counts a send by its result.
	ObserveSend(service core.Service, result string)
	// ObserveSilence counts the steps of an engine's silence in the middle of a stream.
	ObserveSilence(service core.Service, step SilenceStep)
	// ObserveRetry counts retries that the budget of a service allowed or denied.
	ObserveRetry(service core.Service, cause RetryCause, retries int, allowed bool, state retry.ShareState)
	// ObserveDetour counts a request that was sent through another instance by what became of it.
	ObserveDetour(service core.Service, result DetourResult)
	// ObserveContinuation counts a request that continues a stream by what became of it.
	ObserveContinuation(service core.Service, result ContinuationResult)
	// ObserveOrganisation counts a request that an organisation's key has admitted by its outcome.
	ObserveOrganisation(organisation core.Organisation, outcome core.OutcomeKind)
}

// Options holds the dependencies and limits of a Forwarder. All fields are required.
type Options struct {
	Dialect   gio.Dialect
	Pool      *target.Pool
	Assigner  *assign.Assigner
	Loads     *load.Tracker
	Roster    *roster.Roster
	Health    *retry.Health
	Budgets   *retry.Shares
	Clock     core.ClockProvider
	Publisher WorkPublisher
	Observer  Observer
	// StreamStarts records at which versions resumable streams begin here, StreamVersions knows
	// those of all instances.
	StreamStarts   core.StreamStartRecorder
	StreamVersions core.StreamVersionProvider
	Quarantine     core.Quarantine
	// Paths knows which services can't be reached from here, Peers the other instances, and Detours
	// chooses between them. Instance is the name of this one.
	Paths    *reach.Paths
	Peers    core.DetourPeerProvider
	Detours  *reach.Detours
	Instance core.InstanceID
	// Pauses holds the pauses that targets ask for.
	Pauses *retry.Pauses
	// Leavings records the targets that state that they leave.
	Leavings core.LeavingRecorder
	// Limits holds the limits that targets state, LimitPublisher tells them to the other instances.
	Limits         *targetlimit.Limits
	LimitPublisher LimitPublisher
	// Currency tells whether an API key that isn't known may have been added since.
	Currency core.CurrencyProvider
	// Usage counts the requests of organisations.
	Usage UsageRecorder
	Log   log.Interface
	// Sender identifies this process in load keys. It must be unique among live processes.
	Sender uint32
	// MaxBodyBytes bounds the body of a request if the configuration doesn't.
	MaxBodyBytes int64
	// Intake bounds the memory that the bodies of all requests hold together.
	Intake core.IntakeBudget
	// BodyPace is the least progress that a body must make.
	BodyPace intake.Pace
	// WriteGrace is how long after the deadline of its request an answer may still be written.
	WriteGrace time.Duration
}

// Forwarder is the HTTP handler for the requests of callers.
type Forwarder struct {
	Options
	table      atomic.Pointer[route.Table]
	loadSerial atomic.Uint32
	active     atomic.Int64
	// leaving is nil until StartDraining is called.
	leaving   atomic.Pointer[leaving]
	durations *drain.Durations
	// stopped ends when EndRequests is called.
	stopped     context.Context
	endRequests context.CancelFunc

	mu sync.Mutex
	// maxCallerTimeout is the longest timeout that a caller has stated, by name of the route.
	maxCallerTimeout map[string]time.Duration
	// releases tracks background calls that free exports. They end with released.
	releases    sync.WaitGroup
	released    context.Context
	endReleases context.CancelFunc
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a forwarder without a configuration. It refuses all requests until
// Configure is called.
func New(o Options) *Forwarder {
	f := &Forwarder{Options: o, durations: drain.NewDurations(), maxCallerTimeout: map[string]time.Duration{}}
	f.stopped, f.endRequests = context.WithCancel(context.Background())
	f.released, f.endReleases = context.WithCancel(context.Background())
	return f
}

// Configure sets the route table for new requests. Requests in progress keep the table
// that they started with. It returns the table in force, which knows how its API keys differ from
// those before, or nil and does nothing if the version is not newer than the current one.
func (f *Forwarder) Configure(t *route.Table) *route.Table {
	for {
		old := f.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return nil
		}
		if with := t.WithPrevious(old); f.table.CompareAndSwap(old, with) {
			f.pruneRoutes(with)
			return with
		}
	}
}

// pruneRoutes deletes the state of routes that are not in the table.
func (f *Forwarder) pruneRoutes(t *route.Table) {
	names := map[string]bool{}
	for i := range t.Configuration().Routes {
		names[t.Configuration().Routes[i].Name] = true
	}
	f.Assigner.RetainRoutes(names)
	f.durations.Retain(names, t.Configuration().Services)
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.maxCallerTimeout {
		if !names[name] {
			delete(f.maxCallerTimeout, name)
		}
	}
}

// Table returns the current route table, or nil if there is none.
func (f *Forwarder) Table() *route.Table { return f.table.Load() }

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// WaitForReleases blocks until all background calls that free exports have ended. At the end of ctx
// it gives up those in progress; each writes a log line.
func (f *Forwarder) WaitForReleases(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.endReleases)
	defer stop()
	f.releases.Wait()
}

// Reasons of refusals, failures and answers that originate in the forwarder.
const (
	ReasonMalformed          core.Reason = "Malformed"
	ReasonBodyTooLarge       core.Reason = "BodyTooLarge"
	ReasonMemoryShort        core.Reason = "MemoryShort"
	ReasonBodyTooSlow        core.Reason = "BodyTooSlow"
	ReasonNoConfiguration    core.Reason = "NoConfiguration"
	ReasonNoRoute            core.Reason = "NoRoute"
	ReasonTargetsRefused     core.Reason = "TargetsRefused"
	ReasonRetryBudget        core.Reason = "RetryBudget"
	ReasonNoAnswer           core.Reason = "NoAnswer"
	ReasonTimeout            core.Reason = "Timeout"
	ReasonCallerLeft         core.Reason = "CallerLeft"
	ReasonAnswerBroken       core.Reason = "AnswerBroken"
	ReasonAnswered           core.Reason = "Answered"
	ReasonLeaving            core.Reason = "Leaving"
	ReasonStopped            core.Reason = "Stopped"
	ReasonPartQuarantined    core.Reason = "PartQuarantined"
	ReasonRequestQuarantined core.Reason = "RequestQuarantined"
	ReasonTargetLimit        core.Reason = "TargetLimit"
)

// notReadyRetryAfter is the retry delay for callers of an instance that has just started
// and has no configuration or no targets yet.
const notReadyRetryAfter = 300 * time.Millisecond

// ServeHTTP forwards one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, in *http.Request) { f.handle(w, in, nil) }

// handle forwards one request. detour is nil unless another instance sends it.
func (f *Forwarder) handle(w http.ResponseWriter, in *http.Request, detour *detourHeader) {
	f.active.Add(1)
	defer f.active.Add(-1)
	// nil keeps the server from adding a Date header to the header of the target.
	w.Header()["Date"] = nil
	if f.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	r := &activeRequest{Forwarder: f, w: w, in: in, detour: detour, arrived: f.Clock.Now()}
	defer r.releaseBody()
	r.limitWrite(0) // the previous request of the connection has left a deadline
	r.serve()
}

// activeRequest is a request in progress.
type activeRequest struct {
	*Forwarder
	w       http.ResponseWriter
	in      *http.Request
	ctx     context.Context
	arrived core.Instant
	// accepted is when the body had been read.
	accepted core.Instant
	// deadline is the time by which the answer must be complete.
	deadline core.Instant
	req      core.ForwardRequest
	table    *route.Table
	route    *core.Route
	service  core.Service
	body     []byte
	// hold is the memory that the body takes; nil without one.
	hold core.IntakeHold
	// verdict is the outcome of the check of the API key.
	verdict apikey.Verdict
	// hasBegun is set once the request is counted as begun by a target.
	hasBegun bool
	// exclude holds the targets that must not be chosen again.
	exclude []core.TargetID
	// isIncludedAgain is set once excluded targets have been allowed again.
	isIncludedAgain bool
	// possibleRuns counts the sends that may have run the request.
	possibleRuns int
	sends        int
	// ledger counts the sends that draw on the retry budget.
	ledger retry.Ledger
	// refusedBefore is true if the caller was probably refused before. It is only logged.
	refusedBefore   bool
	timeToFirstByte time.Duration
	lastTarget      core.TargetID
	lastVersion     core.SoftwareVersion
	// version is the only version at which the stream may go on; nil allows any.
	version *core.SoftwareVersion
	// lastResult is the result of the latest send, lastAttempt what it was.
	lastResult  sendResult
	lastAttempt core.Attempt
	// notSent is true if a send was left out, because the instance leaves before the request
	// would end.
	notSent bool
	// silentTarget is the target of the latest send if its silence is recorded.
	silentTarget core.TargetID
	// traits are the properties by which the request may crash targets.
	traits []core.Trait
	// isProbe is set if the request is sent to find out whether a quarantined trait still crashes
	// targets. quarantined is the reason why a send was left out, or empty.
	isProbe     bool
	quarantined core.Reason
	// sentAt is the time of the latest send.
	sentAt core.Instant
	// wasLost is set once a target has lost the request.
	wasLost bool
	// detour is what the instance states that sends the request; nil if the caller sends it.
	detour *detourHeader
	// hasDetoured is set once the request is sent through another instance, detourPeer is the address of
	// the one that has answered it.
	hasDetoured bool
	detourPeer  string
	// statedLeaving names a target that states that it leaves, in the form of headerLeaving; empty for
	// none.
	statedLeaving string
	// connectFailures counts the targets to which no connection could be opened.
	connectFailures int
	// framing is that of the relayed answer of the first target, or empty without one.
	framing target.Framing
	// isOpenEnded is set while nothing but the end of the caller's connection will mark that of its answer.
	// endEvidence tells what was known of the target at an unstated end, brokenBy why a body was cut.
	isOpenEnded bool
	endEvidence EndEvidence
	brokenBy    error
	// events counts the relayed events of a stream. lastEventTime is the time from the
	// arrival of the request to the last one.
	events        int
	lastEventTime time.Duration
	// prefillTime is the duration of a prefill, importTime the time from the send that
	// imports its KV cache to the header of the answer.
	prefillTime time.Duration
	importTime  time.Duration
}

func (r *activeRequest) serve() {
	if !r.accept() {
		return
	}
	r.accepted = r.Clock.Now()
	if !r.allowArrival() {
		return
	}
	ctx, cancel := context.WithDeadline(r.in.Context(), time.Now().Add(r.remaining()))
	defer cancel()
	stopWatch := context.AfterFunc(r.stopped, cancel)
	defer stopWatch()
	r.ctx = ctx
	if r.detour == nil {
		r.Budgets.Deposit(r.service) // once for both instances
	}
	if !r.acceptDetour() || !r.requireVersion() {
		return
	}
	r.traits = r.traitsOf()
	if !r.allowTraits() {
		return
	}
	if r.Paths.IsCut(r.service) && r.takeDetour() {
		return
	}
	if r.req.Prompt != nil && r.engineLimits() != nil {
		r.servePrompt()
		return
	}
	r.serveCall()
}

// accept reads the request and finds its route. It returns false if it has answered the
// request with an error.
func (r *activeRequest) accept() bool {
	req, err := r.Dialect.ReadInbound(r.in)
	r.req = req
	if err != nil {
		r.reject(http.StatusBadRequest, ReasonMalformed, err.Error())
		return false
	}
	r.table = r.Forwarder.table.Load()
	if r.table == nil || r.Roster.View().Len() == 0 {
		r.refuse(ReasonNoConfiguration, notReadyRetryAfter)
		return false
	}
	if r.hasStaleConfiguration() {
		r.refuse(ReasonStaleConfiguration, notReadyRetryAfter)
		return false
	}
	matched, ok := r.table.Match(req.Host, req.Path)
	if !ok {
		r.reject(http.StatusNotFound, ReasonNoRoute, "no route for this host and path")
		return false
	}
	r.route = matched
	if !r.checkKey() {
		return false
	}
	r.service = route.SelectService(matched, req.StreamRequest())
	timeout := matched.Timeout
	if req.CallerTimeout > 0 && (timeout == 0 || req.CallerTimeout < timeout) {
		timeout = req.CallerTimeout
	}
	r.deadline = r.arrived.Add(timeout)
	r.limitWrite(r.remaining())
	r.refusedBefore = r.wasRefusedBefore()
	return r.takeBody()
}

// refusedBeforeShare is the fraction of the longest caller timeout below which a caller is
// taken to have spent part of its time on an earlier attempt.
const refusedBeforeShare = 0.98

// wasRefusedBefore reports whether the caller states a clearly shorter timeout than the
// longest one of its route, which indicates that it retries after a refusal.
func (r *activeRequest) wasRefusedBefore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := r.maxCallerTimeout[r.route.Name]
	if r.req.CallerTimeout >= longest {
		r.maxCallerTimeout[r.route.Name] = r.req.CallerTimeout
		return false
	}
	return float64(r.req.CallerTimeout) < refusedBeforeShare*float64(longest)
}

// remaining returns the time until the deadline.
func (r *activeRequest) remaining() time.Duration { return r.deadline.Sub(r.Clock.Now()) }

// isOutOfTime reports whether the deadline has passed or the request was given up. Connections and
// sends that fail then say nothing about their peers.
func (r *activeRequest) isOutOfTime() bool { return r.ctx.Err() != nil || r.remaining() <= 0 }

// remainingObjective returns the time until the objective of the route is missed.
func (r *activeRequest) remainingObjective() time.Duration {
	return r.route.Objective - r.Clock.Now().Sub(r.arrived)
}

// engineLimits returns the limits of the engines of the service, or nil if its targets
// are not engines.
func (r *activeRequest) engineLimits() *core.EngineLimits {
	return r.table.Configuration().Services[r.service].Engine
}

// mayRunAgain reports whether another send may run the request.
func (r *activeRequest) mayRunAgain() bool {
	return r.possibleRuns == 0 || r.route.Repeatable() && r.possibleRuns < r.route.Attempts && !r.mayCrashAgain()
}

func (r *activeRequest) nextLoadKey() load.Key {
	return load.Key{Sender: r.Sender, Serial: r.loadSerial.Add(1)}
}

// reject answers with a client error and a message.
func (r *activeRequest) reject(status int, reason core.Reason, message string) {
	header := r.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(message)))
	r.w.WriteHeader(status)
	// The outcome is the same if the caller has disconnected.
	_, _ = r.w.Write([]byte(message))
	r.recordEnd(core.OutcomeNotRun, reason, status)
}

// refuse answers that the request has not run and will not run, and that the caller may
// retry after the given time.
func (r *activeRequest) refuse(reason core.Reason, after time.Duration) {
	header := r.w.Header()
	seconds := max(after, time.Millisecond).Seconds()
	header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	header.Set("Content-Length", "0")
	r.stateNotRun(reason)
	r.w.WriteHeader(http.StatusServiceUnavailable)
	r.recordEnd(core.OutcomeNotRun, reason, http.StatusServiceUnavailable)
}

// fail answers with a gateway error if a target may have run the request, and refuses it
// otherwise. If the caller has disconnected it aborts the connection instead.
func (r *activeRequest) fail(reason core.Reason) {
	if r.in.Context().Err() != nil {
		r.recordEnd(core.OutcomeUnknown, ReasonCallerLeft, 0)
		r.cutAnswer()
	}
	if r.possibleRuns == 0 {
		r.refuse(reason, r.retryAfter())
		return
	}
	r.recordDoubtful()
	status := http.StatusBadGateway
	if r.remaining() <= 0 {
		status, reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	r.w.Header().Set("Content-Length", "0")
	r.stateFailed(reason)
	r.w.WriteHeader(status)
	r.recordEnd(core.OutcomeUnknown, reason, status)
}

// recordEnd logs and counts the end of a request.
func (r *activeRequest) recordEnd(outcome core.OutcomeKind, reason core.Reason, status int) {
	reason = r.endReason(reason)
	took := r.Clock.Now().Sub(r.arrived)
	kind, name := core.RouteOnce, ""
	if r.route != nil {
		kind, name = r.route.Kind, r.route.Name
	}
	r.Observer.ObserveRequest(kind, outcome, reason, took, r.timeToFirstByte)
	r.learnDuration(outcome, status)
	fields := log.Fields{
		"Request": r.req.ID, "Route": name, "Service": r.service, "Outcome": outcome, "Reason": reason,
		"Status": status, "Sends": r.sends, "Runs": r.possibleRuns, "Extra": r.ledger.Extra(), "TookMs": took.Milliseconds(),
		"FirstMs": r.timeToFirstByte.Milliseconds(), "Target": r.lastTarget, "Version": r.lastVersion, "Returned": r.refusedBefore,
	}
	r.addContinuation(fields)
	r.observeContinuation(reason)
	r.addAccess(fields)
	if organisation := r.verdict.Access.Organisation; organisation != "" {
		r.Observer.ObserveOrganisation(organisation, outcome)
	}
	if r.detour != nil {
		fields["From"] = r.detour.from
	}
	if r.detourPeer != "" {
		fields["Peer"] = r.detourPeer
	}
	if r.framing != "" {
		fields["Framing"] = r.framing
	}
	if r.endEvidence != "" {
		fields["End"] = r.endEvidence
	}
	if r.brokenBy != nil {
		fields["Error"] = r.brokenBy.Error()
	}
	if r.prefillTime > 0 {
		fields["PrefillMs"], fields["ImportMs"] = r.prefillTime.Milliseconds(), r.importTime.Milliseconds()
	}
	if r.events > 0 {
		fields["Events"], fields["LastEventMs"] = r.events, r.lastEventTime.Milliseconds()
	}
	if r.table != nil {
		fields["Configuration"] = r.table.Version()
	}
	entry := r.Log.WithFields(fields)
	if outcome == core.OutcomeDone {
		entry.Info("RequestEnded")
		return
	}
	entry.Warn("RequestEnded")
}
