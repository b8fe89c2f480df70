package caller

import (
	"net/http"
	"strings"

	"gorseline/core"
	"gorseline/core/stream"
	"gorseline/io/sse"
)

// bufferedSink buffers one completion and writes it as a single JSON body in the text or
// chat format.
type bufferedSink struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	format     sse.Format
	text       strings.Builder
}

var _ stream.Sink = (*bufferedSink)(nil)

func newBufferedSink(w http.ResponseWriter, format sse.Format) *bufferedSink {
	return &bufferedSink{response: w, controller: http.NewResponseController(w), format: format}
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

// Write buffers text until Finish.
func (s *bufferedSink) Write(text, _ []byte, _ int) error {
	s.text.Write(text)
	return nil
}

// Flush does nothing: Finish writes the whole body.
func (s *bufferedSink) Flush() error { return nil }

// Heartbeat does nothing: a JSON body can't contain heartbeats.
func (s *bufferedSink) Heartbeat() error { return nil }

// Finish writes the body. tokens is the number of completion tokens.
func (s *bufferedSink) Finish(tokens int) error {
	answer := completionAnswer{
		ID: string(s.format.ID), Object: "text_completion", Created: s.format.Created.Unix(),
		Model: string(s.format.Model),
		Usage: usage{s.format.PromptTokens, tokens, s.format.PromptTokens + tokens},
	}
	text := s.text.String()
	part := choice{Text: &text, FinishReason: "stop"}
	if s.format.Chat {
		answer.Object = "chat.completion"
		part = choice{Message: &message{"assistant", text}, FinishReason: "stop"}
	}
	answer.Choices = []choice{part}
	return writeJSON(s.response, http.StatusOK, answer)
}

// Fail writes the refusal with its own status, since nothing has been written before.
func (s *bufferedSink) Fail(refusal *core.Refusal, _ []byte) error {
	return WriteRefusal(s.response, refusal)
}

// Interrupt makes a blocked write to the caller fail.
func (s *bufferedSink) Interrupt() { interrupt(s.controller) }
