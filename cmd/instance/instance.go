package instance

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/timeline"
	"gorseline/io/certificate"
)

// Instance is one entry instance.
type Instance struct {
	app      *fx.App
	servers  *servers
	shutdown *shutdown
}

// New assembles an instance without starting it. Log lines go to logs. It returns an error
// if the settings are invalid or a port can't be opened.
func New(settings Settings, logs io.Writer) (*Instance, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	i := &Instance{}
	i.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(settings.LeaveTimeout),
		fx.Supply(settings),
		fx.Provide(
			func() log.Interface { return newLogger(settings, logs) },
			core.NewDeadlineClock,
			func(c core.DeadlineClock) core.ClockProvider { return c },
			func() *timeline.Clock { return timeline.NewClock(timeline.WallTime) },
			newTimeline,
			newRecorder,
			metrics.NewRegistry,
			newInstruments,
			newRandom,
			newAttemptIDGenerator,
			func() (*certificate.Source, error) { return certificate.NewSource(certificate.Files(settings.TLS)) },
			newListeners,
			newPlatform,
			newControl,
			newServing,
			newAuthority,
			newPlacementLoop,
			newEventFlusher,
			newShutdown,
			newServers,
		),
		fx.Invoke(applyConfiguration, registerGauges, watchExperiments, observeChanges, func(*placementLoop, *eventFlusher) {}),
		fx.Populate(&i.servers, &i.shutdown),
	)
	return i, i.app.Err()
}

// Start starts all components. When it returns, the ports accept connections.
func (i *Instance) Start(ctx context.Context) error { return i.app.Start(ctx) }

// Stop stops all components and interrupts requests that don't end soon. Call Leave before
// it to let them finish.
func (i *Instance) Stop(ctx context.Context) error { return i.app.Stop(ctx) }

// Leave announces that the instance is leaving, and returns when its requests have ended and
// its leases are released. When ctx ends, the streams that are still open are handed over at
// once.
func (i *Instance) Leave(ctx context.Context) error { return i.shutdown.leave(ctx) }

// CallersAddress returns the address that callers use.
func (i *Instance) CallersAddress() string { return i.servers.listeners.callersAddress }

// OperatorsAddress returns the address of the operators' API.
func (i *Instance) OperatorsAddress() string { return i.servers.listeners.operators.Addr().String() }

// PeersAddress returns the address that other instances use.
func (i *Instance) PeersAddress() string { return i.servers.listeners.peersAddress }

// attemptIDGenerator returns a new ID on each call, unique across all processes.
type attemptIDGenerator func() core.AttemptID

func newAttemptIDGenerator() attemptIDGenerator {
	return func() core.AttemptID { return core.AttemptID(uuid.NewString()) }
}

// newRandom returns a source with a different seed for each instance and each start.
func newRandom(s Settings) *random.Source {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s.Instance) // a hash never fails
	return random.New(h.Sum64() ^ rand.Uint64())
}

func newLogger(s Settings, logs io.Writer) log.Interface {
	return (&log.Logger{Handler: logfmt.New(logs), Level: log.MustParseLevel(s.LogLevel)}).
		WithField("instance", s.Instance)
}

func newTimeline(s Settings, clock *timeline.Clock) *timeline.Timeline {
	return timeline.New(core.InstanceID(s.Instance), clock, s.EventsKept)
}
