package platform

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RequestFault is a fault that a target injects into one request.
type RequestFault string

// Faults of a request. A fault that doesn't apply to the kind of a request is ignored.
const (
	// Shed refuses the request with 503 and states that it was not executed.
	Shed RequestFault = "Shed"
	// Fail runs the request and answers 500.
	Fail RequestFault = "Fail"
	// Reset runs the request and resets the connection.
	Reset RequestFault = "Reset"
	// Hang runs the request and never answers.
	Hang RequestFault = "Hang"
	// Slow runs the request and answers after SlowAnswer.
	Slow RequestFault = "Slow"
	// Torn runs the request and resets the connection in the middle of the response body.
	Torn RequestFault = "Torn"
	// Extra sends a second response, with another request's ID, after the proper one.
	Extra RequestFault = "Extra"
	// Unframed answers without Content-Length or chunks and closes the connection.
	Unframed RequestFault = "Unframed"
	// UnframedReset answers without Content-Length or chunks and resets the connection.
	UnframedReset RequestFault = "UnframedReset"
	// UnframedCut ends a stream without Content-Length or chunks in the middle of its third event.
	UnframedCut RequestFault = "UnframedCut"
	// UnframedEmpty ends a stream without Content-Length or chunks after its header.
	UnframedEmpty RequestFault = "UnframedEmpty"
	// Early refuses the request before it has read the body, then reads the body and keeps
	// the connection open.
	Early RequestFault = "Early"
	// Noise sends bytes that are not an HTTP response.
	Noise RequestFault = "Noise"
	// CutStream sends two events and a part of the third, then resets the connection.
	CutStream RequestFault = "CutStream"
	// Stall sends two events, then nothing while the connection stays open.
	Stall RequestFault = "Stall"
	// Pause sends two events, then nothing for PauseTime, then the rest. A plain server pauses
	// before its response.
	Pause RequestFault = "Pause"
	// PauseFirst is Pause between the header of a stream and its first event.
	PauseFirst RequestFault = "PauseFirst"
	// EndlessHead sends a header without end, EndlessInterim interim responses without end.
	EndlessHead    RequestFault = "EndlessHead"
	EndlessInterim RequestFault = "EndlessInterim"
	// EndlessBody answers with a body without end that is no answer, EndlessRefusal refuses the request
	// with such a body. DrippingBody and DrippingRefusal send bodies that come slowly.
	EndlessBody     RequestFault = "EndlessBody"
	EndlessRefusal  RequestFault = "EndlessRefusal"
	DrippingBody    RequestFault = "DrippingBody"
	DrippingRefusal RequestFault = "DrippingRefusal"
	// CrashedUnder marks the runs that a crash of the target has ended; it can't be injected.
	CrashedUnder RequestFault = "CrashedUnder"
	// Repeat refuses the request like Shed, and writes the refusal once more before the answer to the next
	// request on the connection. RepeatUnnamed does so without the ID of the request.
	Repeat        RequestFault = "Repeat"
	RepeatUnnamed RequestFault = "RepeatUnnamed"
	// LoseHandle refuses a request that imports a KV cache, whose handle is gone.
	LoseHandle RequestFault = "LoseHandle"
)

// SlowAnswer is the time after which a request with the fault Slow is answered.
const SlowAnswer = 700 * time.Millisecond

// PauseTime is the pause of a request with the fault Pause.
const PauseTime = 1400 * time.Millisecond

// Run is a request that a target executed.
type Run struct {
	ID, Method, Path, Body string
	Header                 http.Header
	// Cancelled is set if the connection was closed before the response was complete.
	Cancelled bool
	// CancelledAt is when that was noticed, which is at once while the target pauses or hangs in
	// the middle of a stream.
	CancelledAt time.Time
	// StartedAt and EndedAt are the start and the end of the run; EndedAt is zero during the run.
	StartedAt, EndedAt time.Time
	// Fault is the fault that was injected into the request; empty is none.
	Fault RequestFault
}

// Arrival is a request that reached a target, also one that the target refused.
type Arrival struct {
	ID string
	// Prefill is set if only the prompt was to be computed. Accepted is set unless the target
	// refused the request.
	Prefill, Accepted bool
	At                time.Time
	// Remaining is the time that the request gave the target; 0 if it stated none.
	Remaining time.Duration
	// Limit is the limit that the answer states in requests a second; 0 is none.
	Limit float64
	// Leaving is set if the answer states that the target leaves. Pause is the pause that it asks for; 0
	// is none. Born is the number of earlier processes of the target.
	Leaving bool
	Pause   time.Duration
	Born    int64
	Header  http.Header
}

