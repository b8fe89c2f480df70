package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// paceStep is the shortest time by which the deadline of a read is moved. A body in small pieces would move it at each.
const paceStep = 250 * time.Millisecond

// errBodyTooSlow reports a body that doesn't make the progress that the settings demand.
var errBodyTooSlow = errors.New("body arrives too slowly")

// pacedBody is the body of a request whose reads end when it makes too little progress, and at the deadline of the request.
type pacedBody struct {
	io.Reader
	r       *activeRequest
	control *http.ResponseController
	began   core.Instant
	// deadline is that of the next read.
	deadline core.Instant
	arrived  int64
}

// Read returns errBodyTooSlow if too little has arrived.
func (b *pacedBody) Read(p []byte) (int, error) {
	b.moveDeadline()
	n, err := b.Reader.Read(p)
	b.arrived += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) && b.deadline < b.r.deadline && b.r.Clock.Now() >= b.deadline {
		return n, errBodyTooSlow
	}
	return n, err
}

// moveDeadline sets the deadline of the next read. It doesn't lift the one of a request that has been cut or stopped.
func (b *pacedBody) moveDeadline() {
	now := b.r.Clock.Now()
	deadline := min(b.r.BodyPace.Deadline(b.began, now, b.arrived), b.r.deadline)
	if b.deadline > 0 && deadline.Sub(b.deadline) < paceStep {
		return
	}
	b.deadline = deadline
	// If deadlines are not supported, the read still ends with the context of the request.
	_ = b.control.SetReadDeadline(time.Now().Add(deadline.Sub(now)))
	if b.r.hold.IsCut() || b.r.stopped.Err() != nil {
		_ = b.control.SetReadDeadline(time.Now())
	}
}
