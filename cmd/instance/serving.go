package instance

import (
	"slices"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/dispatch"
	"gorseline/core/drain"
	"gorseline/core/operation"
	"gorseline/core/placement"
	"gorseline/core/policy"
	"gorseline/core/retry"
	"gorseline/core/routing"
	"gorseline/core/stream"
	"gorseline/core/watch"
	"gorseline/io/engine"
	"gorseline/io/service"
)

// serving holds the components that process requests.
type serving struct {
	fleet      *routing.Store
	policies   *policy.Set
	engines    *engine.Client
	relay      *stream.Relay
	operations *operation.Executor
	retrier    *retry.Retrier
	// watcher is set by newAuthority, before any request is served.
	watcher *watch.Watcher
	// drainTargets tracks the targets that accept no new work.
	drainTargets *drain.Targets
	dispatcher   *dispatch.Dispatcher
}

type servingInputs struct {
	fx.In

	Lifecycle    fx.Lifecycle
	Settings     Settings
	Platform     *platform
	Control      *control
	Clock        core.DeadlineClock
	Random       *random.Source
	Recorder     core.Recorder
	NewAttemptID attemptIDGenerator
	Observer     *instruments
	Log          log.Interface
}

func newServing(in servingInputs) (*serving, error) {
	previous := make([][]byte, len(in.Settings.PreviousResumeKey))
	for i, key := range in.Settings.PreviousResumeKey {
		previous[i] = []byte(key)
	}
	signer, err := stream.NewTokenSigner([]byte(in.Settings.ResumeKey), previous...)
	if err != nil {
		return nil, err
	}
	s := &serving{
		fleet:        routing.NewStore(routing.StoreOptions{}),
		policies:     policy.NewSet(newPlacer, in.Random.Uint64()),
		engines:      engine.NewClient(engine.Options{Name: in.Settings.Instance}),
		retrier:      retry.NewRetrier(retry.DefaultOptions(), in.Random),
		drainTargets: drain.NewTargets(),
	}
	s.relay = stream.NewRelay(stream.Options{
		Completer: s.engines, Clock: in.Clock, Signer: signer, Recorder: in.Recorder,
	})
	s.operations = newOperations(in)
	circuits := dispatch.NewCircuits(s.fleet, in.Clock, in.Random)
	s.dispatcher = dispatch.New(dispatch.Options{
		Policies: s.policies, Fleet: s.fleet, Completer: s.engines, Relay: s.relay, Signer: signer,
		Services: service.NewClient(service.Options{}), Operations: s.operations, Retrier: s.retrier,
		Hedger:   retry.NewHedger(retry.DefaultHedgeOptions(), s.retrier.Budget()),
		Circuits: circuits, Draining: s.drainTargets, RefreshReport: s.refreshReport,
		Clock: in.Clock, Recorder: in.Recorder, NewAttemptID: in.NewAttemptID, Observer: in.Observer,
	})
	lifecycle.Register(in.Lifecycle, s.engines)
	lifecycle.Register(in.Lifecycle, s.operations)
	lifecycle.Register(in.Lifecycle, circuits)
	return s, nil
}

func newOperations(in servingInputs) *operation.Executor {
	options := operation.DefaultOptions()
	options.Self = core.InstanceID(in.Settings.Instance)
	options.Table = in.Platform.table.Claims
	options.Objects = in.Platform.objects
	options.Clock, options.Recorder, options.NewAttemptID = in.Clock, in.Recorder, in.NewAttemptID
	options.IsLive = func(id core.InstanceID) bool {
		return slices.Contains(in.Control.liveInstances(), id)
	}
	return operation.New(options)
}

// newPlacer returns the role planner of a preset.
func newPlacer(preset core.Preset) core.Placer {
	return placement.New(placement.Options{
		RoleChangePrice: preset.RoleChangePrice, MinimumStay: preset.MinimumStay,
	})
}

// refreshReport polls a target soon. The dispatcher calls it when the target has refused a
// request, because its last load report is out of date then.
func (s *serving) refreshReport(id core.TargetID) { s.watcher.Refresh(id) }

// markLeaving stops new work to a target that reports that it is leaving or that operators
// have drained, and resumes it otherwise.
func (s *serving) markLeaving(now core.Instant, state core.TargetState) {
	if state.Report.Leaving || state.Drained {
		s.drainTargets.MarkLeaving(now, state.ID)
	} else {
		s.drainTargets.UnmarkLeaving(state.ID)
	}
}
