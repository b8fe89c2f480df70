package node

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/membership"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/digest"
	"gorseline/io/forward"
	"gorseline/io/logline"
	"gorseline/io/target"
	"gorseline/platform"
)

// identity is what tells this process from others, also from an earlier one of the same
// instance.
type identity struct {
	sender uint32
	seed   uint64
}

// module lists the parts of an instance.
func module(options Options, settings platform.Settings, output io.Writer) fx.Option {
	return fx.Options(
		fx.Supply(options, settings),
		fx.Provide(
			newIdentity,
			func(lc fx.Lifecycle) log.Interface { return newLog(lc, settings, output) },
			core.NewProcessClock,
			metrics.NewRegistry,
			newInstruments,
			newStore,
			platform.NewInstanceList,
			func(s *platform.Store) core.Table { return s },
			func(i identity) *random.Source { return random.New(i.seed) },
			load.NewTracker,
			func() *roster.Roster { return roster.New(settings.Heartbeat) },
			func(r *random.Source) *retry.Health { return retry.NewHealth(retry.DefaultHealthOptions(), r) },
			newAssigner,
			newBudgets,
			func() *target.Pool { return target.NewPool(target.PoolOptions{}) },
			catchup.New,
			newBeliefs,
			newDigests,
			newForwarder,
			newWatcher,
			newRoles,
			newNode,
		),
	)
}

func newIdentity() identity {
	var b [12]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return identity{binary.LittleEndian.Uint32(b[:4]), binary.LittleEndian.Uint64(b[4:])}
}

func newLog(lc fx.Lifecycle, settings platform.Settings, output io.Writer) log.Interface {
	writer := logline.New(logline.Options{Output: output, Instance: string(settings.Instance)})
	part.Start(lc, writer)
	return &log.Logger{Handler: writer, Level: log.InfoLevel}
}

func newStore(settings platform.Settings, i *instruments) *platform.Store {
	return platform.NewStore(settings.Store, i)
}

func newAssigner(
	settings platform.Settings, b *load.Tracker, h *retry.Health, r *random.Source, digests *digest.Node,
) *assign.Assigner {
	return assign.New(assign.Options{
		Board: b, Health: h, Random: r, Home: settings.DataCentre, Cells: digests, Tuning: assign.DefaultTuning(),
	})
}

func newBudgets(settings platform.Settings) *forward.RetryBudgets {
	return forward.NewRetryBudgets(forward.RetryBudgetOptions{
		Ratio: settings.Bounds.RetryRatio, Burst: settings.Bounds.RetrySlack, Instances: platform.AssumedInstances,
	})
}

// linkPerCore is the link, in bits per second, that a busy core fills with forwarded
// requests of some kilobytes.
const linkPerCore = 100e6

// capacity returns the share of callers that an instance takes, in hundredths.
func capacity(settings platform.Settings) uint32 {
	cores := settings.Cores
	if settings.LinkBits > 0 {
		cores = min(cores, settings.LinkBits/linkPerCore)
	}
	return uint32(100 * cores)
}

func newDigests(
	lc fx.Lifecycle, settings platform.Settings, id identity, b *load.Tracker, list *platform.InstanceList,
	clock core.ClockProvider, l log.Interface, tracker *catchup.Tracker, beliefs *beliefs,
) (*digest.Node, error) {
	conn, err := net.ListenPacket("udp4", settings.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n := digest.New(digest.Options{
		Self: membership.Record{
			ID: settings.Instance, Address: settings.Peers, DataCentre: settings.DataCentre, Callers: settings.Callers,
			Capacity: capacity(settings),
		},
		Conn: conn, Sender: id.sender, Loads: b, Lister: list, Clock: clock, Seed: id.seed, Log: l,
		Catchup: tracker, Snapshots: beliefs,
	})
	beliefs.digests = n
	part.Start(lc, n)
	return n, nil
}

// defaultMaxBody bounds request bodies until the configuration does, in bytes.
const defaultMaxBody = 4 << 20

func newForwarder(
	id identity, pool *target.Pool, a *assign.Assigner, b *load.Tracker, r *roster.Roster, h *retry.Health,
	budgets *forward.RetryBudgets, clock core.ClockProvider, digests *digest.Node, i *instruments, l log.Interface,
) *forward.Forwarder {
	return forward.New(forward.Options{
		Dialect: platform.Dialect{}, Pool: pool, Assigner: a, Board: b, Roster: r, Health: h, Budgets: budgets,
		Clock: clock, Publisher: digests, Observer: i, Log: l, Sender: id.sender, MaxBody: defaultMaxBody,
	})
}

func newWatcher(
	lc fx.Lifecycle, options Options, store *platform.Store, l log.Interface, clock core.ClockProvider,
	r *roster.Roster, f *forward.Forwarder, beliefs *beliefs, tracker *catchup.Tracker,
) *platform.Watcher {
	beliefs.forwarder = f
	w := platform.NewWatcher(platform.WatcherOptions{
		Store: store, Log: l, Clock: clock, OnConfiguration: beliefs.ApplyConfiguration, Roster: r, OnChanges: beliefs.changed,
		Interval: options.Roster, Tracker: tracker,
	})
	beliefs.watcher = w
	part.Start(lc, w)
	return w
}
