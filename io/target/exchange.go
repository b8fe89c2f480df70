package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits of an exchange. Sizes are in bytes.
const (
	// readBufferSize is the size of a connection's read buffer. Most headers and the
	// bodies of short answers fit.
	readBufferSize = 4 << 10
	// maxEagerBody is the body size up to which a request is written before its answer
	// is read. Writing a longer body could block while the target already answers.
	maxEagerBody = 16 << 10
	// maxSkippedAnswers bounds the answers to earlier requests that are skipped.
	maxSkippedAnswers = 2
	// maxSkippedBody bounds the body of a skipped answer.
	maxSkippedBody = 1 << 20
)

// keepAliveMargin is how long before the end of a target's keep-alive timeout an idle
// connection is no longer used: a request must arrive before the target closes it.
const keepAliveMargin = 500 * time.Millisecond

// Request is the request of one exchange.
type Request struct {
	Address string
	Method  string
	// URI is the request target of the request line, with its escapes.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// Extend is called when the deadline passes before the first byte of the answer. It returns a
	// later deadline, or false to give up; nil gives up.
	Extend func() (time.Time, bool)
	// MaxIdle bounds the idle connections to the address when this one is returned to the
	// pool. The bound of the pool applies if MaxIdle is 0 or larger than that.
	MaxIdle int
	// Name identifies the request. NameIn returns the name of the request that an answer is for, or
	// empty if the answer names none; nil accepts any answer.
	Name   string
	NameIn func(http.Header) string
}

// Error reports a failed exchange.
type Error struct {
	// Sent is false only if it is certain that no byte of the request was sent.
	Sent bool
	err  error
}

// Error describes the failure.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Timeout reports whether the exchange failed because its deadline passed.
func (e *Error) Timeout() bool {
	return IsDeadline(e.err)
}

// Framing is the way in which the end of a body is marked.
type Framing string

// Framings of a body. The end of one with FramingConnection can't be told from that of its target.
const (
	FramingLength     Framing = "Length"
	FramingChunks     Framing = "Chunks"
	FramingConnection Framing = "Connection"
)

// Answer is a target's answer. It must be ended by Finish or Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if the header doesn't state it.
	Length int64
	Body   io.Reader
	// Framing tells how the end of the body is marked.
	Framing Framing
	// IsNewConnection is set if the connection had no request before.
	IsNewConnection bool
	// IsProven is set if the answer certainly belongs to the request, and is not a repetition of the
	// answer to an earlier one on the connection.
	IsProven bool

	pool *Pool
	conn *pooledConn
	// stopWatch cancels the closing of the connection at the end of the context. It returns
	// false if the context has already ended.
	stopWatch   func() bool
	ended       bool
	keepAlive   bool          // the target keeps the connection open
	idleTimeout time.Duration // 0: the target states none
	maxIdle     int           // as in the request
	lengthBody  lengthBody    // the body if its framing is FramingLength
	// upload writes a long request; nil if the request was written before the answer was read.
	upload *upload
}

// Do sends a request and returns the answer when its header has arrived. When ctx ends,
// the connection is closed, which cancels the request at the target. The error of a failed
// exchange is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	conn, isNew, err := p.get(ctx, r.Address, r.Name)
	if err != nil {
		return nil, &Error{err: err}
	}
	if err := conn.SetDeadline(r.Deadline); err != nil {
		_ = conn.Close() // the connection is unusable
		return nil, &Error{err: err}
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.Close() })
	a := &Answer{pool: p, conn: conn, stopWatch: stopWatch, maxIdle: r.MaxIdle, IsNewConnection: isNew}
	err = a.send(r)
	if err == nil {
		err = a.await(r)
	}
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

// send writes the request. A long request is written concurrently with reading the answer.
func (a *Answer) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1<<10), r)
	if len(r.Body) <= maxEagerBody {
		_, err := a.conn.Write(append(head, r.Body...))
		return errors.Wrap(err, "send request")
	}
	a.upload = newUpload()
	go a.upload.run(a.conn.Conn, head, r.Body)
	return nil
}

// appendHead appends the request line and the header.
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

// await waits for the first byte of the answer, up to the deadline as extended.
func (a *Answer) await(r *Request) error {
	for {
		_, err := a.conn.reader.Peek(1)
		if r.Extend == nil || !IsDeadline(err) {
			return errors.Wrap(err, "read answer")
		}
		deadline, ok := r.Extend()
		if !ok {
			return errors.Wrap(err, "read answer")
		}
		if err := a.conn.SetDeadline(deadline); err != nil {
			return errors.Wrap(err, "extend the deadline")
		}
	}
}

