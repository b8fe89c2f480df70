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

// Client is a program that uses the system as its pages tell: it asks for
// addresses, keeps the answer for a while, comes back when told to, leaves silent connections,
// and resumes a stream that was cut.
type Client struct {
	http       *http.Client
	dataCentre core.DataCentre

	mu        sync.Mutex
	addresses []string
	next      int
	until     time.Time
}

// NewClient returns a client that starts with the given addresses.
func NewClient(seeds []string, dataCentre core.DataCentre) *Client {
	return &Client{http: &http.Client{}, dataCentre: dataCentre, addresses: seeds}
}

// address returns an address to use, asking for new ones when the kept answer has
// expired.
func (c *Client) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.refresh(ctx)
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// refresh asks the kept addresses in turn. While none answers the kept ones stay.
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
			c.until = time.Now().Add(time.Duration(answer.KeepMs) * time.Millisecond)
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

// Result tells how one request of a sample ended.
type Result struct {
	Outcome core.OutcomeKind
	Text    string
	Took    time.Duration
	Reason  string
}

// maxTries bounds how often a caller comes back.
const maxTries = 8

// Send sends a request until it has an outcome that a repeat would not change.
func (c *Client) Send(ctx context.Context, r Request, key string) Result {
	started := time.Now()
	var last Result
	var text strings.Builder
	token := ""
	for range maxTries {
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

// silenceLimit is how long a connection may be silent before the client gives it up.
// An instance sends a heartbeat every second while a stream waits.
const silenceLimit = 3 * time.Second

// try sends the request once. A returned refusal tells when to come back.
func (c *Client) try(ctx context.Context, r Request, key string, text *strings.Builder, token *string) (Result, *core.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceLimit, cancel)
	defer watchdog.Stop()
	req, err := r.Build(ctx, c.address(ctx), key)
	if err != nil {
		return Result{Outcome: core.OutcomeNotRun, Reason: err.Error()}, nil
	}
	if *token != "" {
		req.Header.Set(caller.HeaderLastEventID, *token)
	}
	again := (core.Refusal{Kind: "NoConnection"}).WithRetryAfter(100 * time.Millisecond)
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Outcome: core.OutcomeUnknown, Reason: err.Error()}, again
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refused(resp.Body)
	}
	if r.Model != "" {
		return readStream(resp.Body, watchdog, text, token)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: core.OutcomeUnknown, Reason: err.Error()}, again
	}
	return Result{Outcome: core.OutcomeDone, Text: string(body)}, nil
}

func refused(body io.Reader) (Result, *core.Refusal) {
	var refusal core.Refusal
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return ended(core.OutcomeUnknown, "", err)
	}
	outcome := core.OutcomeUnknown
	if refusal.NotRun {
		outcome = core.OutcomeNotRun
	}
	return Result{Outcome: outcome, Reason: refusal.Kind + ": " + refusal.Message}, &refusal
}

// ended is the outcome of a request that a repeat would not change.
func ended(outcome core.OutcomeKind, text string, err error) (Result, *core.Refusal) {
	return Result{Outcome: outcome, Text: text, Reason: err.Error()}, nil
}

// maxEvent bounds one event in bytes.
const maxEvent = 64 << 10

// readStream collects the text of a stream and the token to resume it.
func readStream(body io.Reader, watchdog *time.Timer, text *strings.Builder, token *string) (Result, *core.Refusal) {
	again := (core.Refusal{Kind: "StreamCut"}).WithRetryAfter(100 * time.Millisecond)
	decoder := sse.NewDecoder(body, maxEvent)
	for {
		var event sse.Event
		if err := decoder.Next(&event); err != nil {
			return Result{Outcome: core.OutcomeCut, Text: text.String(), Reason: err.Error()}, again
		}
		watchdog.Reset(silenceLimit)
		if event.Comment {
			continue
		}
		if len(event.ID) > 0 {
			*token = string(event.ID)
		}
		switch {
		case string(event.Name) == "error":
			r, refusal := refused(bytes.NewReader(event.Data))
			r.Outcome, r.Text = core.OutcomeCut, text.String()
			return r, refusal
		case string(event.Data) == "[DONE]":
			return Result{Outcome: core.OutcomeDone, Text: text.String()}, nil
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

// Build returns the HTTP request to one address.
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
