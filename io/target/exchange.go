package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Sizes of the buffers of a connection, in bytes: most headers, and the bodies of short
// answers, fit.
const (
	readBuffer = 4 << 10
	// eagerBody is the body size up to which a request is written before its answer is
	// read. A longer body could block while the target already answers.
	eagerBody = 16 << 10
	// maximumHeader bounds the header of an answer.
	maximumHeader = 64 << 10
	// maximumSkipped bounds the answers to earlier requests that are skipped.
	maximumSkipped = 2
	// skippedBody bounds the body of a skipped answer.
	skippedBody = 1 << 20
)

// Request is one request of an exchange.
type Request struct {
	Address string
	Method  string
	// URI is the request target as it goes on the wire.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// MaxIdle bounds the unused connections to the address that are kept afterwards; 0 takes
	// the bound of the pool, which is never exceeded.
	MaxIdle int
	// Matches reports whether an answer belongs to the request; nil accepts any.
	Matches func(http.Header) bool
}

// Error is a failed exchange.
type Error struct {
	// Sent is false only if no byte of the request can have reached the target.
	Sent bool
	err  error
}

// Error describes the failure.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Timeout reports whether the deadline of the exchange passed.
func (e *Error) Timeout() bool {
	var t interface{ Timeout() bool }
	return errors.As(e.err, &t) && t.Timeout() || errors.Is(e.err, context.DeadlineExceeded)
}

// Answer is a target's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if the header doesn't state it.
	Length int64
	Body   io.Reader

	pool  *Pool
	conn  *pooled
	stop  func() bool
	ended bool
	keep  bool
	idle  time.Duration
	// maxIdle is that of the request.
	maxIdle int
	// written is closed when the request's body was written; nil if it was written before
	// the answer was read.
	written chan error
}

// Do sends a request and returns the answer when its header has arrived. The exchange
// ends with ctx: the connection is then closed, which tells the target to stop. A failed
// exchange returns an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	conn, err := p.get(ctx, r.Address)
	if err != nil {
		return nil, &Error{err: err}
	}
	if err := conn.SetDeadline(r.Deadline); err != nil {
		_ = conn.Close() // it can't be used
		return nil, &Error{err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	a := &Answer{pool: p, conn: conn, stop: stop, maxIdle: r.MaxIdle}
	err = a.send(r)
	if err == nil {
		err = a.receive(r)
	}
	if err != nil {
		a.abandon()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, err: err}
	}
	return a, nil
}

// send writes the request. A long body is written while the answer is read.
func (a *Answer) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1<<10), r)
	if len(r.Body) <= eagerBody {
		_, err := a.conn.Write(append(head, r.Body...))
		return errors.Wrap(err, "send request")
	}
	a.written = make(chan error, 1)
	go a.runWrite(head, r.Body)
	return nil
}

// runWrite writes a long request. It ends at the latest when the connection is closed.
func (a *Answer) runWrite(head, body []byte) {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(a.conn.Conn)
	a.written <- err
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads the header of the answer that belongs to the request.
func (a *Answer) receive(r *Request) error {
	method := &http.Request{Method: r.Method}
	for skipped := 0; ; {
		a.conn.reader.limit(maximumHeader)
		//nolint:bodyclose // the body ends with its connection, which the answer closes
		response, err := http.ReadResponse(a.conn.reader.Reader, method)
		a.conn.reader.limit(-1)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue // an interim answer has no body
		}
		if r.Matches == nil || r.Matches(response.Header) {
			a.accept(response)
			return nil
		}
		if skipped++; skipped > maximumSkipped || response.ContentLength < 0 || response.Close {
			return errors.New("answer belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, response.Body, min(response.ContentLength, skippedBody)); err != nil {
			return errors.Wrap(err, "skip an answer to another request")
		}
	}
}

func (a *Answer) accept(response *http.Response) {
	a.Status, a.Header, a.Length = response.StatusCode, response.Header, response.ContentLength
	a.Body = response.Body
	a.keep, a.idle = !response.Close, keepAliveTime(response.Header)
}

// keepAliveTime returns for how long a target keeps an unused connection, less a reserve
// for the way there, or 0 if it doesn't say.
func keepAliveTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - 500*time.Millisecond
		}
	}
	return 0
}

// SetReadDeadline bounds the wait for the next bytes of the body.
func (a *Answer) SetReadDeadline(at time.Time) error { return a.conn.SetReadDeadline(at) }

// Buffered returns the number of bytes that can be read without waiting.
func (a *Answer) Buffered() int { return a.conn.reader.Buffered() }

// Finish ends an answer whose body was read to its end. The connection is kept if
// nothing speaks against it.
func (a *Answer) Finish() {
	if a.ended {
		return
	}
	a.ended = true
	isWritten := true
	if a.written != nil {
		select {
		case err := <-a.written:
			isWritten = err == nil
		default:
			// The target answered before it had the whole body. Closing keeps the rest of
			// this body and the next request apart.
			isWritten = false
		}
	}
	if !a.stop() || !a.keep || !isWritten || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close() // the answer is complete
		return
	}
	if err := a.conn.SetDeadline(time.Time{}); err != nil {
		_ = a.conn.Close() // it can't be used again
		return
	}
	a.pool.put(a.conn, a.idle, a.maxIdle)
}

// Close ends the exchange. Unless Finish was called, it closes the connection, which
// tells the target to stop.
func (a *Answer) Close() error {
	a.abandon()
	return nil
}

func (a *Answer) abandon() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	_ = a.conn.Close() // the exchange has failed or is not needed any more
}

// reader is a buffered reader that can bound how much it takes from the connection.
type reader struct {
	*bufio.Reader
	source *limited
}

type limited struct {
	io.Reader
	left int64
}

func newReader(conn net.Conn) *reader {
	source := &limited{Reader: conn, left: -1}
	return &reader{bufio.NewReaderSize(source, readBuffer), source}
}

// limit bounds the bytes read from now on; a negative number removes the bound.
func (r *reader) limit(n int64) { r.source.left = n }

// Read reads from the connection within the limit.
func (l *limited) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, errors.New("answer header is too long")
	}
	if l.left > 0 && int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.Reader.Read(b)
	if l.left > 0 {
		l.left -= int64(n)
	}
	return n, err
}
