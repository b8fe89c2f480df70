package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
)

// maxBody bounds request bodies, in bytes.
const maxBody = 16 << 20

// wireCompletion is the body of POST /v1/completions.
type wireCompletion struct {
	Model       core.Model     `json:"model"`
	Prompt      string         `json:"prompt"`
	MaxTokens   int            `json:"max_tokens"`
	Stream      bool           `json:"stream"`
	Priority    int            `json:"priority"`
	Request     core.RequestID `json:"request_id"`
	Attempt     core.AttemptID `json:"attempt_id"`
	ImportFrom  string         `json:"import_from"`
	PrefillOnly bool           `json:"prefill_only"`
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/heartbeat", e.serveHeartbeat)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/kv/export", e.serveExport)
	return mux
}

// ServeHTTP answers unless a fault is in force: a crashed engine breaks the
// connection, a paused or half-open one reads the request and stays silent.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server notices a broken connection only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "invalid_request", "the body is too long")
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !e.pass(r.Context()) {
		return
	}
	e.mux.ServeHTTP(w, r)
}

// pass waits while the engine is silent. It returns false when ctx ended first,
// and breaks the connection of a crashed engine.
func (e *Engine) pass(ctx context.Context) bool {
	for {
		e.mu.Lock()
		f := e.faults
		e.mu.Unlock()
		if f.crashed {
			panic(http.ErrAbortHandler)
		}
		if !f.paused && !f.halfOpen {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-f.changed:
		}
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body wireCompletion
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if !body.Stream {
		writeError(w, http.StatusBadRequest, "invalid_request", "only stream: true is served")
		return
	}
	blocks := core.AppendPrefixBlocks(nil, body.Prompt)
	if body.ImportFrom != "" {
		e.importKV(r.Context(), body.ImportFrom, body.Model, body.Prompt, blocks)
	}
	q, status, kind := e.start(body, blocks)
	if kind != "" {
		writeError(w, status, kind, "the completion was not run")
		return
	}
	e.stream(w, r, q, 0)
}

// start accepts a completion, or says why it was not run.
func (e *Engine) start(body wireCompletion, blocks []uint64) (q *sequence, status int, kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case body.Model != e.applied.model:
		e.counters.Refused++
		return nil, http.StatusNotFound, "unknown_model"
	case e.pending != nil:
		e.counters.Refused++
		return nil, http.StatusServiceUnavailable, "changing"
	case len(e.queue) >= e.options.QueueSize:
		e.counters.Refused++
		return nil, http.StatusTooManyRequests, "queue_full"
	case e.applied.role == core.RolePrefill && !body.PrefillOnly:
		e.counters.Refused++
		return nil, http.StatusUnprocessableEntity, "wrong_role"
	}
	e.nextID++
	seed := seedOf(body.Model, body.Prompt)
	q = &sequence{
		id:      string(e.options.ID) + "-" + strconv.Itoa(e.life) + "-" + strconv.Itoa(e.nextID),
		request: body.Request, attempt: body.Attempt, life: e.life,
		seed: seed, length: lengthOf(seed, body.MaxTokens),
		promptTokens: core.CountTokens(body.Prompt), blocks: blocks,
		priority: body.Priority, prefillOnly: body.PrefillOnly,
		readers: map[chan struct{}]string{}, detachedAt: time.Now(),
	}
	if q.prefillOnly {
		q.length = 1
	}
	e.counters.Started++
	e.counters.StartedByRequest[body.Request]++
	e.enqueue(q)
	return q, 0, ""
}

func (e *Engine) find(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	q := e.find(r.PathValue("id"))
	switch {
	case err != nil || offset < 0:
		writeError(w, http.StatusBadRequest, "invalid_request", "offset must be a number of tokens")
	case q == nil || offset > q.length:
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream or offset")
	default:
		e.mu.Lock()
		e.counters.Resumed++
		e.mu.Unlock()
		e.stream(w, r, q, offset)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.streams[r.PathValue("id")]
	if q == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream")
		return
	}
	if q.state == stateQueued || q.state == stateRunning {
		e.counters.Cancelled++
		e.end(q, stateCancelled, time.Now())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Heartbeats++
	e.clients[r.Header.Get("X-Client")] = time.Now()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "after must be a sequence number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Now().Add(-e.options.CacheEventDelay)
	writeJSON(w, http.StatusOK, e.cache.since(after, limit, e.options.DropEveryNthCacheEvent))
}

// writeError answers in the format of OpenAI-style engines. All errors of this
// engine mean that nothing was run.
func writeError(w http.ResponseWriter, status int, kind, message string) {
	type detail struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	}
	writeJSON(w, status, map[string]detail{"error": {kind, message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}
