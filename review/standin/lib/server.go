package lib

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxKeptBody bounds the bodies that a server keeps in memory; it reads longer ones and drops them.
const maxKeptBody = 64 << 10

// Run is a request that a server has begun to work on.
type Run struct {
	ID, Server, Version string
	Path                string
	At                  time.Time
}

// ServerOptions describe a server.
type ServerOptions struct {
	ID, Service, Address string
	// Phase is prefill or decode; empty for a plain service.
	Phase   string
	Version string
	Slots   int
	// Work is how long a plain request takes, EventGap the time between two events of a stream.
	Work, EventGap time.Duration
	// Hook is called with each request that is not a control call, before it runs. It returns true if
	// it has dealt with the request; keep then says whether the connection is kept.
	Hook func(s *Server, c net.Conn, r *http.Request, body []byte) (handled, keep bool)
}

// Server stands for a server of a service. It registers itself in the store.
type Server struct {
	ServerOptions
	d *Deployment

	mu        sync.Mutex
	version   string
	phase     string
	born      int64
	seq       int
	orders    int
	listener  net.Listener
	conns     map[net.Conn]bool
	runs      []Run
	handles   int
	isUp      bool
	isDark    bool
	stopBeats chan struct{}
}

// NewServer returns a server that is down.
func (d *Deployment) NewServer(o ServerOptions) *Server {
	return &Server{ServerOptions: o, d: d, version: o.Version, phase: o.Phase, conns: map[net.Conn]bool{}}
}

// Start starts the server, under the ID and at the address that it had, with a version of its software.
func (s *Server) Start(version string) error {
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.version, s.listener, s.isUp, s.seq, s.orders = version, l, true, 0, 0
	s.born = time.Now().UnixMilli()
	s.stopBeats = make(chan struct{})
	stop := s.stopBeats
	s.mu.Unlock()
	s.d.Record.Line("server %s (%s) starts at version %s, born %d", s.ID, s.Service, version, s.born)
	go s.accept(l)
	go func() {
		for {
			s.beat("ready")
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return nil
}

// beat writes the server's entry. It is not written while the store is down.
func (s *Server) beat(state string) {
	s.mu.Lock()
	if !s.isUp || s.isDark {
		s.mu.Unlock()
		return
	}
	s.seq++
	entry := map[string]any{
		"service": s.Service, "address": s.Address, "zone": "zone-a", "version": s.version, "slots": s.Slots, "state": state,
		"cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.phase != "" {
		entry["phase"] = s.phase
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	s.mu.Unlock()
	data, _ := json.Marshal(entry)
	if !s.d.Store.Put("servers", s.ID, data) {
		return
	}
	if entry["seq"] == 1 {
		s.d.Record.Line("server %s has registered: %s", s.ID, data)
	}
}

// Crash ends the server's process: its connections are reset, and nothing that it holds is left.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUp {
		return
	}
	s.isUp, s.isDark = false, false
	close(s.stopBeats)
	_ = s.listener.Close()
	for c := range s.conns {
		Reset(c)
	}
	s.conns = map[net.Conn]bool{}
	s.d.Record.Line("server %s crashes", s.ID)
}

// GoDark makes the server silent, as one that has lost its power: it answers nothing, writes no entry, and its
// connections stay open. New connections hang. Crash ends that.
func (s *Server) GoDark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDark = true
	s.d.Record.Line("server %s goes dark", s.ID)
}

// IsUp reports whether the server runs.
func (s *Server) IsUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUp
}

// CurrentVersion returns the version of the software that runs.
func (s *Server) CurrentVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// CurrentPhase returns the phase of a model server.
func (s *Server) CurrentPhase() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Runs returns what the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// RecordRun records that the server begins to work on a request.
func (s *Server) RecordRun(r *http.Request) {
	s.mu.Lock()
	run := Run{ID: r.Header.Get("X-Request-Id"), Server: s.ID, Version: s.version, Path: r.RequestURI, At: time.Now()}
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.d.Record.Line("server %s runs request %s %s", s.ID, run.ID, run.Path)
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.isUp {
			s.mu.Unlock()
			Reset(c)
			continue
		}
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.serve(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body []byte
		if r.ContentLength > maxKeptBody {
			_, err = io.Copy(io.Discard, r.Body)
		} else {
			body, err = io.ReadAll(r.Body)
		}
		if err != nil {
			return
		}
		if !s.answer(c, r, body) || r.Close {
			return
		}
	}
}

