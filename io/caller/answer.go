package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"gorseline/core"
)

// answer writes one completion in the text or chat format, as one JSON body or as
// a stream of server-sent events. It implements Sink.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *core.Request
	chat    bool
	stream  bool
	usage   bool

	started bool
	text    strings.Builder
	total   int
	whole   bool
}

var _ Sink = (*answer)(nil)

func newAnswer(w http.ResponseWriter, req *core.Request, chat bool, body completionBody) *answer {
	return &answer{
		w: w, control: http.NewResponseController(w), req: req, chat: chat,
		stream: body.Stream, usage: body.StreamUsage.IncludeUsage,
	}
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Write sends or collects one piece.
func (a *answer) Write(id string, piece core.Piece) error {
	if piece.Final {
		a.total, a.whole = piece.Total, true
	}
	if !a.stream {
		a.text.WriteString(piece.Text)
		return nil
	}
	var finish *string
	if piece.Final {
		finish = new("stop")
	}
	if piece.Text == "" && finish == nil {
		return nil
	}
	return a.event(id, a.chunk(piece.Text, finish))
}

// Heartbeat sends a comment, which clients of server-sent events ignore.
func (a *answer) Heartbeat() error {
	if !a.stream {
		return nil
	}
	return a.send(": heartbeat\n\n")
}

func (a *answer) chunk(text string, finish *string) chunk {
	c := choice{FinishReason: finish}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Content: text}
		if !a.started {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	return chunk{ID: string(a.req.ID), Object: object, Model: string(a.req.Model), Choices: []choice{c}}
}

func (a *answer) event(id string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are plain structs
	}
	if id != "" {
		return a.send(fmt.Sprintf("id: %s\ndata: %s\n\n", id, data))
	}
	return a.send(fmt.Sprintf("data: %s\n\n", data))
}

func (a *answer) send(text string) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	return a.control.Flush()
}

// finish ends the answer: with [DONE] or one body when it is whole, else with the
// refusal, as an error event where the stream has already begun.
func (a *answer) finish(refusal *core.Refusal) {
	if refusal == nil && !a.whole {
		refusal = &core.Refusal{
			Kind: "StreamCut", Message: "the answer ended before its terminal event", Status: http.StatusBadGateway,
		}
	}
	switch {
	case refusal != nil && a.started:
		_ = a.event("", errorBody{refusal, openAIError{refusal.Message, refusal.Kind, refusal.Kind}})
	case refusal != nil:
		writeRefusal(a.w, refusal)
	case a.stream:
		a.finishStream()
	default:
		writeJSON(a.w, http.StatusOK, a.body())
	}
}

// finishStream ignores write errors: a caller that went away can't be told.
func (a *answer) finishStream() {
	if a.usage {
		c := a.chunk("", nil)
		c.Choices, c.Usage = []choice{}, a.counts()
		_ = a.event("", c)
	}
	_ = a.send("data: [DONE]\n\n")
}

func (a *answer) body() chunk {
	c := a.chunk(a.text.String(), new("stop"))
	if a.chat {
		c.Object = "chat.completion"
		c.Choices[0].Delta = nil
		c.Choices[0].Message = &message{Role: "assistant", Content: a.text.String()}
	}
	c.Usage = a.counts()
	return c
}

func (a *answer) counts() *usage {
	return &usage{a.req.PromptTokens, a.total, a.req.PromptTokens + a.total}
}
