package target

import (
	"bufio"
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// reader is a buffered reader of a connection.
type reader struct {
	*bufio.Reader
	source *patientReader
}

// patientReader reads from a connection.
type patientReader struct {
	net.Conn
	// extend is called after a timeout, see Answer.OnTimeout; nil fails the read.
	extend func() (time.Time, bool)
	// failure is the error with which the connection has ended, or nil.
	failure error
}

func newReader(conn net.Conn) *reader {
	source := &patientReader{Conn: conn}
	return &reader{bufio.NewReaderSize(source, readBufferSize), source}
}

// Read reads from the connection. It fails after the connection has failed.
func (p *patientReader) Read(b []byte) (int, error) {
	n, err := p.readConn(b)
	for n == 0 && p.extend != nil && IsDeadline(err) {
		deadline, ok := p.extend()
		if !ok {
			break
		}
		if err := p.SetReadDeadline(deadline); err != nil {
			return 0, errors.Wrap(err, "extend the deadline")
		}
		n, err = p.readConn(b)
	}
	return n, err
}

// readConn reads from the connection. A socket reports a failure only once, and then the end of the
// connection, so that the failure is kept.
func (p *patientReader) readConn(b []byte) (int, error) {
	if p.failure != nil {
		return 0, p.failure
	}
	n, err := p.Conn.Read(b)
	err = checkEnd(p.Conn, err)
	if err != nil && !IsDeadline(err) {
		p.failure = err
	}
	return n, err
}

// IsDeadline reports whether an operation failed because a deadline of this process has passed. The
// timeout of a connection that the kernel gives up (ETIMEDOUT) is a failure of the connection instead,
// although its Timeout method returns true, too.
func IsDeadline(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
