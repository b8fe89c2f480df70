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

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 16 << 20

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

// ServeHTTP serves the routes of the package documentation, subject to faults: a
// crashed engine aborts the connection, a paused or half-open one reads the request
// and sends no answer until the fault ends.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http detects a closed connection only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "invalid_request", "the body is too long")
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !e.waitWhileSilent(r.Context()) {
		return
	}
	e.mux.ServeHTTP(w, r)
}

// waitWhileSilent blocks while the engine is paused or half-open. It returns false if
// ctx is done first, and aborts the connection if the engine has crashed.
func (e *Engine) waitWhileSilent(ctx context.Context) bool {
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
	seq, status, kind := e.startCompletion(body, blocks)
	if kind != "" {
		writeError(w, status, kind, "the completion was not run")
		return
	}
	e.stream(w, r, seq, 0)
}

// startCompletion accepts and enqueues a completion, or returns the status and the
// error type of its refusal.
func (e *Engine) startCompletion(body wireCompletion, blocks []uint64) (seq *sequence, status int, kind string) {
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
	seed := completionSeed(body.Model, body.Prompt)
	seq = &sequence{
		id:      string(e.options.ID) + "-" + strconv.Itoa(e.incarnation) + "-" + strconv.Itoa(e.nextID),
		request: body.Request, attempt: body.Attempt, incarnation: e.incarnation,
		seed: seed, outputLength: outputLength(seed, body.MaxTokens),
		promptTokens: core.CountTokens(body.Prompt), blocks: blocks,
		priority: body.Priority, prefillOnly: body.PrefillOnly,
		readers: map[chan struct{}]string{}, detachedAt: time.Now(),
	}
	if seq.prefillOnly {
		seq.outputLength = 1
	}
	e.counters.Started++
	e.counters.StartedByRequest[body.Request]++
	e.enqueue(seq)
	return seq, 0, ""
}

func (e *Engine) findStream(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	seq := e.findStream(r.PathValue("id"))
	switch {
	case err != nil || offset < 0:
		writeError(w, http.StatusBadRequest, "invalid_request", "offset must be a number of tokens")
	case seq == nil || offset > seq.outputLength:
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream or offset")
	default:
		e.mu.Lock()
		e.counters.Resumed++
		e.mu.Unlock()
		e.stream(w, r, seq, offset)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seq := e.streams[r.PathValue("id")]
	if seq == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream")
		return
	}
	if seq.state == stateQueued || seq.state == stateRunning {
		e.counters.Cancelled++
		e.end(seq, stateCancelled, time.Now())
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Heartbeats++
	e.lastHeartbeats[r.Header.Get("X-Client")] = time.Now()
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
	until := time.Now().Add(-e.options.CacheEventDelay)
	writeJSON(w, http.StatusOK, e.prefixCache.eventsAfter(after, until, e.options.DropEveryNthCacheEvent))
}

// writeError answers in the error format of the OpenAI API. Every error response
// means that nothing was run.
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
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
