// Package service is a stand-in of a plain service, such as a bookkeeping or a
// limit ledger application: an HTTP handler that counts its effects per key, with
// fault controls. POST, PUT, PATCH and DELETE have an effect; GET has none.
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

// Options configures a stand-in service.
type Options struct {
	// DeduplicatesKeys makes a repeated Idempotency-Key return the first answer
	// without a second effect.
	DeduplicatesKeys bool
	// Latency is the time that one call takes.
	Latency time.Duration
}

// Answer is the body of every answer.
type Answer struct {
	Key    string `json:"key"`
	Path   string `json:"path"`
	Effect int    `json:"effect"` // number of effects of the key so far
	Body   string `json:"body"`   // echo of the request
}

// Service is one replica of a plain service.
type Service struct {
	options Options
	running atomic.Int64

	mu       sync.Mutex
	effects  map[string]int
	answers  map[string]Answer
	calls    int
	loseNext int
	slow     time.Duration
	down     bool
	silent   bool
	changed  chan struct{}
}

// New returns a service without effects.
func New(options Options) *Service {
	return &Service{
		options: options, effects: map[string]int{}, answers: map[string]Answer{},
		changed: make(chan struct{}),
	}
}

// ServeHTTP runs one call. Its key is the Idempotency-Key, or else the path. A GET
// of /v1/load answers with a load report.
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
	if !s.pass(r) {
		return
	}
	answer, lost := s.run(r, string(body))
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone; the effect stands.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(struct {
		Running int64 `json:"running"`
	}{s.running.Load()})
}

// pass applies the faults that come before the effect.
func (s *Service) pass(r *http.Request) bool {
	s.mu.Lock()
	wait := s.options.Latency + s.slow
	s.mu.Unlock()
	if wait > 0 && !pause.For(r.Context(), wait) {
		return false
	}
	for {
		s.mu.Lock()
		down, silent, changed := s.down, s.silent, s.changed
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Service) run(r *http.Request, body string) (answer Answer, lost bool) {
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
	if s.loseNext > 0 {
		s.loseNext--
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

// Calls returns the number of calls that ran, reads included.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Service) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseReplies breaks the connections of the next n calls with an effect after
// the effect.
func (s *Service) LoseReplies(n int) { s.set(func() { s.loseNext = n }) }

// SetDelay adds d to each call.
func (s *Service) SetDelay(d time.Duration) { s.set(func() { s.slow = d }) }

// SetDown breaks each connection before the effect.
func (s *Service) SetDown(on bool) { s.set(func() { s.down = on }) }

// SetHalfOpen makes the service accept calls without running or answering them.
func (s *Service) SetHalfOpen(on bool) { s.set(func() { s.silent = on }) }
