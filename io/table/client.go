// Package table is the client of the platform's transactional table service.
//
// Client implements the protocol. Retrier, Batcher, RateLimiter and CircuitBreaker are
// decorators of core.Table; ClientSet combines them for an instance.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/target"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// URL is the base URL, such as "http://127.0.0.1:7400".
	URL string
	// Timeout bounds one call; the default is DefaultTimeout.
	Timeout time.Duration
	// HTTP is the HTTP client; the default has its own connection pool.
	HTTP *http.Client
}

// DefaultTimeout bounds one call of the table service. It is below the renewal period of
// a lease, 5 s, so that a lost renewal is retried before the next one is due.
const DefaultTimeout = 2 * time.Second

// Client calls the table service over HTTP. It is safe for concurrent use.
type Client struct{ opts ClientOptions }

var _ core.Table = (*Client)(nil)

// NewClient returns a client. It opens no connection.
func NewClient(opts ClientOptions) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: target.NewTransport(target.TransportOptions{
			DialTimeout: -1, MaxIdlePerTarget: 8, IdleTimeout: 30 * time.Second, BufferSize: target.LargeBuffer,
		})}
	}
	opts.URL = strings.TrimSuffix(opts.URL, "/")
	return &Client{opts: opts}
}

// Read reads rows by key, in the order of the keys.
func (c *Client) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	var answer RowsAnswer
	if _, err := c.call(ctx, PathRead, ReadRequest{Keys: keys}, &answer); err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(keys) {
		return nil, errors.Errorf("table: read of %d keys returned %d rows", len(keys), len(answer.Rows))
	}
	return answer.Rows, nil
}

// Scan lists up to limit rows that start with prefix and follow after, in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	var answer RowsAnswer
	_, err := c.call(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &answer)
	return answer.Rows, err
}

// Transact runs one transaction. The result is Unavailable only if no byte of the request
// was sent or the service answered that it refused the call before running it.
func (c *Client) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	var answer TransactAnswer
	notRun, err := c.call(ctx, PathTransact, TransactRequest{Attempt: attempt, Writes: writes}, &answer)
	switch {
	case err != nil && notRun:
		return core.TransactResult{Kind: core.TransactUnavailable, Err: err}
	case err != nil:
		return core.TransactResult{Kind: core.TransactUnknown, Err: err}
	case answer.Committed && len(answer.Versions) == len(writes):
		return core.TransactResult{Kind: core.TransactCommitted, Versions: answer.Versions}
	case len(answer.Conflicts) == 0:
		return core.TransactResult{Kind: core.TransactUnknown, Err: errors.New("table: conflict without rows")}
	}
	return core.TransactResult{Kind: core.TransactConflict, Conflicts: answer.Conflicts}
}

// call posts a request and decodes its answer. notRun is true only if the service can't
// have run the request.
func (c *Client) call(ctx context.Context, path string, request, answer any) (notRun bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return true, errors.Wrap(err, "table: encode request")
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	// Without a connection, no byte of the request was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.opts.URL+path, bytes.NewReader(body))
	if err != nil {
		return true, errors.Wrap(err, "table: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return !connected.Load(), errors.Wrap(err, "table: call")
	}
	defer resp.Body.Close()
	data, err := target.ReadBody(resp.Body, MaxBodyBytes)
	if err != nil {
		return false, errors.Wrap(err, "table: read answer")
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusBadRequest:
		return true, errors.Wrapf(core.ErrUnavailable, "table: status %d: %s", resp.StatusCode, firstLine(data))
	case resp.StatusCode != http.StatusOK:
		return false, errors.Errorf("table: status %d: %s", resp.StatusCode, firstLine(data))
	}
	return false, errors.Wrap(json.Unmarshal(data, answer), "table: decode answer")
}

// firstLine returns up to 200 bytes of the first line of data.
func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	return string(line[:min(len(line), 200)])
}