// receive reads the header of the answer that belongs to the request. It skips answers to
// earlier requests on the connection.
func (a *Answer) receive(r *Request) error {
	for skipped := 0; ; {
		response, err := a.readHeader(r.Method) //nolint:bodyclose // see readHeader
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		name := ""
		if r.NameIn != nil {
			name = r.NameIn(response.Header)
		}
		if name == "" || name == r.Name {
			a.IsProven = a.IsNewConnection || name != ""
			a.accept(response)
			// On a connection of unnamed answers the next one couldn't be told from a late one.
			a.keepAlive = a.keepAlive && (r.NameIn == nil || name != "")
			return nil
		}
		if skipped++; skipped > maxSkippedAnswers || !canSkip(response) {
			return errors.New("answer belongs to another request")
		}
		if err := a.skipBody(response); err != nil {
			return errors.Wrap(err, "skip an answer to another request")
		}
	}
}

// readHeader reads and checks the interim answers and the header of the final answer to a request with
// the given method.
func (a *Answer) readHeader(method string) (*http.Response, error) {
	// spilled holds the beginning of a header that doesn't fit in the read buffer.
	var spilled []byte
	reader, scanned := a.conn.reader.Reader, 0
	var scanner headScanner
	for {
		if _, err := reader.Peek(scanned + 1); err != nil {
			return nil, unexpectedEOF(err)
		}
		buffered, _ := reader.Peek(reader.Buffered()) // never fails for buffered bytes
		n, err := scanner.scan(buffered[scanned:])
		if err != nil {
			return nil, err
		}
		scanned += n
		if scanner.isDone {
			break
		}
		if scanned == reader.Size() {
			spilled = append(spilled, buffered...)
			_, _ = reader.Discard(scanned) // never fails for buffered bytes
			scanned = 0
		}
	}
	if spilled != nil {
		rest, _ := reader.Peek(scanned) // never fails for buffered bytes
		spilled = append(spilled, rest...)
		_, _ = reader.Discard(scanned) // never fails for buffered bytes
		reader = bufio.NewReader(bytes.NewReader(spilled))
	}
	return parseHeader(reader, method)
}

// parseHeader parses the header of an answer and the interim answers before it, which were checked. Its
// body isn't used.
func parseHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method} // http.ReadResponse needs only the method
	for {
		//nolint:bodyclose // the body ends with its connection, which the answer closes
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// canSkip reports whether another answer may follow on the connection soon.
func canSkip(response *http.Response) bool {
	return !response.Close && response.ContentLength >= 0 && response.ContentLength <= maxSkippedBody
}

// skipBody reads the body of an answer to another request, which has a length.
func (a *Answer) skipBody(response *http.Response) error {
	if response.Body == http.NoBody {
		return nil
	}
	_, err := io.CopyN(io.Discard, a.conn.reader, response.ContentLength)
	return err
}

func (a *Answer) accept(response *http.Response) {
	a.Status, a.Header, a.Length = response.StatusCode, response.Header, response.ContentLength
	a.Framing = framingOf(response)
	switch {
	case response.Body == http.NoBody:
		a.Body = http.NoBody
	case a.Framing == FramingLength:
		a.lengthBody = lengthBody{reader: a.conn.reader.Reader, left: response.ContentLength}
		a.Body = &a.lengthBody
	case a.Framing == FramingChunks:
		a.Body = &chunkedBody{reader: a.conn.reader.Reader}
	default:
		a.Body = &connectionBody{Reader: a.conn.reader.Reader, upload: a.upload}
	}
	a.keepAlive, a.idleTimeout = !response.Close, keepAliveTimeout(response.Header)
}

func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return FramingLength
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	default:
		return FramingConnection
	}
}

// keepAliveTimeout returns for how long a target keeps an idle connection open, less a
// margin for the network latency, or 0 if the header doesn't state it.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return 0
}

// SetReadDeadline bounds the following reads of the body.
func (a *Answer) SetReadDeadline(at time.Time) error { return a.conn.SetReadDeadline(at) }

// OnTimeout sets a function that is called when the deadline of a read passes, on the goroutine that
// reads. It returns a later deadline for the read to go on, or false for the read to fail. A body
// can't be read after a failed read.
func (a *Answer) OnTimeout(extend func() (time.Time, bool)) { a.conn.reader.source.extend = extend }

// Finish ends an answer whose body was read to its end. It returns the connection to the
// pool unless the target closes it, the request was not written completely, unread bytes
// remain or the context has ended.
func (a *Answer) Finish() {
	if a.ended {
		return
	}
	a.ended = true
	a.OnTimeout(nil)
	// The target may answer before it has received the whole body. The rest must not be taken for the next
	// request.
	isWritten := a.upload == nil || a.upload.isComplete()
	if !a.stopWatch() || !a.keepAlive || !isWritten || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close() // the answer is complete
		return
	}
	if err := a.conn.SetDeadline(time.Time{}); err != nil {
		_ = a.conn.Close() // the connection is unusable
		return
	}
	a.pool.put(a.conn, a.idleTimeout, a.maxIdle)
}

// Close ends the exchange. Unless Finish was called, it closes the connection, which
// cancels the request at the target.
func (a *Answer) Close() error {
	a.abandon()
	return nil
}

func (a *Answer) abandon() {
	if a.ended {
		return
	}
	a.ended = true
	a.stopWatch()
	_ = a.conn.Close() // the exchange has failed or its answer is no longer needed
}
