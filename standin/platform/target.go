package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Misbehaviour is what a target does with its next requests.
type Misbehaviour string

// Misbehaviours. Each holds for one request.
const (
	// Shed refuses the request and says that it did not run.
	Shed Misbehaviour = "Shed"
	// Fail runs the request and answers 500.
	Fail Misbehaviour = "Fail"
	// Reset runs the request and resets the connection.
	Reset Misbehaviour = "Reset"
	// Hang runs the request and never answers.
	Hang Misbehaviour = "Hang"
	// Torn runs the request and breaks off in the middle of the body.
	Torn Misbehaviour = "Torn"
	// Extra answers and sends a second answer, of another request, behind it.
	Extra Misbehaviour = "Extra"
	// Unframed answers without a length and closes the connection.
	Unframed Misbehaviour = "Unframed"
	// UnframedReset answers without a length and resets the connection.
	UnframedReset Misbehaviour = "UnframedReset"
	// Early refuses a request before it has read the body, keeps the connection and reads on.
	Early Misbehaviour = "Early"
	// Noise sends bytes that are no answer.
	Noise Misbehaviour = "Noise"
	// CutStream sends two events, a part of the third, and resets the connection.
	CutStream Misbehaviour = "CutStream"
	// Stall sends two events and nothing more.
	Stall Misbehaviour = "Stall"
)

// Run is a request that a target worked on.
type Run struct {
	ID, Method, Path, Body string
	Header                 http.Header
	// Cancelled is set when the connection closed before the answer was complete.
	Cancelled bool
}

// Target is a stand-in of a model server or a plain server. It is safe for concurrent use.
type Target struct {
	id       string
	phase    string
	listener net.Listener
	wait     sync.WaitGroup

	mu       sync.Mutex
	next     []Misbehaviour
	runs     []Run
	reads    int
	handles  map[string]bool
	released int
	serial   int
	orders   []Order
	accepted uint64
	work     time.Duration
	events   int
	conns    map[net.Conn]bool
	opened   int
}

// NewTarget starts a target on a loopback address. phase is prefill, decode or empty for
// a plain server.
func NewTarget(id, phase string) (*Target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{
		id: id, phase: phase, listener: listener, handles: map[string]bool{}, events: 4, conns: map[net.Conn]bool{},
	}
	t.wait.Go(t.runAccept)
	return t, nil
}

// Address returns the target's address.
func (t *Target) Address() string { return t.listener.Addr().String() }

// ID returns the target's ID.
func (t *Target) ID() string { return t.id }

// Close ends the target and all its connections.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.wait.Wait()
}

// Misbehave queues misbehaviours, one for each of the next requests.
func (t *Target) Misbehave(list ...Misbehaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = append(t.next, list...)
}

// SetProcessingTime sets the time that each request takes.
func (t *Target) SetProcessingTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = d
}

// Runs returns the requests that ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Prefills returns the number of prompts that were computed apart, and how many of their
// handles are still held.
func (t *Target) Prefills() (reads, held int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, len(t.handles)
}

// ReleasedHandles returns the number of handles that were freed without an import.
func (t *Target) ReleasedHandles() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.released
}

// ConnectionCount returns the number of connections that were opened.
func (t *Target) ConnectionCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}

// Order is an order that was accepted.
type Order struct {
	At     time.Time
	Phase  string
	Holder string
	Fence  uint64
	// IfRevision is the number of orders that the giver expected, or nil.
	IfRevision *uint64
}

// Orders returns the orders that were accepted.
func (t *Target) Orders() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Order(nil), t.orders...)
}

// RegistryEntry returns the target's entry of the registry.
func (t *Target) RegistryEntry(service, zone, state string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := map[string]any{
		"service": service, "address": t.Address(), "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": 1700000000000,
	}
	if t.phase != "" {
		entry["phase"], entry["models"] = t.phase, []map[string]any{{"name": "m", "version": 1}}
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return data
}

func (t *Target) runAccept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.opened++
		t.mu.Unlock()
		t.wait.Go(func() { t.runConn(conn) })
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
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !t.serve(conn, r) {
			return
		}
	}
}

func (t *Target) misbehaviour() Misbehaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.next) == 0 {
		return ""
	}
	m := t.next[0]
	t.next = t.next[1:]
	return m
}

// serve answers one request and reports whether the connection stays open.
func (t *Target) serve(conn net.Conn, r *http.Request) bool {
	if r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != t.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return write(conn, 421, "X-Instance-Id: "+t.id+"\r\n", "")
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		return t.control(conn, r)
	}
	m := t.misbehaviour()
	echo := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
	if m == Early {
		ok := write(conn, 503, echo+"X-Not-Executed: 1\r\n", "")
		_, err := io.Copy(io.Discard, r.Body)
		return ok && err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if m == Shed {
		return write(conn, 503, echo+"X-Not-Executed: 1\r\nX-Server-Load: 8,4,8\r\n", "")
	}
	if r.Header.Get("X-Phase") == "prefill" {
		return t.prefill(conn, m)
	}
	if source := r.Header.Get("X-Kv-Source"); source != "" && strings.HasSuffix(source, "/gone") {
		return write(conn, 503, echo+"X-Not-Executed: 1\r\n", "")
	}
	run := t.record(r, string(body))
	time.Sleep(t.workTime())
	if t.phase != "" {
		return t.stream(conn, r, m, run)
	}
	return t.plain(conn, r, m)
}

func (t *Target) workTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.work
}

func (t *Target) record(r *http.Request, body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, Run{
		ID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.RequestURI, Body: body, Header: r.Header,
	})
	return len(t.runs) - 1
}

// write sends an answer with a length.
func write(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
	return err == nil
}
