// Package forward passes callers' requests on to targets and their answers back,
// unchanged. It asks core for every decision and carries it out.
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
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	gio "gorseline/io"
	"gorseline/io/target"
)

// WorkPublisher tells peers about work that was sent to targets.
type WorkPublisher interface {
	Sent(item load.Item)
	Computed(ref load.Ref)
	Finished(ref load.Ref)
}

// Observer counts what the forwarder does.
type Observer interface {
	// Ended counts a request by route kind, outcome and reason. took is the whole time,
	// first the time until the first byte of the answer, or 0.
	Ended(kind core.RouteKind, outcome core.OutcomeKind, reason core.Reason, took, first time.Duration)
	// Attempted counts a send by what the target did with it.
	Attempted(service core.Service, result string)
}

// Options are the parts of a Forwarder. All are required.
type Options struct {
	Dialect   gio.Dialect
	Pool      *target.Pool
	Assigner  *assign.Assigner
	Board     *load.Tracker
	Roster    *roster.Roster
	Health    *retry.Health
	Budgets   *RetryBudgets
	Clock     core.ClockProvider
	Publisher WorkPublisher
	Observer  Observer
	Log       log.Interface
	// Sender names this process in load keys. Two live processes must not share it.
	Sender uint32
	// MaxBody bounds buffered bodies if the configuration doesn't, in bytes.
	MaxBody int64
}

// Forwarder is the HTTP handler for callers.
type Forwarder struct {
	Options
	table   atomic.Pointer[route.Table]
	serial  atomic.Uint32
	active  atomic.Int64
	leaving atomic.Bool

	mu sync.Mutex
	// patience is the longest time that callers of a route wait, by name.
	patience map[string]time.Duration
	// releases runs the calls that free exports nobody imports.
	releases sync.WaitGroup
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a forwarder without a configuration. It refuses all requests until
// Configure is called.
func New(o Options) *Forwarder {
	return &Forwarder{Options: o, patience: map[string]time.Duration{}}
}

// Configure brings a table of routes into force for new requests. Requests under way
// finish under the table that they began with. Older versions are ignored.
func (f *Forwarder) Configure(t *route.Table) bool {
	for {
		old := f.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return false
		}
		if f.table.CompareAndSwap(old, t) {
			f.forgetRoutes(t)
			return true
		}
	}
}

// forgetRoutes drops what was learned about routes that a configuration no longer has.
func (f *Forwarder) forgetRoutes(t *route.Table) {
	names := map[string]bool{}
	for i := range t.Configuration().Routes {
		names[t.Configuration().Routes[i].Name] = true
	}
	f.Assigner.RetainRoutes(names)
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.patience {
		if !names[name] {
			delete(f.patience, name)
		}
	}
}

// Table returns the table in force, or nil.
func (f *Forwarder) Table() *route.Table { return f.table.Load() }

// Active returns the number of requests under way.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// StartDraining makes the forwarder ask callers to connect elsewhere for their next request.
func (f *Forwarder) StartDraining() { f.leaving.Store(true) }

// WaitForReleases returns when the calls that free exports have ended.
func (f *Forwarder) WaitForReleases() { f.releases.Wait() }

// Reasons of refusals and failures that the forwarder itself finds.
const (
	ReasonMalformed       core.Reason = "Malformed"
	ReasonBodyTooLarge    core.Reason = "BodyTooLarge"
	ReasonNoConfiguration core.Reason = "NoConfiguration"
	ReasonNoRoute         core.Reason = "NoRoute"
	ReasonTargetsRefused  core.Reason = "TargetsRefused"
	ReasonRetryBudget     core.Reason = "RetryBudget"
	ReasonNoAnswer        core.Reason = "NoAnswer"
	ReasonTimeout         core.Reason = "Timeout"
	ReasonCallerLeft      core.Reason = "CallerLeft"
	ReasonAnswerBroken    core.Reason = "AnswerBroken"
	ReasonAnswered        core.Reason = "Answered"
)

// notReadyRetry is when a caller should come back to an instance that has just started and
// knows no configuration or no targets yet.
const notReadyRetry = 300 * time.Millisecond

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	// The answer carries the target's header only.
	w.Header()["Date"] = nil
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r := &run{Forwarder: f, w: w, in: in, arrived: f.Clock.Now()}
	r.serve()
}

// run is one request under way.
type run struct {
	*Forwarder
	w       http.ResponseWriter
	in      *http.Request
	ctx     context.Context
	arrived core.Instant
	// deadline is when the caller must have its answer.
	deadline core.Instant
	req      core.ForwardRequest
	table    *route.Table
	route    *core.Route
	service  core.Service
	body     []byte
	exclude  []core.TargetID
	// runs counts the sends that may have run the request.
	runs  int
	sends int
	// returned says that the caller was refused before.
	returned bool
	first    time.Duration
	last     core.TargetID
	// events counts the events of a stream that were passed on, latest is when the last
	// one arrived, after the request.
	events int
	latest time.Duration
	// prefilled and imported are the times that the two stages of a prompt took until
	// their answers began.
	prefilled time.Duration
	imported  time.Duration
}

func (r *run) serve() {
	if !r.accept() {
		return
	}
	ctx, cancel := context.WithDeadline(r.in.Context(), time.Now().Add(r.remaining()))
	defer cancel()
	r.ctx = ctx
	r.Budgets.Earn(r.service)
	if r.req.Prompt != nil && r.engine() != nil {
		r.servePrompt()
		return
	}
	r.serveCall()
}

