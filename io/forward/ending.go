package forward

import (
	"context"
	"net"
	"net/http"

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