// LimitChange is a change of the limit that a target states.
type LimitChange struct {
	At    time.Time
	Limit float64
}

// Target is a fake of a model server or a plain server. It is safe for concurrent use.
type Target struct {
	id       string
	phase    string
	version  string
	listener net.Listener
	// goroutines counts those of the listener and of open connections.
	goroutines sync.WaitGroup

	mu sync.Mutex
	// faults are queued for the next requests, one for each. lastingFault applies to a share
	// of all others.
	faults       []RequestFault
	lastingFault RequestFault
	lastingShare float64
	rng          *rand.Rand
	runs         []Run
	arrivals     []Arrival
	prefills     int
	// handles holds the handles of computed prompts that have not been released.
	handles        map[string]bool
	released       int
	lastHandle     int
	orders         []Order
	orderCount     uint64
	processingTime time.Duration
	// slowTime replaces processingTime for paths that end with slowPath; empty is none.
	slowPath      string
	slowTime      time.Duration
	eventCount    int
	eventInterval time.Duration
	// streamStatus and streamType are those of SetStreamHead.
	streamStatus int
	streamType   string
	leftover     string
	// maxRecordedBody is the length of the longest body that runs keep; 0 keeps all.
	maxRecordedBody int
	// isUnnamed is set if answers leave out the ID of their request.
	isUnnamed       bool
	conns           map[net.Conn]bool
	connectionCount int
	// cacheList is the body of the answer to a request for the cached parts.
	cacheList string
	// limit is the number of requests a second that answers state; 0 states none.
	limit        float64
	limitChanges []LimitChange
	// statesLeaving is set if answers state that the target leaves. retryAfter is the pause that refusals
	// ask for; empty refuses nothing.
	statesLeaving bool
	retryAfter    string
	// frozenUntil is the end of the latest freeze.
	frozenUntil time.Time
	// crashPart is the part of prompts that crashes the target, crashPath the text in paths that does.
	// downTime is how long it is down then.
	crashPart, crashPath string
	downTime             time.Duration
	// crashAfter is the number of events that an engine sends before such a crash.
	crashAfter int
	crashes    []time.Time
	// causedCrashes holds those of crashes that requests have caused.
	causedCrashes []CausedCrash
	isDown        bool
	onDown        func(isDown bool)
	// endlessBytes counts the bytes that were sent without end.
	endlessBytes int
	endlessEnds  []time.Time
	// born counts the starts of the target's process after the first one.
	born     int64
	isClosed bool
	// closed is closed when Close is called.
	closed chan struct{}
}

// NewTarget starts a target on a loopback address. phase is prefill, decode or empty for
// a plain server.
func NewTarget(id, phase string) (*Target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{
		id: id, phase: phase, listener: listener, handles: map[string]bool{}, eventCount: 4, conns: map[net.Conn]bool{},
		rng:    rand.New(rand.NewPCG(uint64(len(id)), uint64(id[len(id)-1]))),
		closed: make(chan struct{}),
	}
	t.goroutines.Go(func() { t.runAccept(listener) })
	return t, nil
}

// Address returns the target's address.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address()
}

// address returns the target's address. The lock must be held.
func (t *Target) address() string { return t.listener.Addr().String() }

// ID returns the target's ID.
func (t *Target) ID() string { return t.id }

// Close stops the target, closes its connections and waits for its goroutines.
func (t *Target) Close() {
	t.mu.Lock()
	if !t.isClosed {
		t.isClosed = true
		close(t.closed)
	}
	_ = t.listener.Close()
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// InjectFaults queues faults for the next requests, one for each.
func (t *Target) InjectFaults(faults ...RequestFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// SetLastingFault sets the fault of a random share of the requests for which none is queued;
// empty is none.
func (t *Target) SetLastingFault(fault RequestFault, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastingFault, t.lastingShare = fault, share
}

// SetProcessingTime sets how long an executed request or the computation of a prompt takes before
// its response starts.
func (t *Target) SetProcessingTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processingTime = d
}

// SetSlowPath sets how long requests take whose path ends with a text.
func (t *Target) SetSlowPath(end string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowPath, t.slowTime = end, d
}

// SetEvents sets the number of events of a stream and the time between two of them.
func (t *Target) SetEvents(count int, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eventCount, t.eventInterval = count, interval
}

// SetLimit sets the number of requests a second that the target states in its answers; 0 states
// none.
func (t *Target) SetLimit(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = perSecond
	t.limitChanges = append(t.limitChanges, LimitChange{time.Now(), perSecond})
}

// LimitChanges returns the changes of the stated limit, in order.
func (t *Target) LimitChanges() []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]LimitChange(nil), t.limitChanges...)
}

