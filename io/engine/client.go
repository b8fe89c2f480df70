// Package engine is the client of model engines. Engines serve HTTP and stream
// completions as server-sent events.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/target"
)

// Limits of the body of an answer that is no stream, in bytes.
const (
	maxAnswer      = 1 << 20
	maxErrorAnswer = 4 << 10
)

// Options configures a client. Zero fields get defaults.
type Options struct {
	Connections target.TransportOptions
	// Name identifies this client to engines in the header X-Client.
	Name string
	// HeartbeatInterval is the time between heartbeats to engines with open
	// streams; the default is 1 s.
	HeartbeatInterval time.Duration
	// CallTimeout bounds each call that is neither a stream nor an order; the default
	// is 2 s.
	CallTimeout time.Duration
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	options Options
	streams *target.Transport
	orders  *target.Transport
	done    chan struct{}

	mu          sync.Mutex
	openStreams map[string]int // by address
}

var _ core.EngineClient = (*Client)(nil)

// NewClient returns a client without connections. Run sends its heartbeats.
func NewClient(o Options) *Client {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = time.Second
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = 2 * time.Second
	}
	single := o.Connections
	single.SingleUse = true
	return &Client{
		options:     o,
		streams:     target.NewTransport(o.Connections),
		orders:      target.NewTransport(single),
		done:        make(chan struct{}),
		openStreams: map[string]int{},
	}
}

// Close closes the pooled connections.
func (c *Client) Close() {
	c.streams.Close()
	c.orders.Close()
}

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model       core.Model     `json:"model"`
	Prompt      string         `json:"prompt"`
	MaxTokens   int            `json:"max_tokens,omitempty"`
	Stream      bool           `json:"stream"`
	Priority    int            `json:"priority,omitempty"`
	Request     core.RequestID `json:"request_id"`
	Attempt     core.AttemptID `json:"attempt_id"`
	ImportFrom  string         `json:"import_from,omitempty"`
	PrefillOnly bool           `json:"prefill_only,omitempty"`
}

// Complete starts a completion. The error is core.ErrNotRun if the engine has not run
// the completion and will not run it. ctx bounds the whole stream.
func (c *Client) Complete(ctx context.Context, address string, r core.CompletionRequest) (core.PieceReader, error) {
	body, err := json.Marshal(completionBody{
		Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true, Priority: r.Priority,
		Request: r.Request, Attempt: r.Attempt, ImportFrom: r.ImportFrom, PrefillOnly: r.PrefillOnly,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode completion")
	}
	return c.openStream(ctx, new(target.Attempt), http.MethodPost, address, "/v1/completions", body)
}

// Resume continues a stream from a token offset. The error is
// core.ErrUnknownStream if the engine can't continue the stream.
func (c *Client) Resume(ctx context.Context, address, stream string, offset int) (core.PieceReader, error) {
	path := "/v1/streams/" + url.PathEscape(stream) + "?offset=" + strconv.Itoa(offset)
	return c.openStream(ctx, new(target.Attempt).AllowRetry(), http.MethodGet, address, path, nil)
}

func (c *Client) openStream(ctx context.Context, attempt *target.Attempt, method, address, path string, body []byte) (core.PieceReader, error) {
	parent := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	resp, err := c.do(ctx, c.streams, attempt, method, address, path, body)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		err := responseError(resp)
		cancel(nil)
		return nil, err
	}
	c.addOpenStreams(address, 1)
	return newPieceReader(ctx, parent, cancel, c, address, resp), nil
}

// Cancel stops a stream. Cancelling a stream that has already ended is not an error.
func (c *Client) Cancel(ctx context.Context, address, stream string) error {
	err := c.call(ctx, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(stream), nil)
	if errors.Is(err, core.ErrUnknownStream) {
		return nil
	}
	return err
}

// call makes one idempotent request and decodes its answer into result, unless that is
// nil.
func (c *Client) call(ctx context.Context, method, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	resp, err := c.do(ctx, c.streams, new(target.Attempt).AllowRetry(), method, address, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp)
	}
	if result == nil {
		return nil
	}
	data, err := target.ReadBody(resp.Body, maxAnswer)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return errors.Wrap(json.Unmarshal(data, result), "decode answer")
}

func (c *Client) do(ctx context.Context, t *target.Transport, attempt *target.Attempt, method, address, path string, body []byte) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("X-Client", c.options.Name)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := t.Do(attempt, req)
	if err == nil {
		return resp, nil
	}
	c.discardIfTimedOut(ctx, address)
	if attempt.AbortUnsent() {
		return nil, errors.Wrapf(core.ErrNotRun, "engine %s: %v", address, err)
	}
	return nil, errors.Wrapf(err, "engine %s", address)
}

// discardIfTimedOut discards the pooled connections to an address if ctx, the context of
// a request there, ended by an idle timeout or a deadline. The pooled connections may be
// dead too.
func (c *Client) discardIfTimedOut(ctx context.Context, address string) {
	cause := context.Cause(ctx)
	if errors.Is(cause, core.ErrIdleTimeout) || errors.Is(cause, context.DeadlineExceeded) {
		c.streams.DiscardIdle(address)
	}
}

// responseError turns an engine's error answer into an error and closes its body. An
// answer with an error type means that the engine refused the request before running
// anything, except for status 500, after which the engine may have run it.
func responseError(resp *http.Response) error {
	defer resp.Body.Close()
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	// Without a whole and decodable body the error contains only the status.
	if data, err := target.ReadBody(resp.Body, maxErrorAnswer); err == nil {
		_ = json.Unmarshal(data, &body)
	}
	kind := body.Error.Type
	switch {
	case kind == "unknown_stream":
		return core.ErrUnknownStream
	case kind != "" && resp.StatusCode != http.StatusInternalServerError:
		return errors.Wrapf(core.ErrNotRun, "engine refused: %s (%s)", kind, body.Error.Message)
	default:
		return errors.Errorf("engine answered status %d", resp.StatusCode)
	}
}

func (c *Client) addOpenStreams(address string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openStreams[address] += delta; c.openStreams[address] == 0 {
		delete(c.openStreams, address)
	}
}
