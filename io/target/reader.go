package target

import (
	"bufio"
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// reader is a buffered reader with a limit on the bytes that it reads from the connection.
type reader struct {
	*bufio.Reader
	source *limitedReader
}

type limitedReader struct {
	net.Conn
	// remaining is the number of bytes that may still be read; negative is unlimited.
	remaining int64
	// extend is called after a timeout, see Answer.OnTimeout; nil fails the read.
	extend func() (time.Time, bool)
	// failure is the error with which the connection has ended, or nil.
	failure error
}

func newReader(conn net.Conn) *reader {
	source := &limitedReader{Conn: conn, remaining: -1}
	return &reader{bufio.NewReaderSize(source, readBufferSize), source}
}

// limit sets the number of bytes that may still be read; a negative number removes the
// limit.
func (r *reader) limit(n int64) { r.source.remaining = n }

// Read reads from the connection within the limit. It fails once the limit is reached, and after the
// connection has failed.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errors.New("answer header is too long")
	}
	if l.remaining > 0 && int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.readConn(b)
	for n == 0 && l.extend != nil && IsDeadline(err) {
		deadline, ok := l.extend()
		if !ok {
			break
		}
		if err := l.SetReadDeadline(deadline); err != nil {
			return 0, errors.Wrap(err, "extend the deadline")
		}
		n, err = l.readConn(b)
	}
	if l.remaining > 0 {
		l.remaining -= int64(n)
	}
	return n, err
}

// readConn reads from the connection. A socket reports a failure only once, and then the end of the
// connection, so that the failure is kept.
func (l *limitedReader) readConn(b []byte) (int, error) {
	if l.failure != nil {
		return 0, l.failure
	}
	n, err := l.Conn.Read(b)
	if err != nil && !IsDeadline(err) {
		l.failure = err
	}
	return n, err
}

// IsDeadline reports whether an operation failed because a deadline of this process has passed. The
// timeout of a connection that the kernel gives up (ETIMEDOUT) is a failure of the connection instead,
// although its Timeout method returns true, too.
func IsDeadline(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