// stateHeader returns the lines of the header that state the limit and that the target leaves.
func (t *Target) stateHeader() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := ""
	if t.limit != 0 {
		lines += fmt.Sprintf("Server-Limit: %g\r\n", t.limit)
	}
	if t.statesLeaving {
		lines += "Server-Leaving: 1\r\n"
	}
	return lines
}

// SetLeaving sets whether answers state that the target leaves.
func (t *Target) SetLeaving(isLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statesLeaving = isLeaving
}

// Ask makes the target refuse all requests and ask for a pause: retryAfter is the value of the header.
// The empty one ends that.
func (t *Target) Ask(retryAfter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter = retryAfter
}

// pauseTime returns the pause that refusals ask for, or 0. The lock must be held.
func (t *Target) pauseTime() time.Duration {
	seconds, err := strconv.ParseFloat(t.retryAfter, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// askedPause returns the lines of the header of a refusal that asks for a pause, or "".
func (t *Target) askedPause() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retryAfter == "" {
		return ""
	}
	return "X-Not-Executed: 1\r\nRetry-After: " + t.retryAfter + "\r\n"
}

// SetVersion sets the software version in the registry entry and makes the events of streams name it.
// It must be called before the first request.
func (t *Target) SetVersion(version string) { t.version = version }

// Runs returns the executed requests, without prompts computed for another engine.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Arrivals returns the requests that reached the target, in the order of their arrival.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Prefills returns the number of prompts that were computed for another engine, and how many
// of their handles have not been released.
func (t *Target) Prefills() (computed, unreleased int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefills, len(t.handles)
}

// ReleasedHandles returns the number of requests to release a handle.
func (t *Target) ReleasedHandles() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.released
}

// ConnectionCount returns the number of connections that have been accepted so far.
func (t *Target) ConnectionCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connectionCount
}

// SetCacheList sets the body of the target's answers to requests for its cached parts.
func (t *Target) SetCacheList(body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheList = body
}

// Order is a role order that a target accepted.
type Order struct {
	At     time.Time
	Phase  string
	Holder string
	Fence  uint64
	// IfRevision is the number of accepted orders that the sender expected, or nil if the
	// order was unconditional.
	IfRevision *uint64
}

// Orders returns the orders that the target accepted.
func (t *Target) Orders() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Order(nil), t.orders...)
}

// RegistryEntry returns the target's encoded entry in the registry.
func (t *Target) RegistryEntry(service, zone, state string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := map[string]any{
		"service": service, "address": t.address(), "zone": zone, "version": cmp.Or(t.version, "v1"), "slots": 8, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": 1700000000000 + t.born,
	}
	if t.phase != "" {
		entry["phase"], entry["models"] = t.phase, []map[string]any{{"name": "m", "version": 1}}
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // unreachable: all values can be encoded
	}
	return data
}

func (t *Target) runAccept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		if t.isDown || t.isClosed {
			t.mu.Unlock()
			_ = conn.Close()
			continue
		}
		t.conns[conn] = true
		t.connectionCount++
		t.mu.Unlock()
		t.goroutines.Go(func() { t.runConn(conn) })
	}
}

func (t *Target) runConn(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	repeated := ""
	for served := 0; ; served++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if served > 0 {
			_, _ = io.WriteString(conn, t.takeLeftover()) // as below
		}
		if repeated != "" {
			// The write fails if the connection ends, which the next one finds too.
			_, _ = io.WriteString(conn, repeated)
			repeated = ""
		}
		if refusal := t.repeatedRefusal(r); refusal != "" {
			repeated = refusal
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(conn, refusal); err != nil {
				return
			}
			continue
		}
		if !t.serve(conn, r) {
			return
		}
	}
}

// repeatedRefusal returns the refusal of a request with the fault Repeat or RepeatUnnamed, or "".
func (t *Target) repeatedRefusal(r *http.Request) string {
	t.mu.Lock()
	isRepeat := len(t.faults) > 0 && (t.faults[0] == Repeat || t.faults[0] == RepeatUnnamed)
	t.mu.Unlock()
	if !isRepeat || strings.HasPrefix(r.URL.Path, "/-/") {
		return ""
	}
	name := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
	if t.nextFault() == RepeatUnnamed {
		name = ""
	}
	t.recordArrival(r, false)
	return "HTTP/1.1 503 Service Unavailable\r\n" + name + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// nextFault removes the first queued fault and returns it. If none is queued, it returns the
// lasting one for its share of the requests.
func (t *Target) nextFault() RequestFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) == 0 {
		if t.rng.Float64() >= t.lastingShare {
			return ""
		}
		return t.lastingFault
	}
	fault := t.faults[0]
	t.faults = t.faults[1:]
	return fault
}

