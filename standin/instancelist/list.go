// Package instancelist is a stand-in of the platform's list of instances, which
// shows changes late.
package instancelist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"gorseline/core"
	client "gorseline/io/instancelist"
)

// Paths of the stand-in's own controls.
const (
	PathFaults  = "/standin/faults"         // PUT a Faults document
	PathPut     = "/standin/instances"      // PUT a core.ListedInstance
	PathDelete  = "/standin/instances/{id}" // DELETE removes one
	maxDocument = 1 << 16                   // bytes
)

// Faults are the failures that the list brings about.
type Faults struct {
	// Outage refuses reads.
	Outage bool
	// Lag is how late changes become visible.
	Lag time.Duration
}

// change is an entry that becomes visible at a time. A removal has no address.
type change struct {
	at       time.Time
	instance core.ListedInstance
}

// List is the list of instances. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	faults  Faults
	visible map[core.InstanceID]core.ListedInstance
	pending []change
}

var _ core.InstanceLister = (*List)(nil)

// New returns an empty list with the given faults.
func New(f Faults) *List {
	return &List{faults: f, visible: make(map[core.InstanceID]core.ListedInstance)}
}

// SetFaults replaces the faults. Changes already made keep their lag.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds or replaces an instance.
func (l *List) Put(i core.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{time.Now().Add(l.faults.Lag), i})
}

// Remove removes an instance.
func (l *List) Remove(id core.InstanceID) { l.Put(core.ListedInstance{ID: id}) }

// Instances returns what is visible by now, ordered by ID.
func (l *List) Instances(ctx context.Context) ([]core.ListedInstance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return nil, errors.Wrap(core.ErrUnavailable, "instance list stand-in")
	}
	now := time.Now()
	l.pending = slices.DeleteFunc(l.pending, func(c change) bool {
		if c.at.After(now) {
			return false
		}
		if c.instance.Address == "" {
			delete(l.visible, c.instance.ID)
		} else {
			l.visible[c.instance.ID] = c.instance
		}
		return true
	})
	list := make([]core.ListedInstance, 0, len(l.visible))
	for _, i := range l.visible {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b core.ListedInstance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list, ctx.Err()
}

// Handler serves the list like the platform does, and the controls.
func (l *List) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(client.Path, func(w http.ResponseWriter, r *http.Request) {
		list, err := l.Instances(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	}).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, accept(l.SetFaults)).Methods(http.MethodPut)
	router.HandleFunc(PathPut, accept(l.Put)).Methods(http.MethodPut)
	router.HandleFunc(PathDelete, func(w http.ResponseWriter, r *http.Request) {
		l.Remove(core.InstanceID(mux.Vars(r)["id"]))
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	return router
}

// accept decodes a control document and hands it on.
func accept[T any](use func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocument)).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		use(v)
		w.WriteHeader(http.StatusNoContent)
	}
}
