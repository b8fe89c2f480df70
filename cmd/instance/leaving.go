package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
)

// leaving takes an instance out of service without cutting a request.
type leaving struct {
	control *control
	serving *serving
	// refusing is set when cached address answers have expired.
	refusing atomic.Bool
	// calls counts requests under way.
	calls atomic.Int64
}

func newLeaving(c *control, s *serving) *leaving { return &leaving{control: c, serving: s} }

// leavePoll is the time between two looks at the requests that are left.
const leavePoll = 50 * time.Millisecond

func (l *leaving) leave(ctx context.Context) error {
	l.control.member.Leave()
	if !sleep(ctx, membership.KeepFor) {
		return ctx.Err()
	}
	l.refusing.Store(true)
	for l.calls.Load() > 0 {
		if !sleep(ctx, leavePoll) {
			l.serving.relay.HandOver()
			return ctx.Err()
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Gate refuses new work when the instance has left the address answers for long
// enough, or can't rely on its configuration.
func (l *leaving) Gate() *core.Refusal {
	if l.refusing.Load() {
		return (core.Refusal{
			Kind: "Leaving", Message: "this instance is leaving; ask /addresses for another",
			NotRun: true, Status: http.StatusServiceUnavailable,
		}).WithRetryAfter(time.Second)
	}
	ready := l.control.member.Ready()
	if ready.Ready && l.serving.policies.InForce() == nil {
		ready = configuration.Readiness{Reason: "the configuration is being applied"}
	}
	if !ready.Ready {
		return (core.Refusal{
			Kind: string(core.ReasonNotReady), Message: ready.Reason, NotRun: true, Status: http.StatusServiceUnavailable,
		}).WithRetryAfter(time.Second)
	}
	return nil
}

// counted counts requests under way.
func (l *leaving) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.calls.Add(1)
		defer l.calls.Add(-1)
		next.ServeHTTP(w, r)
	})
}
