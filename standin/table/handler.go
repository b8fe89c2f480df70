package table

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"gorseline/core"
	client "gorseline/io/table"
)

// Paths of the fault controls and counts, which the platform's table doesn't have.
const (
	PathFaults = "/standin/faults" // GET and PUT a Faults document
	PathCounts = "/standin/counts" // GET the Counts
)

// Handler serves the HTTP API of the platform's table service, and the controls. A refused
// call is answered with status 503. A transaction with an unknown outcome closes the
// connection without an answer.
func (t *Table) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(client.PathRead, handle(t.serveRead)).Methods(http.MethodPost)
	router.HandleFunc(client.PathScan, handle(t.serveScan)).Methods(http.MethodPost)
	router.HandleFunc(client.PathTransact, handle(t.serveTransact)).Methods(http.MethodPost)
	router.HandleFunc(PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, t.Faults())
	}).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, handle(func(_ *http.Request, f Faults) (any, error) {
		t.SetFaults(f)
		return t.Faults(), nil
	})).Methods(http.MethodPut)
	router.HandleFunc(PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, t.Counts())
	}).Methods(http.MethodGet)
	return router
}

func (t *Table) serveRead(r *http.Request, req client.ReadRequest) (any, error) {
	rows, err := t.Read(r.Context(), req.Keys...)
	return client.RowsAnswer{Rows: rows}, err
}

func (t *Table) serveScan(r *http.Request, req client.ScanRequest) (any, error) {
	rows, err := t.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	return client.RowsAnswer{Rows: rows}, err
}

func (t *Table) serveTransact(r *http.Request, req client.TransactRequest) (any, error) {
	result := t.Transact(r.Context(), req.Attempt, req.Writes)
	switch result.Kind {
	case core.TransactUnavailable:
		return nil, result.Err
	case core.TransactUnknown:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	return client.TransactAnswer{
		Committed: result.Kind == core.TransactCommitted,
		Versions:  result.Versions, Conflicts: result.Conflicts,
	}, nil
}

// handle returns a handler that decodes a request, runs serve and encodes its answer. An
// error of serve is answered with status 503.
func handle[Request any](serve func(*http.Request, Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, client.MaxBodyBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := serve(r, req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		answer(w, result)
	}
}

// answer encodes v. The client sees a failed write as a lost reply.
func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
