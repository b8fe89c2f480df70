package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/caller"
	"gorseline/io/sse"
)

// client is a program that uses the system as its pages tell: it asks for
// addresses, keeps the answer for a while, comes back when told to, and resumes a
// stream that was cut.
type client struct {
	http       *http.Client
	dataCentre core.DataCentre

	mu        sync.Mutex
	addresses []string
	next      int
	until     time.Time
}

func newClient(seeds []string, dataCentre core.DataCentre) *client {
	return &client{http: &http.Client{}, dataCentre: dataCentre, addresses: seeds}
}

// address returns an address to use, asking for new ones when the kept answer has
// expired.
func (c *client) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.refresh(ctx)
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// refresh asks the kept addresses in turn. While none answers the kept ones stay.
func (c *client) refresh(ctx context.Context) {
	for _, address := range c.addresses {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		var answer struct {
			Addresses []string
			KeepMs    int64
		}
		err := c.get(ctx, "http://"+address+"/addresses?dataCentre="+string(c.dataCentre), &answer)
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.until = time.Now().Add(time.Duration(answer.KeepMs) * time.Millisecond)
			return
		}
	}
}

func (c *client) get(ctx context.Context, url string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(answer), "decode")
}

// result tells how one request of the sample ended.
type result struct {
	outcome core.OutcomeKind
	text    string
	took    time.Duration
	reason  string
}

// maxTries bounds how often a caller comes back.
const maxTries = 8

// run sends a request until it has an outcome that a repeat would not change.
func (c *client) run(ctx context.Context, r Request, key string) result {
	started := time.Now()
	var last result
	var text strings.Builder
	token := ""
	for range maxTries {
		var refusal *core.Refusal
		last, refusal = c.try(ctx, r, key, &text, &token)
		last.took = time.Since(started)
		if refusal == nil || refusal.RetryAfterMs == 0 {
			return last
		}
		if !wait(ctx, time.Duration(refusal.RetryAfterMs)*time.Millisecond) {
			return last
		}
	}
	return last
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// try sends the request once. A returned refusal tells when to come back.
func (c *client) try(ctx context.Context, r Request, key string, text *strings.Builder, token *string) (result, *core.Refusal) {
	req, err := r.build(ctx, c.address(ctx), key)
	if err != nil {
		return result{outcome: core.OutcomeNotRun, reason: err.Error()}, nil
	}
	if *token != "" {
		req.Header.Set("Last-Event-ID", *token)
	}
	again := (core.Refusal{Kind: "NoConnection"}).WithRetryAfter(100 * time.Millisecond)
	resp, err := c.http.Do(req)
	if err != nil {
		return result{outcome: core.OutcomeUnknown, reason: err.Error()}, again
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refused(resp.Body)
	}
	if r.Model == "" {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return result{outcome: core.OutcomeUnknown, reason: err.Error()}, again
		}
		return result{outcome: core.OutcomeDone, text: string(body)}, nil
	}
	return readStream(resp.Body, text, token)
}

func refused(body io.Reader) (result, *core.Refusal) {
	var refusal core.Refusal
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return ended(core.OutcomeUnknown, "", err)
	}
	outcome := core.OutcomeUnknown
	if refusal.NotRun {
		outcome = core.OutcomeNotRun
	}
	return result{outcome: outcome, reason: refusal.Kind + ": " + refusal.Message}, &refusal
}

// ended is the outcome of a request that a repeat would not change.
func ended(outcome core.OutcomeKind, text string, err error) (result, *core.Refusal) {
	return result{outcome: outcome, text: text, reason: err.Error()}, nil
}

// maxEvent bounds one event in bytes.
const maxEvent = 64 << 10

// readStream collects the text of a stream and the token to resume it.
func readStream(body io.Reader, text *strings.Builder, token *string) (result, *core.Refusal) {
	again := (core.Refusal{Kind: "StreamCut"}).WithRetryAfter(100 * time.Millisecond)
	decoder := sse.NewDecoder(body, maxEvent)
	for {
		var event sse.Event
		if err := decoder.Next(&event); err != nil {
			return result{outcome: core.OutcomeCut, text: text.String(), reason: err.Error()}, again
		}
		if event.Comment {
			continue
		}
		if len(event.ID) > 0 {
			*token = string(event.ID)
		}
		switch {
		case string(event.Name) == "error":
			r, refusal := refused(bytes.NewReader(event.Data))
			r.outcome, r.text = core.OutcomeCut, text.String()
			return r, refusal
		case string(event.Data) == "[DONE]":
			return result{outcome: core.OutcomeDone, text: text.String()}, nil
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return ended(core.OutcomeCut, text.String(), err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
}

// build returns the HTTP request to one address.
func (r Request) build(ctx context.Context, address, key string) (*http.Request, error) {
	method, path, body := r.Method, "/services/"+string(r.Service)+r.Path, []byte(r.Body)
	if r.Model != "" {
		var err error
		method, path = http.MethodPost, "/v1/completions"
		body, err = json.Marshal(map[string]any{
			"model": r.Model, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "stream": true,
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode completion")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set(caller.HeaderOrganisation, string(r.Organisation))
	req.Header.Set(caller.HeaderKind, string(r.Kind))
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
