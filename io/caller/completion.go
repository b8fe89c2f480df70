package caller

import (
	"encoding/json"
	"fmt"
	"strings"

	"gorseline/core"
)

// completionBody holds the supported fields of the OpenAI completion and chat formats.
// Other fields are ignored, as other servers of this API do.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// decodeCompletion decodes and validates a body. chat selects the chat format. max_tokens
// takes precedence over max_completion_tokens.
func decodeCompletion(data []byte, chat bool) (body completionBody, prompt string, refusal *core.Refusal) {
	if err := json.Unmarshal(data, &body); err != nil {
		return body, "", badRequest("MalformedBody", "the body is not valid JSON for this endpoint: %v", err)
	}
	if body.Model == "" {
		return body, "", badRequest("MissingModel", "the field model is required")
	}
	if body.MaxTokens < 0 || body.MaxCompletionTokens < 0 {
		return body, "", badRequest("InvalidMaxTokens", "max_tokens must not be negative")
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = body.MaxCompletionTokens
	}
	text, err := promptText(body, chat)
	if err != nil {
		return body, "", badRequest("InvalidPrompt", "%v", err)
	}
	return body, text, nil
}

// promptText returns the prompt, or the chat messages joined into one prompt.
func promptText(body completionBody, chat bool) (string, error) {
	if !chat {
		return singleText(body.Prompt)
	}
	if len(body.Messages) == 0 {
		return "", fmt.Errorf("the field messages must hold at least one message")
	}
	var b strings.Builder
	for i, m := range body.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", fmt.Errorf("messages[%d]: %w", i, err)
		}
		fmt.Fprintf(&b, "<%s> %s\n", m.Role, text)
	}
	return b.String(), nil
}

// singleText decodes a string or a list with one string.
func singleText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		return "", fmt.Errorf("the field prompt must be a string or a list with one string")
	}
	return list[0], nil
}

// contentText decodes a string or a list of text parts, which it joins.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fmt.Errorf("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("content of type %q is not supported, accepted: text", part.Type)
		}
		b.WriteString(part.Text)
	}
	return b.String(), nil
}
