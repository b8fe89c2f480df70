package sse

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/stream"
)

// Format says how the events of one answer look.
type Format struct {
	// Chat selects chat completion chunks instead of text completion chunks.
	Chat         bool
	ID           core.RequestID
	Model        core.Model
	Created      time.Time
	PromptTokens int
}

// maxKept is the capacity that a writer's buffer keeps between events, in bytes.
const maxKept = 1 << 10

// Writer writes one answer to a caller. Nothing is written before the first
// event, so that a request that fails early gets an HTTP status of its own.
type Writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	format     Format
	head       []byte // start of each chunk
	buffer     []byte
	started    bool
	spoke      bool // the chat role has been sent
}

var _ stream.Sink = (*Writer)(nil)

// NewWriter returns a writer of one answer.
func NewWriter(response http.ResponseWriter, format Format) *Writer {
	object := "text_completion"
	if format.Chat {
		object = "chat.completion.chunk"
	}
	w := &Writer{response: response, controller: http.NewResponseController(response), format: format}
	w.head = append(w.head, `{"id":`...)
	w.head = appendString(w.head, []byte(format.ID))
	w.head = append(w.head, `,"object":"`+object+`","created":`...)
	w.head = strconv.AppendInt(w.head, format.Created.Unix(), 10)
	w.head = append(w.head, `,"model":`...)
	w.head = appendString(w.head, []byte(format.Model))
	w.head = append(w.head, `,"choices":[{"index":0,`...)
	return w
}

// Write writes one chunk with id as its event ID.
func (w *Writer) Write(text, id []byte, _ int) error {
	b := w.begin(id)
	b = append(b, "data: "...)
	b = append(b, w.head...)
	if w.format.Chat {
		b = append(b, `"delta":{`...)
		if !w.spoke {
			b = append(b, `"role":"assistant",`...)
			w.spoke = true
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

// Finish writes the last chunk with the usage, and "[DONE]".
func (w *Writer) Finish(tokens int) error {
	b := append(w.begin(nil), "data: "...)
	b = append(b, w.head...)
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

// Heartbeat sends a comment.
func (w *Writer) Heartbeat() error {
	if err := w.send(append(w.begin(nil), ": heartbeat\n\n"...)); err != nil {
		return err
	}
	return w.Flush()
}

// Fail answers with the refusal's status if nothing has been written, and
// otherwise sends an event named "error" with the same body.
func (w *Writer) Fail(refusal *core.Refusal, id []byte) error {
	body, err := json.Marshal(refusal)
	if err != nil {
		return err
	}
	if !w.started && len(id) == 0 {
		w.started = true
		w.response.Header().Set("Content-Type", "application/json")
		if refusal.RetryAfterMs > 0 {
			w.response.Header().Set("Retry-After", strconv.FormatInt((refusal.RetryAfterMs+999)/1000, 10))
		}
		w.response.WriteHeader(refusal.Status)
		_, err := w.response.Write(body)
		return err
	}
	b := append(w.begin(id), "event: error\ndata: "...)
	b = append(b, body...)
	if err := w.send(append(b, "\n\n"...)); err != nil {
		return err
	}
	return w.Flush()
}

// Flush sends what was written.
func (w *Writer) Flush() error { return w.controller.Flush() }

// Interrupt makes a blocked write fail. The connection can't be used afterwards.
func (w *Writer) Interrupt() {
	// A response that has no deadlines can't block on a connection either.
	_ = w.controller.SetWriteDeadline(time.Unix(1, 0))
}

// begin returns the buffer with the event ID.
func (w *Writer) begin(id []byte) []byte {
	b := w.buffer[:0]
	if len(id) == 0 {
		return b
	}
	b = append(b, "id: "...)
	b = append(b, id...)
	return append(b, '\n')
}

func (w *Writer) send(b []byte) error {
	if !w.started {
		w.started = true
		header := w.response.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		w.response.WriteHeader(http.StatusOK)
	}
	w.buffer = b[:0]
	if cap(b) > maxKept {
		w.buffer = nil
	}
	_, err := w.response.Write(b)
	return err
}

// appendString appends text as a JSON string. Text of plain ASCII, the usual
// case, is copied.
func appendString(b, text []byte) []byte {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, err := json.Marshal(string(text))
			if err != nil {
				panic(err) // strings always encode
			}
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
