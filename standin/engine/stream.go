package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// streamWriter writes one sequence to one reader.
type streamWriter struct {
	engine   *Engine
	w        http.ResponseWriter
	flusher  http.Flusher
	r        *http.Request
	sequence *sequence
	offset   int // next token to write
	written  int // tokens written to this reader
	cutAfter int // tokens, -1 for none
	head     []byte
	buffer   []byte
}

// stream writes q from a token offset on until its terminal event.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q *sequence, offset int) {
	e.mu.Lock()
	changes := e.attach(q, r.Header.Get("X-Client"))
	cutAfter := -1
	if e.faults.cuts > 0 {
		e.faults.cuts--
		cutAfter = e.faults.cutAfter
	}
	e.mu.Unlock()
	defer e.detach(q, changes)

	flusher, ok := w.(http.Flusher)
	if !ok {
		writeError(w, http.StatusInternalServerError, "no_streaming", "the connection can't stream")
		return
	}
	head, err := json.Marshal(struct {
		ID      string         `json:"id"`
		Request core.RequestID `json:"request_id,omitempty"`
		Attempt core.AttemptID `json:"attempt_id,omitempty"`
	}{q.id, q.request, q.attempt})
	if err != nil {
		panic(err) // strings always encode
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Stream", q.id)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	s := &streamWriter{
		engine: e, w: w, flusher: flusher, r: r, sequence: q, offset: offset,
		cutAfter: cutAfter, head: head[:len(head)-1],
	}
	heartbeat := time.NewTicker(e.options.HeartbeatInterval)
	defer heartbeat.Stop()
	for s.advance() {
		select {
		case <-r.Context().Done():
			return
		case <-changes:
		case <-heartbeat.C:
			if !e.pass(r.Context()) {
				return
			}
			s.send([]byte(": heartbeat\n\n"))
			s.flusher.Flush()
		}
	}
}

// advance writes what is available and reports whether more will follow.
func (s *streamWriter) advance() bool {
	e, q := s.engine, s.sequence
	if !e.pass(s.r.Context()) {
		return false
	}
	e.mu.Lock()
	produced, state, f := q.produced, q.state, e.faults
	e.mu.Unlock()
	if state == stateLost {
		panic(http.ErrAbortHandler)
	}
	for s.offset < produced {
		swap := f.reorder && s.offset+1 < produced
		if f.reorder && !swap && state == stateRunning {
			break
		}
		if !s.wait(f.delay) {
			return false
		}
		n := 1
		if swap {
			s.piece(s.offset+1, 1, f.double)
		} else {
			n = min(produced-s.offset, e.options.TokensPerPiece)
		}
		s.piece(s.offset, n, f.double)
		if s.offset += n; swap {
			s.offset++
		}
	}
	s.flusher.Flush()
	switch {
	case state == stateCancelled:
		s.send([]byte("data: {\"error\":{\"type\":\"cancelled\",\"message\":\"the stream was cancelled\"}}\n\n"))
		s.flusher.Flush()
		return false
	case state == stateDone && s.offset >= q.length:
		s.terminal()
		return false
	}
	return s.r.Context().Err() == nil
}

func (s *streamWriter) wait(d time.Duration) bool {
	if d == 0 {
		return true
	}
	return pause.For(s.r.Context(), d)
}

// piece writes one event of n tokens.
func (s *streamWriter) piece(offset, n int, double bool) {
	if s.cutAfter >= 0 && s.written >= s.cutAfter {
		s.flusher.Flush()
		panic(http.ErrAbortHandler)
	}
	b := s.buffer[:0]
	b = append(b, "id: "...)
	b = append(b, s.sequence.id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, "\ndata: "...)
	b = append(b, s.head...)
	b = append(b, `,"offset":`...)
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, `,"tokens":`...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, `,"choices":[{"index":0,"text":"`...)
	for i := range n {
		b = append(b, token(s.sequence.seed, offset+i)...)
	}
	b = append(b, "\"}]}\n\n"...)
	s.buffer = b
	s.send(b)
	if double {
		s.send(b)
	}
	s.written += n
}

func (s *streamWriter) terminal() {
	q := s.sequence
	b := s.buffer[:0]
	b = append(b, "id: "...)
	b = append(b, q.id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(q.length), 10)
	b = append(b, "\ndata: "...)
	b = append(b, s.head...)
	b = append(b, `,"offset":`...)
	b = strconv.AppendInt(b, int64(q.length), 10)
	b = append(b, `,"tokens":0,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(q.promptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(q.length), 10)
	b = append(b, "}}\n\ndata: [DONE]\n\n"...)
	s.send(b)
	s.flusher.Flush()
}

// send ignores errors: a broken connection ends the request's context.
func (s *streamWriter) send(b []byte) { _, _ = s.w.Write(b) }
