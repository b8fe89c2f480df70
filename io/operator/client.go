package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"gorseline/core"
	"gorseline/io/target"
)

// Client calls the operators' API of one instance.
type Client struct {
	base string
	http *http.Client
}

// callTimeout bounds one call. It leaves time for a change whose table writes are retried
// and for a status that asks which instances have a revision in force.
const callTimeout = 15 * time.Second

// NewClient returns a client of the instance at base, such as
// "http://10.0.0.9:7001". The transport is target.Default if it is nil.
func NewClient(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = target.Default
	}
	return &Client{strings.TrimSuffix(base, "/"), &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Status returns the fleet's state as the instance sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, pathStatus, Empty{})
}

// Configuration returns the configuration in force on the instance.
func (c *Client) Configuration(ctx context.Context) (core.Configuration, error) {
	return call[core.Configuration](ctx, c, pathConfiguration, Empty{})
}

// Change proposes a change of the configuration.
func (c *Client) Change(ctx context.Context, r ChangeRequest) (ChangeAnswer, error) {
	return call[ChangeAnswer](ctx, c, pathChange, r)
}

// History lists accepted revisions, newest first.
func (c *Client) History(ctx context.Context, r HistoryRequest) (History, error) {
	return call[History](ctx, c, pathHistory, r)
}

// Compare lists the differences between two revisions.
func (c *Client) Compare(ctx context.Context, r CompareRequest) (Comparison, error) {
	return call[Comparison](ctx, c, pathCompare, r)
}

// Operation returns the outcome of a call that may not be repeated.
func (c *Client) Operation(ctx context.Context, r OperationRequest) (OperationAnswer, error) {
	return call[OperationAnswer](ctx, c, pathOperation, r)
}

// Timeline returns the events that match the request.
func (c *Client) Timeline(ctx context.Context, r TimelineRequest) (TimelineAnswer, error) {
	return call[TimelineAnswer](ctx, c, pathTimeline, r)
}