// serve answers one request and reports whether the connection stays open.
func (t *Target) serve(conn net.Conn, r *http.Request) bool {
	isControl := strings.HasPrefix(r.URL.Path, "/-/")
	if pause := t.askedPause(); pause != "" {
		return t.refuseForPause(conn, r, isControl, pause)
	}
	if r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != t.id {
		if !isControl {
			t.recordArrival(r, false)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		return writeResponse(conn, 421, "X-Instance-Id: "+t.id+"\r\n", "")
	}
	if isControl {
		return t.serveControl(conn, r)
	}
	fault := t.applyEnding(r, t.nextFault())
	handleGone := fault == LoseHandle || strings.HasSuffix(r.Header.Get("X-Kv-Source"), "/gone")
	importFails := r.Header.Get("X-Kv-Source") != "" && handleGone
	t.recordArrival(r, fault != Early && fault != Shed && fault != EndlessRefusal && fault != DrippingRefusal && !importFails)
	echo := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n" + t.stateHeader()
	if fault == Early {
		ok := writeResponse(conn, 503, echo+"X-Not-Executed: 1\r\n", "")
		_, err := io.Copy(io.Discard, r.Body)
		return ok && err == nil
	}
	if isEarly(fault) && !importFails {
		return t.respondEarly(conn, r, fault)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if fault == Shed {
		return writeResponse(conn, 503, echo+"X-Not-Executed: 1\r\nX-Server-Load: 8,4,8\r\n", "")
	}
	if isEndless(fault) {
		return t.sendEndless(conn, r, fault)
	}
	if fault == Slow {
		time.Sleep(SlowAnswer)
	}
	if r.Header.Get("X-Phase") == "prefill" {
		time.Sleep(t.processingTimeOf(r))
		return t.respondPrefill(conn, r, fault)
	}
	if importFails {
		return writeResponse(conn, 503, echo+"X-Not-Executed: 1\r\n", "")
	}
	if !t.waitWhileFrozen(conn) {
		return false
	}
	run := t.recordRun(r, string(body), fault)
	defer t.recordEnd(run)
	time.Sleep(t.processingTimeOf(r))
	if t.crashesTarget(r) {
		return t.crashUnder(conn, r)
	}
	return t.respond(conn, r, fault, run)
}

// refuseForPause refuses a request and asks for a pause. Calls of the engines' interface have no ID and
// are no arrivals.
func (t *Target) refuseForPause(conn net.Conn, r *http.Request, isControl bool, pause string) bool {
	if !isControl {
		t.recordArrival(r, false)
	}
	_, err := io.Copy(io.Discard, r.Body)
	return writeResponse(conn, 503, "X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n"+pause, "") && err == nil
}

// currentPhase returns the phase, which orders change.
func (t *Target) currentPhase() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase
}

// processingTimeOf returns how long the target takes for a request before its response starts.
func (t *Target) processingTimeOf(r *http.Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slowPath != "" && strings.HasSuffix(r.URL.Path, t.slowPath) {
		return t.slowTime
	}
	return t.processingTime
}

// recordArrival appends a request to the arrivals.
func (t *Target) recordArrival(r *http.Request, accepted bool) {
	// Without a number the request states no time, which is what 0 stands for.
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, Arrival{
		ID: r.Header.Get("X-Request-Id"), Prefill: r.Header.Get("X-Phase") == "prefill", Accepted: accepted, At: time.Now(),
		Remaining: time.Duration(ms) * time.Millisecond, Limit: t.limit, Leaving: t.statesLeaving, Pause: t.pauseTime(), Born: t.born,
		Header: r.Header,
	})
}

// SetMaxRecordedBody sets the length in bytes of the longest body that the runs keep; 0 keeps all. Longer ones
// are left out.
func (t *Target) SetMaxRecordedBody(length int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxRecordedBody = length
}

// recordRun appends a request to the runs and returns its index.
func (t *Target) recordRun(r *http.Request, body string, fault RequestFault) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxRecordedBody > 0 && len(body) > t.maxRecordedBody {
		body = ""
	}
	t.runs = append(t.runs, Run{
		ID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.RequestURI, Body: body, Header: r.Header,
		StartedAt: time.Now(), Fault: fault,
	})
	return len(t.runs) - 1
}

// writeResponse sends a response with Content-Length. It reports whether it was written.
// header holds complete lines, each ended by CRLF.
func writeResponse(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
	return err == nil
}
