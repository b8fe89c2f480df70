package sse

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Chunk is what a client learns from one event of an answer.
type Chunk struct {
	Text string
	// Finished is set in the last chunk; Tokens is then the length of the answer.
	Finished bool
	Tokens   int
	// Done is set for "[DONE]".
	Done bool
	// Refusal is set for an error event.
	Refusal *core.Refusal
}

// ParseChunk reads the data of an event in either of the two formats.
func ParseChunk(event *Event) (Chunk, error) {
	if string(event.Name) == "error" {
		refusal := &core.Refusal{}
		if err := json.Unmarshal(event.Data, refusal); err != nil {
			return Chunk{}, errors.Wrap(err, "decode error event")
		}
		return Chunk{Refusal: refusal}, nil
	}
	if bytes.Equal(event.Data, []byte("[DONE]")) {
		return Chunk{Done: true}, nil
	}
	var wire struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(event.Data, &wire); err != nil {
		return Chunk{}, errors.Wrap(err, "decode chunk")
	}
	if len(wire.Choices) == 0 {
		return Chunk{}, errors.New("chunk has no choices")
	}
	choice := wire.Choices[0]
	return Chunk{
		Text:     choice.Text + choice.Delta.Content,
		Finished: choice.FinishReason != "",
		Tokens:   wire.Usage.CompletionTokens,
	}, nil
}
