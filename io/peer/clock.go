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

// headerClock carries the sender's clock. Its value has about 15 bytes.
const headerClock = "Hlc"

// NewClockInterceptor passes a clock along with calls and replies, so that an event
// that follows from a message orders after the events before it was sent.
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

// stamp writes the clock in base 36, which takes a third less than base 10.
func stamp(h http.Header, clock Clock) {
	t := clock.Now()
	h.Set(headerClock, strconv.FormatInt(int64(t.Wall), 36)+"."+strconv.FormatUint(uint64(t.Logical), 36))
}

// observe ignores values that are missing or unreadable: an older instance sends none.
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
