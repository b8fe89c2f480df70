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

// shutdown takes the instance out of service without interrupting requests.
type shutdown struct {
	control *control
	serving *serving
	drain   *drain.Instance
}

func newShutdown(
	settings Settings, control *control, serving *serving, authority *leaseAuthority, recorder core.Recorder,
) *shutdown {
	return &shutdown{control: control, serving: serving, drain: drain.NewInstance(drain.Options{
		Announce: func(context.Context) error {
			control.member.Leave()
			return nil
		},
		HandOver:     serving.relay.HandOver,
		Release:      authority.releaseLeases,
		Recorder:     recorder,
		AddressTTL:   membership.AddressTTL,
		DrainTimeout: settings.LeaveTimeout,
	})}
}

// leave starts the shutdown and returns when the instance has left. If ctx ends first, for
// example at a second signal, open streams are handed over at once. It returns an error if
// requests were interrupted or a step failed.
func (s *shutdown) leave(ctx context.Context) error {
	s.drain.Leave()
	defer context.AfterFunc(ctx, s.drain.Leave)()
	result := s.drain.Run(context.WithoutCancel(ctx))
	if result.Cut > 0 {
		return errors.Errorf("%d requests had not ended", result.Cut)
	}
	return result.Err
}

// CheckAdmission returns a refusal of new work while the instance has no current configuration or
// hasn't applied it, and nil otherwise.
func (s *shutdown) CheckAdmission() *core.Refusal {
	ready := s.control.member.Ready()
	if ready.Ready && s.serving.policies.Primary() == nil {
		ready = configuration.Readiness{Reason: "the configuration is being applied"}
	}
	if ready.Ready {
		return nil
	}
	return (core.Refusal{
		Kind: string(core.ReasonNotReady), Message: ready.Reason, NotRun: true, Status: http.StatusServiceUnavailable,
	}).WithRetryAfter(time.Second)
}

// ready returns the refusal of the readiness endpoint, or nil. A leaving instance is not
// ready, although it still accepts requests from callers that have its address cached.
func (s *shutdown) ready() *core.Refusal {
	if s.drain.Phase() != drain.PhaseServing {
		return &core.Refusal{Kind: "Leaving", Message: "the instance is leaving: " + s.drain.Phase().String()}
	}
	return s.CheckAdmission()
}

// admitRequests passes requests to next until cached address answers have expired, and then
// refuses them. It counts the open requests.
func (s *shutdown) admitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end, ok := s.drain.Begin()
		if !ok {
			s.refuse(w, r)
			return
		}
		defer end()
		next.ServeHTTP(w, r)
	})
}

// refuse asks the caller to use another instance. A request that resumes a stream has already
// run, so it isn't reported as not run.
func (s *shutdown) refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	refusal := core.Refusal{
		Kind: "Leaving", Message: "this instance is leaving; ask /addresses for another",
		NotRun: r.Header.Get(caller.HeaderLastEventID) == "", Status: http.StatusServiceUnavailable,
	}
	_ = caller.WriteRefusal(w, refusal.WithRetryAfter(100*time.Millisecond)) // fails only if the caller has disconnected
}