// waitWhileDark waits while the server is dark, and reports whether it was.
func (s *Server) waitWhileDark() bool {
	for wasDark := false; ; wasDark = true {
		s.mu.Lock()
		isDark := s.isDark
		s.mu.Unlock()
		if !isDark {
			return wasDark
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Answer writes an answer with a length. lines are header lines, each with its end.
func Answer(c net.Conn, status int, lines, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(body), body)
	return err == nil
}

// Echo returns the header lines of an answer of a server that has run a request.
func (s *Server) Echo(r *http.Request) string {
	return "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Upstream-Stamp: " + s.ID + "." + r.Header.Get("X-Request-Id") + "\r\n"
}

func (s *Server) answer(c net.Conn, r *http.Request, body []byte) (keep bool) {
	if s.waitWhileDark() {
		return false
	}
	json := "Content-Type: application/json\r\n"
	if strings.HasPrefix(r.URL.Path, "/-/") || r.URL.Path == "/healthz" {
		return s.control(c, r, body)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		s.d.Record.Line("server %s answers 421 to %s, which is for %s", s.ID, r.Header.Get("X-Request-Id"), target)
		return Answer(c, 421, "X-Instance-Id: "+s.ID+"\r\n", "")
	}
	if s.Hook != nil {
		if handled, keep := s.Hook(s, c, r, body); handled {
			return keep
		}
	}
	s.mu.Lock()
	phase := s.phase
	s.mu.Unlock()
	isPrefill := r.Header.Get("X-Phase") == "prefill"
	switch {
	case phase != "" && isPrefill != (phase == "prefill"):
		return Answer(c, 421, "X-Not-Executed: 1\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n", "")
	case isPrefill:
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		s.handles++
		handle := fmt.Sprintf("%s-%d-%d", s.ID, s.born, s.handles)
		s.mu.Unlock()
		return Answer(c, 200, json+"X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n", fmt.Sprintf(`{"handle":%q,"tokens":100,"version":1}`, handle))
	case phase != "":
		s.RecordRun(r)
		return s.stream(c, r)
	}
	s.RecordRun(r)
	time.Sleep(s.Work)
	if s.waitWhileDark() {
		return false
	}
	return Answer(c, 200, s.Echo(r)+"Content-Type: text/plain\r\n", "done by "+s.ID)
}

// stream answers with a series of events, from the one after Last-Event-Id. Each event names the version.
func (s *Server) stream(c net.Conn, r *http.Request) bool {
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	count, _ := strconv.Atoi(strings.TrimSpace(out))
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	version := s.CurrentVersion()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n" + s.Echo(r) + "\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := first + 1; n <= count; n++ {
		time.Sleep(s.EventGap)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, s.ID, version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// control answers calls that are not of clients.
func (s *Server) control(c net.Conn, r *http.Request, body []byte) bool {
	jsonType := "Content-Type: application/json\r\n"
	if id := r.Header.Get("X-Request-Id"); id != "" {
		jsonType += "X-Request-Id: " + id + "\r\n"
	}
	switch {
	case r.URL.Path == "/healthz":
		return Answer(c, 200, "X-Instance-Id: "+s.ID+"\r\n", "")
	case r.URL.Path == "/-/report":
		s.mu.Lock()
		data, _ := json.Marshal(map[string]any{
			"phase": s.phase, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": s.orders,
			"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 300000, "handles": 0, "born": s.born,
		})
		s.mu.Unlock()
		return Answer(c, 200, jsonType, string(data))
	case r.URL.Path == "/-/kv-list":
		return Answer(c, 200, jsonType, `{"epoch":1,"next":1,"held":[]}`)
	case r.URL.Path == "/-/order":
		var order struct{ Op, Phase, Holder string }
		_ = json.Unmarshal(body, &order)
		s.d.Record.Line("server %s gets the order %s", s.ID, body)
		s.mu.Lock()
		isSame := s.phase == order.Phase
		if !isSame {
			s.phase = order.Phase
			s.orders++
		}
		s.mu.Unlock()
		if isSame {
			return Answer(c, 200, jsonType, "{}")
		}
		go s.beat("ready")
		return Answer(c, 202, jsonType, "{}")
	}
	return Answer(c, 200, jsonType, "{}")
}
