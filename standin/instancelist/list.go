// Package instancelist is a stand-in for the platform's list of instances, which shows
// changes with a delay.
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

// Paths of the fault and data controls, which the platform's list doesn't have.
const (
	PathFaults = "/standin/faults"         // PUT a Faults document
	PathPut    = "/standin/instances"      // PUT a core.ListedInstance
	PathDelete = "/standin/instances/{id}" // DELETE removes the instance
)

// maxDocumentBytes is the maximum size of a control document.
const maxDocumentBytes = 1 << 16

// Faults are the faults that the list injects.
type Faults struct {
	// Outage makes reads fail with core.ErrUnavailable.
	Outage bool
	// Lag is the delay until a change becomes visible to reads.
	Lag time.Duration
}

// change is a put or a removal that becomes visible at a time. A removal has no address.
type change struct {
	at       time.Time
	instance core.ListedInstance
}

// List is an in-memory list of instances. It is safe for concurrent use.
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

// SetFaults replaces the faults. Pending changes become visible at their original time.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds or replaces an instance, which becomes visible after the lag.
func (l *List) Put(i core.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{time.Now().Add(l.faults.Lag), i})
}

// Remove removes an instance, which disappears after the lag.
func (l *List) Remove(id core.InstanceID) { l.Put(core.ListedInstance{ID: id}) }

// Instances returns the visible instances, ordered by ID, or an error that wraps
// core.ErrUnavailable during an outage.
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

// Handler serves the HTTP API of the platform's list, and the controls.
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
	router.HandleFunc(PathFaults, handleControl(l.SetFaults)).Methods(http.MethodPut)
	router.HandleFunc(PathPut, handleControl(l.Put)).Methods(http.MethodPut)
	router.HandleFunc(PathDelete, func(w http.ResponseWriter, r *http.Request) {
		l.Remove(core.InstanceID(mux.Vars(r)["id"]))
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	return router
}

// handleControl returns a handler that decodes a control document and applies it.
func handleControl[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(v)
		w.WriteHeader(http.StatusNoContent)
	}
}
