package peer

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"gorseline/core"
)

// Clock is the hybrid logical clock of an instance.
type Clock interface {
	Now() core.Timestamp
	Observe(t core.Timestamp) bool
}

// headerClock is the header with the timestamp of the sender, about 15 bytes.
const headerClock = "Hlc"

// NewClockInterceptor sends timestamps of a clock with calls and replies and observes those
// received, so that events after the receipt of a message order after events before its
// sending.
func NewClockInterceptor(clock Clock) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if request.Spec().IsClient {
				stamp(request.Header(), clock)
				reply, err := next(ctx, request)
				if err == nil {
					observe(reply.Header(), clock)
				}
				return reply, err
			}
			observe(request.Header(), clock)
			reply, err := next(ctx, request)
			if err == nil {
				stamp(reply.Header(), clock)
			}
			return reply, err
		}
	})
}

// stamp adds the current timestamp in base 36, which is a third shorter than base 10.
func stamp(h http.Header, clock Clock) {
	t := clock.Now()
	h.Set(headerClock, strconv.FormatInt(int64(t.Wall), 36)+"."+strconv.FormatUint(uint64(t.Logical), 36))
}

// observe advances the clock past the received timestamp. It ignores missing and malformed
// values, because older instances send none.
func observe(h http.Header, clock Clock) {
	wall, logical, found := strings.Cut(h.Get(headerClock), ".")
	if !found {
		return
	}
	w, wallErr := strconv.ParseInt(wall, 36, 64)
	l, logicalErr := strconv.ParseUint(logical, 36, 32)
	if wallErr == nil && logicalErr == nil {
		clock.Observe(core.Timestamp{Wall: time.Duration(w), Logical: uint32(l)})
	}
}
