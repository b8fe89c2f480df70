package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/drain"
	"gorseline/core/membership"
	"gorseline/io/caller"
)

// leaving takes an instance out of service without cutting a request.
type leaving struct {
	control *control
	serving *serving
	state   *drain.Instance
}

func newLeaving(s Settings, c *control, serving *serving, a *authorities, recorder core.Recorder) *leaving {
	l := &leaving{control: c, serving: serving}
	l.state = drain.NewInstance(drain.Options{
		Announce: func(context.Context) error {
			c.member.Leave()
			return nil
		},
		HandOver:     serving.relay.HandOver,
		Release:      a.release,
		Recorder:     recorder,
		AddressTTL:   membership.AddressTTL,
		DrainTimeout: s.LeaveTimeout,
	})
	return l
}

// leave returns when the instance has left. The end of hurry, as by a second signal,
// hands over open streams at once.
func (l *leaving) leave(hurry context.Context) error {
	l.state.Leave()
	defer context.AfterFunc(hurry, l.state.Leave)()
	result := l.state.Run(context.WithoutCancel(hurry))
	if result.Cut > 0 {
		return errors.Errorf("%d requests had not ended", result.Cut)
	}
	return result.Err
}

// Gate refuses new work when the instance can't rely on its configuration.
func (l *leaving) Gate() *core.Refusal {
	ready := l.control.member.Ready()
	if ready.Ready && l.serving.policies.InForce() == nil {
		ready = configuration.Readiness{Reason: "the configuration is being applied"}
	}
	if ready.Ready {
		return nil
	}
	return (core.Refusal{
		Kind: string(core.ReasonNotReady), Message: ready.Reason, NotRun: true, Status: http.StatusServiceUnavailable,
	}).WithRetryAfter(time.Second)
}

// ready is the answer of the readiness endpoint: a leaving instance is not ready,
// although it still accepts requests from callers that keep its address.
func (l *leaving) ready() *core.Refusal {
	if l.state.Phase() != drain.PhaseServing {
		return &core.Refusal{Kind: "Leaving", Message: "the instance is leaving: " + l.state.Phase().String()}
	}
	return l.Gate()
}

// counted admits requests until cached address answers have expired and counts those
// under way.
func (l *leaving) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end, ok := l.state.Begin()
		if !ok {
			l.refuse(w, r)
			return
		}
		defer end()
		next.ServeHTTP(w, r)
	})
}

// refuse sends a caller to another instance. A stream that is resumed has run before.
func (l *leaving) refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	refusal := core.Refusal{
		Kind: "Leaving", Message: "this instance is leaving; ask /addresses for another",
		NotRun: r.Header.Get(caller.HeaderLastEvent) == "", Status: http.StatusServiceUnavailable,
	}
	_ = caller.WriteRefusal(w, refusal.WithRetryAfter(100*time.Millisecond)) // a caller that went away can't be told
}
