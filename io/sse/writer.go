package sse

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/stream"
)

// Format describes the events of one answer.
type Format struct {
	// Chat selects chat completion chunks instead of text completion chunks.
	Chat         bool
	ID           core.RequestID
	Model        core.Model
	Created      time.Time
	PromptTokens int
}

// maxRetainedBuffer is the largest capacity, in bytes, of a buffer that is reused for the
// next event.
const maxRetainedBuffer = 1 << 10

// Writer writes one answer to a caller. The HTTP header is written with the first event,
// so that a request that fails before it gets an HTTP error status.
type Writer struct {
	response      http.ResponseWriter
	controller    *http.ResponseController
	format        Format
	chunkPrefix   []byte // beginning of each chunk
	buffer        []byte
	headerWritten bool
	roleSent      bool // the chat role has been sent
}

var _ stream.Sink = (*Writer)(nil)

// NewWriter returns a writer of one answer.
func NewWriter(response http.ResponseWriter, format Format) *Writer {
	object := "text_completion"
	if format.Chat {
		object = "chat.completion.chunk"
	}
	w := &Writer{response: response, controller: http.NewResponseController(response), format: format}
	w.chunkPrefix = append(w.chunkPrefix, `{"id":`...)
	w.chunkPrefix = appendString(w.chunkPrefix, []byte(format.ID))
	w.chunkPrefix = append(w.chunkPrefix, `,"object":"`+object+`","created":`...)
	w.chunkPrefix = strconv.AppendInt(w.chunkPrefix, format.Created.Unix(), 10)
	w.chunkPrefix = append(w.chunkPrefix, `,"model":`...)
	w.chunkPrefix = appendString(w.chunkPrefix, []byte(format.Model))
	w.chunkPrefix = append(w.chunkPrefix, `,"choices":[{"index":0,`...)
	return w
}

// Write writes text as one chunk with id as its event ID.
func (w *Writer) Write(text, id []byte, _ int) error {
	b := w.startEvent(id)
	b = append(b, "data: "...)
	b = append(b, w.chunkPrefix...)
	if w.format.Chat {
		b = append(b, `"delta":{`...)
		if !w.roleSent {
			b = append(b, `"role":"assistant",`...)
			w.roleSent = true
		}
		b = append(b, `"content":`...)
		b = appendString(b, text)
		b = append(b, '}')
	} else {
		b = append(b, `"text":`...)
		b = appendString(b, text)
	}
	b = append(b, ",\"finish_reason\":null}]}\n\n"...)
	return w.send(b)
}

// Finish writes the last chunk, which holds the usage, and the terminal "[DONE]".
func (w *Writer) Finish(tokens int) error {
	b := append(w.startEvent(nil), "data: "...)
	b = append(b, w.chunkPrefix...)
	if w.format.Chat {
		b = append(b, `"delta":{}`...)
	} else {
		b = append(b, `"text":""`...)
	}
	b = append(b, `,"finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(w.format.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(tokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(w.format.PromptTokens+tokens), 10)
	b = append(b, "}}\n\ndata: [DONE]\n\n"...)
	if err := w.send(b); err != nil {
		return err
	}
	return w.Flush()
}

// Heartbeat sends a comment, which clients ignore.
func (w *Writer) Heartbeat() error {
	if err := w.send(append(w.startEvent(nil), ": heartbeat\n\n"...)); err != nil {
		return err
	}
	return w.Flush()
}

// Fail answers with the refusal's status if nothing has been written and id is empty.
// Otherwise it sends an event named "error" with the same body and with id as its ID.
func (w *Writer) Fail(refusal *core.Refusal, id []byte) error {
	body, err := json.Marshal(refusal)
	if err != nil {
		return err
	}
	if !w.headerWritten && len(id) == 0 {
		w.headerWritten = true
		w.response.Header().Set("Content-Type", "application/json")
		if refusal.RetryAfterMs > 0 {
			w.response.Header().Set("Retry-After", strconv.FormatInt((refusal.RetryAfterMs+999)/1000, 10))
		}
		w.response.WriteHeader(refusal.Status)
		_, err := w.response.Write(body)
		return err
	}
	b := append(w.startEvent(id), "event: error\ndata: "...)
	b = append(b, body...)
	if err := w.send(append(b, "\n\n"...)); err != nil {
		return err
	}
	return w.Flush()
}

// Flush sends buffered events.
func (w *Writer) Flush() error { return w.controller.Flush() }

// Interrupt makes a blocked write fail. The connection is unusable afterwards.
func (w *Writer) Interrupt() {
	// A response without support for deadlines doesn't block on a connection.
	_ = w.controller.SetWriteDeadline(time.Unix(1, 0))
}

// startEvent returns the emptied buffer with the id line, if there is an ID.
func (w *Writer) startEvent(id []byte) []byte {
	b := w.buffer[:0]
	if len(id) == 0 {
		return b
	}
	b = append(b, "id: "...)
	b = append(b, id...)
	return append(b, '\n')
}

// send writes b, preceded by the HTTP header if it is the first event, and retains b as the
// buffer of the next event.
func (w *Writer) send(b []byte) error {
	if !w.headerWritten {
		w.headerWritten = true
		header := w.response.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		w.response.WriteHeader(http.StatusOK)
	}
	w.buffer = b[:0]
	if cap(b) > maxRetainedBuffer {
		w.buffer = nil
	}
	_, err := w.response.Write(b)
	return err
}

// appendString appends text as a JSON string. Printable ASCII that needs no escapes, the
// common case, is copied.
func appendString(b, text []byte) []byte {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, err := json.Marshal(string(text))
			if err != nil {
				panic(err) // a string can always be encoded
			}
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
