package workload

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
	"gorseline/core/common/pause"
	"gorseline/io/caller"
	"gorseline/io/sse"
)

// Client sends requests as callers are documented to: it discovers the addresses of
// instances and caches them, retries after the delay that a refusal states, closes idle
// connections, and resumes interrupted streams.
type Client struct {
	http       *http.Client
	dataCentre core.DataCentre

	mu        sync.Mutex
	addresses []string
	next      int
	expires   time.Time // of addresses
}

// NewClient returns a client that discovers instances from the seed addresses.
func NewClient(seeds []string, dataCentre core.DataCentre) *Client {
	return &Client{http: &http.Client{}, dataCentre: dataCentre, addresses: seeds}
}

// address returns the next address in round-robin order. It refreshes expired addresses.
func (c *Client) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		c.refresh(ctx)
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// refresh requests the addresses from each known instance until one answers. The known
// addresses stay if none does. It is called under the lock.
func (c *Client) refresh(ctx context.Context) {
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
			c.expires = time.Now().Add(time.Duration(answer.KeepMs) * time.Millisecond)
			return
		}
	}
}

func (c *Client) get(ctx context.Context, url string, answer any) error {
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

// Result is how one request ended.
type Result struct {
	Outcome core.OutcomeKind
	Text    string
	Took    time.Duration
	Reason  string
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 8

// Send sends a request until its outcome is final or the attempts are used up.
func (c *Client) Send(ctx context.Context, r Request, key string) Result {
	started := time.Now()
	var last Result
	var text strings.Builder
	token := ""
	for range maxAttempts {
		var refusal *core.Refusal
		last, refusal = c.try(ctx, r, key, &text, &token)
		last.Took = time.Since(started)
		if refusal == nil || refusal.RetryAfterMs == 0 {
			return last
		}
		if !pause.For(ctx, time.Duration(refusal.RetryAfterMs)*time.Millisecond) {
			return last
		}
	}
	return last
}

// idleTimeout is the time without data after which the client closes a connection: three
// heartbeats, which an instance sends every second while a stream waits.
const idleTimeout = 3 * time.Second

// try sends the request once. A returned refusal says whether and when to retry; nil
// means that the result is final.
func (c *Client) try(ctx context.Context, r Request, key string, text *strings.Builder, token *string) (Result, *core.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(idleTimeout, cancel)
	defer watchdog.Stop()
	req, err := r.Build(ctx, c.address(ctx), key)
	if err != nil {
		return Result{Outcome: core.OutcomeNotRun, Reason: err.Error()}, nil
	}
	if *token != "" {
		req.Header.Set(caller.HeaderLastEventID, *token)
	}
	retry := (core.Refusal{Kind: "NoConnection"}).WithRetryAfter(100 * time.Millisecond)
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Outcome: core.OutcomeUnknown, Reason: err.Error()}, retry
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return readRefusal(resp.Body)
	}
	if r.Model != "" {
		return readStream(resp.Body, watchdog, text, token)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: core.OutcomeUnknown, Reason: err.Error()}, retry
	}
	return Result{Outcome: core.OutcomeDone, Text: string(body)}, nil
}

// readRefusal decodes the refusal of a request.
func readRefusal(body io.Reader) (Result, *core.Refusal) {
	var refusal core.Refusal
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return final(core.OutcomeUnknown, "", err)
	}
	outcome := core.OutcomeUnknown
	if refusal.NotRun {
		outcome = core.OutcomeNotRun
	}
	return Result{Outcome: outcome, Reason: refusal.Kind + ": " + refusal.Message}, &refusal
}

// final returns a result that a retry would not change.
func final(outcome core.OutcomeKind, text string, err error) (Result, *core.Refusal) {
	return Result{Outcome: outcome, Text: text, Reason: err.Error()}, nil
}

// maxEventBytes bounds one event.
const maxEventBytes = 64 << 10

// readStream appends the text of a stream to text, and stores in token the ID of its last
// event, which resumes it.
func readStream(body io.Reader, watchdog *time.Timer, text *strings.Builder, token *string) (Result, *core.Refusal) {
	retry := (core.Refusal{Kind: "StreamCut"}).WithRetryAfter(100 * time.Millisecond)
	decoder := sse.NewDecoder(body, maxEventBytes)
	for {
		var event sse.Event
		if err := decoder.Next(&event); err != nil {
			return Result{Outcome: core.OutcomeCut, Text: text.String(), Reason: err.Error()}, retry
		}
		watchdog.Reset(idleTimeout)
		if event.Comment {
			continue
		}
		if len(event.ID) > 0 {
			*token = string(event.ID)
		}
		switch {
		case string(event.Name) == "error":
			r, refusal := readRefusal(bytes.NewReader(event.Data))
			r.Outcome, r.Text = core.OutcomeCut, text.String()
			return r, refusal
		case string(event.Data) == "[DONE]":
			return Result{Outcome: core.OutcomeDone, Text: text.String()}, nil
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return final(core.OutcomeCut, text.String(), err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
}

// Build returns the HTTP request to the instance at an address, as host and port.
func (r Request) Build(ctx context.Context, address, key string) (*http.Request, error) {
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
	req.Header.Set(caller.HeaderIdempotencyKey, key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
