package caller

import (
	"net/http"
	"strings"

	"gorseline/core"
	"gorseline/core/stream"
	"gorseline/io/sse"
)

// collector writes one completion as a single JSON body in the text or chat format.
type collector struct {
	response http.ResponseWriter
	control  *http.ResponseController
	format   sse.Format
	text     strings.Builder
}

var _ stream.Sink = (*collector)(nil)

func newCollector(w http.ResponseWriter, format sse.Format) *collector {
	return &collector{response: w, control: http.NewResponseController(w), format: format}
}

type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Write keeps text until the answer is whole.
func (c *collector) Write(text, _ []byte, _ int) error {
	c.text.Write(text)
	return nil
}

// Flush does nothing: the body is sent whole.
func (c *collector) Flush() error { return nil }

// Heartbeat does nothing: a JSON body has no room for it.
func (c *collector) Heartbeat() error { return nil }

// Finish sends the body.
func (c *collector) Finish(tokens int) error {
	answer := completionAnswer{
		ID: string(c.format.ID), Object: "text_completion", Created: c.format.Created.Unix(),
		Model: string(c.format.Model),
		Usage: usage{c.format.PromptTokens, tokens, c.format.PromptTokens + tokens},
	}
	text := c.text.String()
	part := choice{Text: &text, FinishReason: "stop"}
	if c.format.Chat {
		answer.Object = "chat.completion"
		part = choice{Message: &message{"assistant", text}, FinishReason: "stop"}
	}
	answer.Choices = []choice{part}
	return writeJSON(c.response, http.StatusOK, answer)
}

// Fail sends the refusal. Nothing was sent before, so it has a status of its own.
func (c *collector) Fail(refusal *core.Refusal, _ []byte) error {
	return WriteRefusal(c.response, refusal)
}

// Interrupt makes a blocked write fail.
func (c *collector) Interrupt() { interrupt(c.control) }
