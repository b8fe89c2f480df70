package instance

import (
	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
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

// serving holds the parts on the path of a request.
type serving struct {
	fleet      *routing.Store
	policies   *policy.Set
	engines    *engine.Client
	relay      *stream.Relay
	operations *operation.Executor
	retrier    *retry.Retrier
	// watcher is set before any request is served.
	watcher *watch.Watcher
	// leaving knows the targets that get no new work.
	leaving    *drain.Targets
	dispatcher *dispatch.Dispatcher
}

type servingInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Platform  *platform
	Control   *control
	Clock     core.DeadlineClock
	Random    *random.Source
	Recorder  core.Recorder
	Attempts  attemptIDGenerator
	Observer  *instruments
	Log       log.Interface
}

func newServing(in servingInputs) (*serving, error) {
	previous := make([][]byte, len(in.Settings.PreviousResumeKey))
	for i, key := range in.Settings.PreviousResumeKey {
		previous[i] = []byte(key)
	}
	sealer, err := stream.NewTokenSigner([]byte(in.Settings.ResumeKey), previous...)
	if err != nil {
		return nil, err
	}
	s := &serving{
		fleet:    routing.NewStore(routing.StoreOptions{}),
		policies: policy.NewSet(newPlacer, in.Random.Uint64()),
		engines:  engine.NewClient(engine.Options{Name: in.Settings.Instance}),
		retrier:  retry.NewRetrier(retry.DefaultOptions(), in.Random),
		leaving:  drain.NewTargets(),
	}
	s.relay = stream.NewRelay(stream.Options{
		Completer: s.engines, Clock: in.Clock, Signer: sealer, Recorder: in.Recorder,
	})
	s.operations = newOperations(in)
	circuits := dispatch.NewCircuits(s.fleet, in.Clock, in.Random)
	s.dispatcher = dispatch.New(dispatch.Options{
		Policies: s.policies, Fleet: s.fleet, Completer: s.engines, Relay: s.relay, Sealer: sealer,
		Services: service.NewClient(service.Options{}), Operations: s.operations, Retrier: s.retrier,
		Hedger:   retry.NewHedger(retry.DefaultHedgeOptions(), s.retrier.Budget()),
		Circuits: circuits, Draining: s.leaving, RefreshReport: s.refresh, Clock: in.Clock, Recorder: in.Recorder, NewAttemptID: in.Attempts,
		Observer: in.Observer,
	})
	part.Register(in.Lifecycle, s.engines)
	part.Register(in.Lifecycle, s.operations)
	part.Register(in.Lifecycle, circuits)
	return s, nil
}

func newOperations(in servingInputs) *operation.Executor {
	options := operation.DefaultOptions()
	options.Self = core.InstanceID(in.Settings.Instance)
	options.Table = in.Platform.table.Claims
	options.Objects = in.Platform.objects
	options.Clock, options.Recorder, options.NewAttemptID = in.Clock, in.Recorder, in.Attempts
	options.IsLive = func(id core.InstanceID) bool {
		for _, member := range in.Control.members() {
			if member == id {
				return true
			}
		}
		return false
	}
	return operation.New(options)
}

// newPlacer makes the placement of a preset.
func newPlacer(preset core.Preset) core.Placer {
	return placement.New(placement.Options{
		RoleChangePrice: preset.RoleChangePrice, MinimumStay: preset.MinimumStay,
	})
}

// refresh asks for a new report of a target. Its own requests are the only ones that
// know that the last report no longer holds.
func (s *serving) refresh(id core.TargetID) { s.watcher.Refresh(id) }

// markLeaving follows a target's own report that it leaves or stays.
func (s *serving) markLeaving(now core.Instant, state core.TargetState) {
	if state.Report.Leaving || state.Drained {
		s.leaving.MarkLeaving(now, state.ID)
	} else {
		s.leaving.UnmarkLeaving(state.ID)
	}
}
