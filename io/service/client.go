// Package service is the HTTP client of plain services, which are targets other than
// engines.
package service

import (
	"bytes"
	"context"
	"net/http"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/target"
)

// maxAnswer bounds the body of an answer, in bytes. Longer answers are errors.
const maxAnswer = 8 << 20

// Options configures a client.
type Options struct {
	Connections target.TransportOptions
}

// Client calls plain services. Each call is sent at most once.
type Client struct{ transport *target.Transport }

var _ core.ServiceClient = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient(o Options) *Client { return &Client{target.NewTransport(o.Connections)} }

// Close closes the pooled connections.
func (c *Client) Close() { c.transport.Close() }

// Call sends call once. The outcome is Done for any complete answer of the service,
// including an error status, NotRun only if no byte of the call was written, and Unknown
// otherwise.
func (c *Client) Call(ctx context.Context, address string, call core.ServiceCall) core.ServiceResult {
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return core.ServiceResult{Outcome: core.OutcomeNotRun, Err: err}
	}
	var attempt target.Attempt
	resp, err := c.transport.Do(&attempt, req)
	if err != nil {
		return c.failedResult(ctx, address, &attempt, err)
	}
	defer resp.Body.Close()
	body, err := target.ReadBody(resp.Body, maxAnswer)
	if err != nil {
		return core.ServiceResult{Outcome: core.OutcomeUnknown, Err: errors.Wrap(err, "read answer")}
	}
	return core.ServiceResult{Outcome: core.OutcomeDone, Answer: core.ServiceAnswer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}}
}

func newRequest(ctx context.Context, address string, call core.ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("X-Request", string(call.Request))
	req.Header.Set("X-Attempt", string(call.Attempt))
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", string(call.Key))
	}
	if len(call.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// failedResult returns the result of a call that got no answer.
func (c *Client) failedResult(ctx context.Context, address string, attempt *target.Attempt, err error) core.ServiceResult {
	if attempt.AbortUnsent() {
		return core.ServiceResult{Outcome: core.OutcomeNotRun, Err: err}
	}
	if ctx.Err() != nil {
		// The connection may be dead, and so may the pooled ones to the same address.
		c.transport.DiscardIdle(address)
	}
	return core.ServiceResult{Outcome: core.OutcomeUnknown, Err: err}
}
