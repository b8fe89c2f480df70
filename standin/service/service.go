// Package service is a stand-in for a plain service, such as a bookkeeping application or
// a limit ledger. It is an HTTP handler with fault controls that counts its side effects
// per idempotency key. All methods except GET have an effect.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core/common/pause"
)

// Options configures a Service.
type Options struct {
	// DeduplicatesKeys makes a call with a repeated Idempotency-Key return the first
	// answer without another effect.
	DeduplicatesKeys bool
	// Latency is the duration of a call.
	Latency time.Duration
}

// Answer is the body of an answer to a call.
type Answer struct {
	Key    string `json:"key"`
	Path   string `json:"path"`
	Effect int    `json:"effect"` // number of effects of the key so far
	Body   string `json:"body"`   // body of the request
}

// Service is one replica of a plain service.
type Service struct {
	options Options
	running atomic.Int64

	mu            sync.Mutex
	effects       map[string]int
	answers       map[string]Answer
	calls         int
	repliesToLose int
	delay         time.Duration
	down          bool
	halfOpen      bool
	faultsChanged chan struct{}
}

// New returns a service without effects.
func New(options Options) *Service {
	return &Service{
		options: options, effects: map[string]int{}, answers: map[string]Answer{},
		faultsChanged: make(chan struct{}),
	}
}

// ServeHTTP runs a call. The key of the call is its Idempotency-Key header, or its path
// if there is none. GET /v1/load returns a load report.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/v1/load" {
		s.serveLoad(w)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "body is too long", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.awaitFaults(r) {
		return
	}
	answer, lost := s.execute(r, string(body))
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected; the effect is kept.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(struct {
		Running int64 `json:"running"`
	}{s.running.Load()})
}

// awaitFaults applies the latency and the faults that precede the effect. It returns
// false if the client disconnects meanwhile; the call must not run then.
func (s *Service) awaitFaults(r *http.Request) bool {
	s.mu.Lock()
	wait := s.options.Latency + s.delay
	s.mu.Unlock()
	if wait > 0 && !pause.For(r.Context(), wait) {
		return false
	}
	for {
		s.mu.Lock()
		down, halfOpen, changed := s.down, s.halfOpen, s.faultsChanged
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !halfOpen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// execute runs a call and reports whether its reply is lost.
func (s *Service) execute(r *http.Request, body string) (answer Answer, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.URL.Path
	}
	if r.Method == http.MethodGet {
		return Answer{Key: key, Path: r.URL.Path, Effect: s.effects[key], Body: body}, false
	}
	first, seen := s.answers[key]
	if seen && s.options.DeduplicatesKeys {
		answer = first
	} else {
		s.effects[key]++
		answer = Answer{Key: key, Path: r.URL.Path, Effect: s.effects[key], Body: body}
		s.answers[key] = answer
	}
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return answer, true
	}
	return answer, false
}

// Effects returns the number of effects per key.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := make(map[string]int, len(s.effects))
	for key, n := range s.effects {
		effects[key] = n
	}
	return effects
}

// Calls returns the number of calls that ran, including reads.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// setFault changes a fault and wakes the calls that wait for a change.
func (s *Service) setFault(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// LoseReplies makes the next n calls other than reads take effect and then close the
// connection without a reply.
func (s *Service) LoseReplies(n int) { s.setFault(func() { s.repliesToLose = n }) }

// SetDelay sets the time that is added to the latency of each call.
func (s *Service) SetDelay(d time.Duration) { s.setFault(func() { s.delay = d }) }

// SetDown makes the service close the connection of each call before the effect, or work
// again.
func (s *Service) SetDown(down bool) { s.setFault(func() { s.down = down }) }

// SetHalfOpen makes the service accept calls without running or answering them, or work
// again. It then also runs the calls that are waiting.
func (s *Service) SetHalfOpen(halfOpen bool) { s.setFault(func() { s.halfOpen = halfOpen }) }
