package sse

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Chunk is the content of one event of an answer.
type Chunk struct {
	Text string
	// Finished is set in the chunk that ends the answer; Tokens is then the number of
	// tokens of the answer.
	Finished bool
	Tokens   int
	// Done is set for the terminal "[DONE]".
	Done bool
	// Refusal is set for an error event.
	Refusal *core.Refusal
}

// ParseChunk decodes an event of a text completion or a chat completion.
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
	var chunk struct {
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
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return Chunk{}, errors.Wrap(err, "decode chunk")
	}
	if len(chunk.Choices) == 0 {
		return Chunk{}, errors.New("chunk has no choices")
	}
	choice := chunk.Choices[0]
	return Chunk{
		Text:     choice.Text + choice.Delta.Content,
		Finished: choice.FinishReason != "",
		Tokens:   chunk.Usage.CompletionTokens,
	}, nil
}
