// Package object is a stand-in for the platform's object store.
package object

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"gorseline/core"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// PathFaults is the path of the fault control, which the platform's store doesn't have:
// PUT a Faults document.
const PathFaults = "/standin/faults"

// Faults are the faults that the store injects.
type Faults struct {
	// Outage makes all calls fail with core.ErrUnavailable.
	Outage bool
}

// Store keeps objects in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	outage  bool
}

var _ core.ObjectStore = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetOutage makes all calls fail with core.ErrUnavailable, or work again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Put stores a copy of value.
func (s *Store) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return core.ErrUnavailable
	}
	s.objects[key] = slices.Clone(value)
	return nil
}

// Get returns a copy of the value, or core.ErrObjectNotFound.
func (s *Store) Get(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, core.ErrUnavailable
	}
	value, ok := s.objects[key]
	if !ok {
		return nil, core.ErrObjectNotFound
	}
	return slices.Clone(value), nil
}

// List returns up to limit keys with the prefix, in ascending order.
func (s *Store) List(_ context.Context, prefix string, limit int) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, core.ErrUnavailable
	}
	keys := slices.Sorted(maps.Keys(s.objects))
	keys = slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) })
	return keys[:min(limit, len(keys))], nil
}

// Handler serves the HTTP API of the platform's store, and the fault control.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(PathFaults, s.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/objects", s.serveList).Methods(http.MethodGet)
	r.HandleFunc("/objects/{key:.+}", s.servePut).Methods(http.MethodPut)
	r.HandleFunc("/objects/{key:.+}", s.serveGet).Methods(http.MethodGet)
	return r
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetOutage(f.Outage)
	w.WriteHeader(http.StatusNoContent)
}

// key returns the object key in the path of a request.
func key(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/objects/") }

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 0 {
		http.Error(w, "limit: accepted: a number", http.StatusBadRequest)
		return
	}
	keys, err := s.List(r.Context(), r.URL.Query().Get("prefix"), limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(keys) // it fails only if the client has disconnected
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Put(r.Context(), key(r), value); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	value, err := s.Get(r.Context(), key(r))
	switch {
	case err == nil:
		_, _ = w.Write(value)
	case errors.Is(err, core.ErrObjectNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
