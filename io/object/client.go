// Package object is the HTTP client of the platform's object store.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/target"
)

// DefaultTimeout bounds one call. Event chunks and recorded answers are below 1 MB.
const DefaultTimeout = 5 * time.Second

// maxObject bounds the response body, in bytes.
const maxObject = 8 << 20

// Client is an object store client. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ core.ObjectStore = (*Client)(nil)

// NewClient returns a client of the store at base, such as "http://10.0.0.9:9000". The transport
// is target.Default if it is nil.
func NewClient(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = target.Default
	}
	return &Client{strings.TrimSuffix(base, "/"), &http.Client{Transport: transport, Timeout: DefaultTimeout}}
}

// Put stores value under key, replacing an earlier value.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.do(ctx, http.MethodPut, c.objectURL(key), value)
	return err
}

// Get returns the value of key. The error is core.ErrObjectNotFound if the key doesn't
// exist.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, c.objectURL(key), nil)
}

// List returns up to limit keys that start with prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	data, err := c.do(ctx, http.MethodGet, c.base+"/objects?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var keys []string
	return keys, errors.Wrap(json.Unmarshal(data, &keys), "decode object list")
}

func (c *Client) objectURL(key string) string {
	return c.base + "/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func (c *Client) do(ctx context.Context, method, rawURL string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, rawURL, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build object request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call object store")
	}
	defer resp.Body.Close()
	data, err := target.ReadBody(resp.Body, maxObject)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read object")
	case resp.StatusCode == http.StatusNotFound:
		return nil, core.ErrObjectNotFound
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil, errors.Errorf("object store answered %s", resp.Status)
	}
	return data, nil
}
