// Package target contains the HTTP connections that clients of targets share. Transport
// and Pool know whether a byte of a request was sent, which decides whether the request
// may be sent again, and can discard idle connections that may be dead.
package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TransportOptions configure a Transport. Zero fields get defaults.
type TransportOptions struct {
	// Dial opens connections; nil uses TCP.
	Dial DialFunc
	// DialTimeout bounds one dial; the default is 2 s. A negative one leaves the bound to the context.
	DialTimeout time.Duration
	// IdleTimeout bounds the time that an idle connection is kept; the default is 30 s.
	IdleTimeout time.Duration
	// BufferSize is the size of a connection's read buffer in bytes; the default is small, for many open
	// streams. The write buffer has half of it.
	BufferSize int
	// MaxIdlePerTarget bounds the idle connections per target; the default is 16.
	MaxIdlePerTarget int
	// SingleUse opens a new connection for each request.
	SingleUse bool
	// UsesProxy sends requests through the proxy that the environment names, if it does.
	UsesProxy bool
}

// bufferSize is the size of a connection's read buffer, in bytes; the write buffer has
// half of it. Each open stream occupies a connection, so the buffers are part of the 32 KB
// of memory that a stream may use.
const bufferSize = 2 << 10

// Transport is an HTTP transport to targets that tracks its connections and takes only well-formed
// answers. It is safe for concurrent use.
type Transport struct {
	http *http.Transport
	dial DialFunc

	mu    sync.Mutex
	conns map[string]map[*conn]struct{} // by address
}

// Default is the transport of clients that state none. Its settings are those of http.DefaultTransport,
// without compression.
var Default = NewTransport(TransportOptions{
	Dial:             (&net.Dialer{Timeout: 30 * time.Second, KeepAlive: 30 * time.Second}).DialContext,
	DialTimeout:      -1,
	MaxIdlePerTarget: http.DefaultMaxIdleConnsPerHost,
	IdleTimeout:      90 * time.Second,
	BufferSize:       LargeBuffer,
	UsesProxy:        true,
})

// LargeBuffer is a BufferSize in bytes for clients with few connections.
const LargeBuffer = 8 << 10

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport without connections.
func NewTransport(o TransportOptions) *Transport {
	t := &Transport{dial: o.Dial, conns: map[string]map[*conn]struct{}{}}
	if t.dial == nil {
		t.dial = (&net.Dialer{}).DialContext
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = 2 * time.Second
	}
	if o.MaxIdlePerTarget == 0 {
		o.MaxIdlePerTarget = 16
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.BufferSize == 0 {
		o.BufferSize = bufferSize
	}
	t.http = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if o.DialTimeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, o.DialTimeout)
				defer cancel()
			}
			return t.open(ctx, network, address)
		},
		MaxIdleConnsPerHost:    o.MaxIdlePerTarget,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeader,
		ReadBufferSize:         o.BufferSize,
		WriteBufferSize:        o.BufferSize / 2,
		DisableCompression:     true,
		DisableKeepAlives:      o.SingleUse,
	}
	if o.UsesProxy {
		t.http.Proxy = http.ProxyFromEnvironment
	}
	return t
}

func (t *Transport) open(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	// What is read before the first request isn't the header of an answer, such as a TLS handshake.
	c := &conn{Conn: raw, transport: t, address: address, header: headScanner{isDone: true}}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*conn]struct{}{}
	}
	t.conns[address][c] = struct{}{}
	return c, nil
}

func (t *Transport) untrack(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns[c.address], c)
	if len(t.conns[c.address]) == 0 {
		delete(t.conns, c.address)
	}
}

// DiscardIdle closes the idle connections to an address. It is called when a request to
// the address timed out, since the idle connections may be dead too.
func (t *Transport) DiscardIdle(address string) {
	t.mu.Lock()
	var idle []*conn
	for c := range t.conns[address] {
		if c.isIdle() {
			idle = append(idle, c)
		}
	}
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // the connection is not used again
	}
}