// accept reads the request and finds its route. It answers requests that go no further.
func (r *run) accept() bool {
	req, err := r.Dialect.Inbound(r.in)
	r.req = req
	if err != nil {
		r.reject(http.StatusBadRequest, ReasonMalformed, err.Error())
		return false
	}
	r.table = r.Forwarder.table.Load()
	if r.table == nil || r.Roster.View().Len() == 0 {
		r.refuse(ReasonNoConfiguration, notReadyRetry)
		return false
	}
	matched, ok := r.table.Match(req.Host, req.Path)
	if !ok {
		r.reject(http.StatusNotFound, ReasonNoRoute, "no route for this host and path")
		return false
	}
	r.route = matched
	r.service = route.SelectService(matched, req.ID)
	wait := matched.Timeout
	if req.CallerTimeout > 0 && (wait == 0 || req.CallerTimeout < wait) {
		wait = req.CallerTimeout
	}
	r.deadline = r.arrived.Add(wait)
	r.returned = r.hasReturned()
	return r.readBody()
}

// returnedShare is the part of the usual patience below which a caller must have waited
// elsewhere before.
const returnedShare = 0.98

// hasReturned reports whether the caller waits for less time than callers of the route
// usually do, which means that it was refused before.
func (r *run) hasReturned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := r.patience[r.route.Name]
	if r.req.CallerTimeout >= usual {
		r.patience[r.route.Name] = r.req.CallerTimeout
		return false
	}
	return float64(r.req.CallerTimeout) < returnedShare*float64(usual)
}

func (r *run) readBody() bool {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return true
	}
	limit := r.table.Configuration().MaxBodyBytes
	if limit <= 0 {
		limit = r.MaxBody
	}
	control := http.NewResponseController(r.w)
	// Without support for deadlines the context still ends the wait.
	_ = control.SetReadDeadline(time.Now().Add(r.remaining()))
	body, err := readAll(http.MaxBytesReader(r.w, r.in.Body, limit), r.in.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		r.body = body
		return true
	}
	if isTooLarge(err) {
		r.reject(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "body is larger than the limit")
		return false
	}
	r.w.Header().Set("Connection", "close")
	r.reject(http.StatusBadRequest, ReasonMalformed, "body can't be read: "+err.Error())
	return false
}

func (r *run) remaining() time.Duration { return r.deadline.Sub(r.Clock.Now()) }

// objective returns the time left to answer on time.
func (r *run) objective() time.Duration { return r.route.Objective - r.Clock.Now().Sub(r.arrived) }

func (r *run) engine() *core.EngineLimits {
	return r.table.Configuration().Services[r.service].Engine
}

// mayRunAgain reports whether another send may run the request.
func (r *run) mayRunAgain() bool {
	return r.runs == 0 || r.route.Repeatable() && r.runs < r.route.Attempts
}

func (r *run) key() load.Key { return load.Key{Sender: r.Sender, Serial: r.serial.Add(1)} }

// reject answers with a client error.
func (r *run) reject(status int, reason core.Reason, message string) {
	header := r.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(message)))
	r.w.WriteHeader(status)
	// A caller that left can't be told.
	_, _ = r.w.Write([]byte(message))
	r.ended(core.OutcomeNotRun, reason, status)
}

// refuse answers that the request has not run and never will, and when to come back.
func (r *run) refuse(reason core.Reason, after time.Duration) {
	header := r.w.Header()
	seconds := max(after, time.Millisecond).Seconds()
	header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	header.Set("Content-Length", "0")
	r.w.WriteHeader(http.StatusServiceUnavailable)
	r.ended(core.OutcomeNotRun, reason, http.StatusServiceUnavailable)
}

// fail answers that the outcome is unknown, or that the request has not run if no
// target can have run it.
func (r *run) fail(reason core.Reason) {
	if r.in.Context().Err() != nil {
		r.ended(core.OutcomeUnknown, ReasonCallerLeft, 0)
		panic(http.ErrAbortHandler)
	}
	if r.runs == 0 {
		r.refuse(reason, r.remaining()/4)
		return
	}
	status := http.StatusBadGateway
	if r.remaining() <= 0 {
		status, reason = http.StatusGatewayTimeout, ReasonTimeout
	}
	r.w.Header().Set("Content-Length", "0")
	r.w.WriteHeader(status)
	r.ended(core.OutcomeUnknown, reason, status)
}

// ended logs and counts the end of a request.
func (r *run) ended(outcome core.OutcomeKind, reason core.Reason, status int) {
	took := r.Clock.Now().Sub(r.arrived)
	kind, name := core.RouteOnce, ""
	if r.route != nil {
		kind, name = r.route.Kind, r.route.Name
	}
	r.Observer.Ended(kind, outcome, reason, took, r.first)
	fields := log.Fields{
		"Request": r.req.ID, "Route": name, "Service": r.service, "Outcome": outcome, "Reason": reason,
		"Status": status, "Sends": r.sends, "Runs": r.runs, "TookMs": took.Milliseconds(),
		"FirstMs": r.first.Milliseconds(), "Target": r.last, "Returned": r.returned,
	}
	if r.prefilled > 0 {
		fields["PrefillMs"], fields["ImportMs"] = r.prefilled.Milliseconds(), r.imported.Milliseconds()
	}
	if r.events > 0 {
		fields["Events"], fields["LastEventMs"] = r.events, r.latest.Milliseconds()
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
