package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// streamWriter writes the events of a sequence to one reader.
type streamWriter struct {
	engine         *Engine
	w              http.ResponseWriter
	flusher        http.Flusher
	r              *http.Request
	sequence       *sequence
	offset         int    // index of the next token to write
	written        int    // tokens written to this reader
	cutAfterTokens int    // -1 for none
	eventPrefix    []byte // the JSON fields of all events, without the closing brace
	buffer         []byte
}

// stream writes seq, starting at a token offset, until its terminal event or until
// the reader disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, seq *sequence, offset int) {
	e.mu.Lock()
	changes := e.attach(seq, r.Header.Get("X-Client"))
	cutAfter := -1
	if e.faults.remainingCuts > 0 {
		e.faults.remainingCuts--
		cutAfter = e.faults.cutAfterTokens
	}
	e.mu.Unlock()
	defer e.detach(seq, changes)

	flusher, ok := w.(http.Flusher)
	if !ok {
		writeError(w, http.StatusInternalServerError, "no_streaming", "the connection can't stream")
		return
	}
	prefix, err := json.Marshal(struct {
		ID      string         `json:"id"`
		Request core.RequestID `json:"request_id,omitempty"`
		Attempt core.AttemptID `json:"attempt_id,omitempty"`
	}{seq.id, seq.request, seq.attempt})
	if err != nil {
		panic(err) // unreachable: strings always encode
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Stream", seq.id)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	s := &streamWriter{
		engine: e, w: w, flusher: flusher, r: r, sequence: seq, offset: offset,
		cutAfterTokens: cutAfter, eventPrefix: prefix[:len(prefix)-1],
	}
	heartbeat := time.NewTicker(e.options.HeartbeatInterval)
	defer heartbeat.Stop()
	for s.writeAvailable() {
		select {
		case <-r.Context().Done():
			return
		case <-changes:
		case <-heartbeat.C:
			if !e.waitWhileSilent(r.Context()) {
				return
			}
			s.write([]byte(": heartbeat\n\n"))
			s.flusher.Flush()
		}
	}
}

// writeAvailable writes the tokens produced so far, and the terminal event once all
// are written. It reports whether more will follow.
func (s *streamWriter) writeAvailable() bool {
	e, seq := s.engine, s.sequence
	if !e.waitWhileSilent(s.r.Context()) {
		return false
	}
	e.mu.Lock()
	produced, state, f := seq.producedTokens, seq.state, e.faults
	e.mu.Unlock()
	if state == stateLost {
		panic(http.ErrAbortHandler)
	}
	for s.offset < produced {
		swap := f.reorder && s.offset+1 < produced
		if f.reorder && !swap && state == stateRunning {
			break // a swap needs a second token
		}
		if !s.delay(f.pieceDelay) {
			return false
		}
		n := 1
		if swap {
			s.writePiece(s.offset+1, 1, f.duplicate)
		} else {
			n = min(produced-s.offset, e.options.TokensPerPiece)
		}
		s.writePiece(s.offset, n, f.duplicate)
		if s.offset += n; swap {
			s.offset++
		}
	}
	s.flusher.Flush()
	switch {
	case state == stateCancelled:
		s.write([]byte("data: {\"error\":{\"type\":\"cancelled\",\"message\":\"the stream was cancelled\"}}\n\n"))
		s.flusher.Flush()
		return false
	case state == stateDone && s.offset >= seq.outputLength:
		s.writeTerminal()
		return false
	}
	return s.r.Context().Err() == nil
}

// delay blocks for d and reports whether the reader is still connected.
func (s *streamWriter) delay(d time.Duration) bool {
	if d == 0 {
		return true
	}
	return pause.For(s.r.Context(), d)
}

// writePiece writes an event of n tokens, or aborts the connection if it is due to be
// cut.
func (s *streamWriter) writePiece(offset, n int, duplicate bool) {
	if s.cutAfterTokens >= 0 && s.written >= s.cutAfterTokens {
		s.flusher.Flush()
		panic(http.ErrAbortHandler)
	}
	b := s.buffer[:0]
	b = append(b, "id: "...)
	b = append(b, s.sequence.id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, "\ndata: "...)
	b = append(b, s.eventPrefix...)
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
	s.write(b)
	if duplicate {
		s.write(b)
	}
	s.written += n
}

// writeTerminal writes the final event with the token counts, and the end marker.
func (s *streamWriter) writeTerminal() {
	seq := s.sequence
	b := s.buffer[:0]
	b = append(b, "id: "...)
	b = append(b, seq.id...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(seq.outputLength), 10)
	b = append(b, "\ndata: "...)
	b = append(b, s.eventPrefix...)
	b = append(b, `,"offset":`...)
	b = strconv.AppendInt(b, int64(seq.outputLength), 10)
	b = append(b, `,"tokens":0,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(seq.promptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(seq.outputLength), 10)
	b = append(b, "}}\n\ndata: [DONE]\n\n"...)
	s.write(b)
	s.flusher.Flush()
}

// write ignores errors, because a broken connection cancels the request's context.
func (s *streamWriter) write(b []byte) { _, _ = s.w.Write(b) }