// Close closes the idle connections.
func (t *Transport) Close() { t.CloseIdleConnections() }

// Connections returns the number of open connections to an address.
func (t *Transport) Connections(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns[address])
}

// Attempt tracks the connections on which one request is sent.
type Attempt struct {
	writeDeadline time.Time
	writeGuard    func() bool
	allowRetry    bool

	mu    sync.Mutex
	conns []*conn
	// sent is the write of the request on the latest connection.
	sent *upload
}

// AllowRetry allows the transport to send the request again on a new connection after a
// connection error. The request must be idempotent.
func (a *Attempt) AllowRetry() *Attempt {
	a.allowRetry = true
	return a
}

// WithWriteDeadline makes the connection refuse writes after deadline, even if the process
// was paused in between. It requires a transport with SingleUse, because the deadline
// stays set on the connection.
func (a *Attempt) WithWriteDeadline(deadline time.Time) *Attempt {
	a.writeDeadline = deadline
	return a
}

// WithWriteGuard makes the connection call allowed before each write and refuse the write
// if it returns false. It requires a transport with SingleUse, as WithWriteDeadline does.
func (a *Attempt) WithWriteGuard(allowed func() bool) *Attempt {
	a.writeGuard = allowed
	return a
}

// Do sends req once, or possibly more often after connection errors if a allows retries.
func (t *Transport) Do(a *Attempt, req *http.Request) (*http.Response, error) {
	if !a.allowRetry {
		preventRetry(req)
	}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), a.trace())))
	if err != nil {
		return nil, err
	}
	c, sent := a.latest()
	if c == nil {
		return resp, nil
	}
	if err := c.answerFailure(); err != nil {
		_ = resp.Body.Close() // it isn't the body of the answer
		return nil, err
	}
	if framingOf(resp) == FramingConnection {
		resp.Body = &closableBody{connectionBody: connectionBody{Reader: resp.Body, upload: sent}, Closer: resp.Body}
	}
	return resp, nil
}

// preventRetry keeps net/http from sending a request again. After a connection error it retries a
// request that has no body or one that it can rewind if the method is idempotent, such as GET, or the
// request has an Idempotency-Key, even if the target may have run it. A body that can't be rewound
// prevents this.
func preventRetry(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

// trace returns the hooks that tell the attempt its connections and what becomes of the request on them.
func (a *Attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			c.begin(a.writeDeadline, a.writeGuard)
			a.mu.Lock()
			defer a.mu.Unlock()
			a.conns = append(a.conns, c)
			a.sent = newUpload()
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if _, sent := a.latest(); sent != nil {
				sent.finish(info.Err)
			}
		},
		GotFirstResponseByte: func() {
			if c, _ := a.latest(); c != nil {
				c.beginAnswer()
			}
		},
		PutIdleConn: func(err error) {
			if c, _ := a.latest(); c != nil && err == nil {
				c.setIdle()
			}
		},
	}
}

// latest returns the latest connection and the write of the request on it, or nil.
func (a *Attempt) latest() (*conn, *upload) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns) == 0 {
		return nil, nil
	}
	return a.conns[len(a.conns)-1], a.sent
}

// closableBody is a connectionBody of a client of net/http.
type closableBody struct {
	connectionBody
	io.Closer
}

// RoundTrip sends req like a transport of net/http, which may send an idempotent request again after a
// connection error.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.Do(new(Attempt).AllowRetry(), req)
}

// CloseIdleConnections closes the idle connections. An http.Client calls it by this name.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// AbortUnsent reports whether it is certain that no byte of the request was or will be
// sent. To make sure, it closes the connections of the attempt that have written nothing.
func (a *Attempt) AbortUnsent() bool {
	a.mu.Lock()
	conns := a.conns
	a.mu.Unlock()
	for _, c := range conns {
		if !c.seal() {
			return false
		}
	}
	return true
}
