package target

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// settleTime bounds the wait for the end of an upload whose target has ended its side of the
// connection. The kernel accepts or refuses what is left at once, unless the target doesn't read it.
const settleTime = 250 * time.Millisecond

// upload is the write of a long request while its answer is read.
type upload struct {
	once sync.Once
	done chan struct{}
	// err is the result. It is set before done is closed.
	err error
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// run writes the request. It returns at the latest when the connection is closed.
func (u *upload) run(conn net.Conn, head, body []byte) {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(conn)
	u.finish(err)
}

// finish records the result of the write. Further calls change nothing.
func (u *upload) finish(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// isComplete reports whether the whole request has been written.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// settle waits for the end of the upload. It returns why the request was not written completely.
func (u *upload) settle() error {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-u.done:
		return errors.Wrap(u.err, "send request")
	case <-timer.C:
		return errors.Wrap(io.ErrUnexpectedEOF, "answer ended before the request was sent")
	}
}

// connectionBody is a body with FramingConnection. It is complete if its target has ended the connection after it
// had got the whole request. A socket reports a failure only once: if the upload gets it, the reader sees
// nothing but the end.
type connectionBody struct {
	io.Reader
	upload *upload // nil if the request was written before the answer was read
}

// Read returns io.EOF only if the body is complete.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.upload == nil || !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.upload.settle(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// errHalfSent reports a connection that its target has ended before it had got the request.
var errHalfSent = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the request had arrived")

// checkEnd returns err, or errHalfSent if err is the end of a connection whose target hasn't got all that was
// sent. The kernel takes a request long before it has arrived, and the reset that follows comes after the end.
func checkEnd(conn net.Conn, err error) error {
	if errors.Is(err, io.EOF) && hasUnacknowledged(conn) {
		return errHalfSent
	}
	return err
}

// hasUnacknowledged reports whether the peer of a socket hasn't acknowledged all bytes that were written. The
// end of a connection acknowledges all that arrived before it.
func hasUnacknowledged(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	failure := raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return failure == nil && err == nil && count > 0
}
