package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"gorseline/core/roster"
	"gorseline/io/target"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// ConnContext must be the ConnContext of each http.Server in front of a Forwarder. Without it answers that
// end with their connection are relayed in chunks.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Values of SetLinger: the close of a connection is a reset, or a proper end.
const (
	lingerReset  = 0
	lingerProper = -1
)

// setLinger sets how the connection to the caller ends. It returns false if that can't be set.
func (r *activeRequest) setLinger(seconds int) bool {
	conn, ok := r.in.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	return ok && conn.SetLinger(seconds) == nil
}

// hasOpenEnd reports whether an answer ends, at its target or at the caller, with nothing but its
// connection.
func (r *activeRequest) hasOpenEnd(answer *target.Answer) bool {
	return isUnstated(answer) || answer.Length < 0 && !r.in.ProtoAtLeast(1, 1)
}

// isUnstated reports whether only the end of its connection marks that of an answer.
func isUnstated(answer *target.Answer) bool {
	return answer.Framing == target.FramingConnection && answer.Body != http.NoBody
}

// openEnd relays an answer with an open end in that framing. Until completeAnswer is called each end of the
// connection is a reset, also that by the end of this process.
func (r *activeRequest) openEnd(header http.Header) {
	if r.setLinger(lingerReset) {
		r.isOpenEnded = true
		header.Set("Transfer-Encoding", "identity") // keeps the server from sending chunks
	}
}

// completeAnswer lets the connection to the caller end properly, after the whole answer has been flushed.
func (r *activeRequest) completeAnswer() {
	if r.isOpenEnded {
		r.setLinger(lingerProper) // the connection ends with a reset if this fails
	}
}

// cutAnswer ends the request so that the caller can't take what it has got for a whole answer: the last
// chunk or a part of its length is missing, or the connection is reset.
func (r *activeRequest) cutAnswer() { panic(http.ErrAbortHandler) }

// EndEvidence is what is known of a target at an end of its answer that it hasn't stated.
type EndEvidence string

// Evidence at an unstated end.
const (
	// EndConfirmed means that the target accepts connections.
	EndConfirmed EndEvidence = "Confirmed"
	// EndRefuted means that it doesn't, so that its process may have ended in the middle of the answer.
	EndRefuted EndEvidence = "Refuted"
	// EndUnknown means that it wasn't reached in time, which says nothing about its process.
	EndUnknown EndEvidence = "Unknown"
)

// confirmEnd returns an error if an answer has ended without its target stating that and the target
// accepts no connections any more. e is nil if another instance has sent the request to its target: that
// one asks, and resets the connection of an answer that has broken.
func (r *activeRequest) confirmEnd(e *roster.Entry, answer *target.Answer) error {
	if e == nil || !isUnstated(answer) {
		return nil
	}
	err := r.Pool.Probe(r.ctx, e.Address, r.maxIdle())
	r.recordConnection(e, err)
	if err == nil {
		r.endEvidence = EndConfirmed
		return nil
	}
	if target.IsDeadline(err) {
		r.endEvidence = EndUnknown
		return errors.Wrap(err, "end of an answer whose target isn't reached")
	}
	r.endEvidence = EndRefuted
	return errors.Wrapf(io.ErrUnexpectedEOF, "end of an answer whose target is gone (%v)", err)
}

// bodyReader reads a body. It keeps the error of a failed read, which io.Copy doesn't tell from that of a
// write, and the last bytes.
type bodyReader struct {
	io.Reader
	// err is nil unless a read has failed before the end.
	err  error
	tail []byte
}

// maxTail is the length in bytes of the longest end of an event.
const maxTail = len("\n\r\n")

// Read reads from the embedded reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	r.tail = append(r.tail, b[max(0, n-maxTail):n]...)
	r.tail = r.tail[max(0, len(r.tail)-maxTail):]
	return n, err
}

// checkEnd returns an error if the body has ended although it can't be whole: a stream in the middle of an
// event, or before the first one without its target stating the end.
func (r *bodyReader) checkEnd(answer *target.Answer) error {
	isBetween := bytes.HasSuffix(r.tail, []byte("\n\n")) || bytes.HasSuffix(r.tail, []byte("\n\r\n"))
	switch {
	case !isEventStream(answer) || isBetween:
		return nil
	case len(r.tail) == 0 && !isUnstated(answer):
		return nil
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "stream ended inside an event")
}
