package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gorseline/core/drain"
)

const (
	// memoryRetryAfter is the retry delay for callers whose bodies are refused because memory is short. Requests of the
	// operators' routes end within seconds.
	memoryRetryAfter = time.Second
	// lingerTime bounds the time for which the rest of a refused body is read and dropped before the connection is closed.
	// Callers that read the answer after they have sent the whole body would otherwise get a reset.
	lingerTime = time.Second
)

// limitWrite bounds the time of the answer: callers that don't read it would keep the request for ever. It may take as long as
// the request, of which a time is left, and WriteGrace.
func (r *activeRequest) limitWrite(left time.Duration) {
	// If deadlines are not supported, the write ends with the connection.
	_ = http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(max(0, left) + r.WriteGrace))
}

// takeBody reads the body of the request. It returns false if it has answered the request
// with an error.
func (r *activeRequest) takeBody() bool {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return true
	}
	limit := r.table.Configuration().MaxBodyBytes
	if limit <= 0 {
		limit = r.MaxBodyBytes
	}
	control := http.NewResponseController(r.w)
	if r.in.ContentLength > limit {
		r.rejectBody(control, &http.MaxBytesError{Limit: limit})
		return false
	}
	stopRead := func() { _ = control.SetReadDeadline(time.Now()) }
	stopWatch := context.AfterFunc(r.stopped, stopRead)
	r.hold = r.Intake.NewHold(stopRead)
	source := &pacedBody{Reader: http.MaxBytesReader(r.w, r.in.Body, limit), r: r, control: control, began: r.Clock.Now()}
	body, err := readBody(source, r.in.ContentLength, r.hold)
	stopWatch()
	if !r.hold.Finish() {
		err = errMemoryShort
	}
	if err != nil {
		r.releaseBody()
		r.rejectBody(control, err)
		if errors.Is(err, errMemoryShort) && control.Flush() == nil {
			_, _ = io.CopyN(io.Discard, r.in.Body, limit) // the connection is closed in any case
		}
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	r.body = body
	return true
}

// releaseBody gives back the memory of the body.
func (r *activeRequest) releaseBody() {
	if r.hold != nil {
		r.hold.Close()
	}
}

// rejectBody answers a request whose body hasn't been read to its end.
func (r *activeRequest) rejectBody(control *http.ResponseController, err error) {
	// Without a deadline, the server would wait for the rest of the body of a caller that sends nothing.
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	r.w.Header().Set("Connection", "close")
	switch {
	case r.stopped.Err() != nil:
		r.refuse(ReasonStopped, drain.RetryAfter)
	case errors.Is(err, errMemoryShort):
		r.refuse(ReasonMemoryShort, memoryRetryAfter)
	case isTooLarge(err):
		r.reject(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "body is larger than the limit")
	case errors.Is(err, errBodyTooSlow):
		r.reject(http.StatusRequestTimeout, ReasonBodyTooSlow, err.Error())
	default:
		r.reject(http.StatusBadRequest, ReasonMalformed, "body can't be read: "+err.Error())
	}
}
