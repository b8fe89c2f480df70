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

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/intake"
	"gorseline/core/load"
	"gorseline/core/membership"
	"gorseline/core/reach"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/targetlimit"
	"gorseline/io/boottime"
	"gorseline/io/digest"
	"gorseline/io/forward"
	"gorseline/io/logline"
	"gorseline/io/target"
	"gorseline/platform"
)

// identity distinguishes this process from all others, including an earlier process of the
// same instance.
type identity struct {
	sender uint32
	seed   uint64
}

// module provides the components of an instance.
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
			func() *roster.Roster { return roster.New(settings.HeartbeatInterval) },
			func(r *random.Source) *retry.Health { return retry.NewHealth(retry.DefaultHealthOptions(), r) },
			func() *targetlimit.Limits { return targetlimit.New(settings.Instance) },
			reach.NewPaths,
			retry.NewPauses,
			func(r *random.Source) *reach.Detours { return reach.NewDetours(settings.DataCentre, r) },
			newAssigner,
			newBudgets,
			newIntake,
			newDial,
			func(dial target.DialFunc) *target.Pool { return target.NewPool(target.PoolOptions{Dial: dial}) },
			catchup.New,
			newCurrency,
			newStateUpdater,
			newDigests,
			newForwarder,
			newWatcher,
			func() *leaseGuard { return &leaseGuard{} },
			newEngineClient,
			newCloudClient,
			newUsageDuty,
			newUsageReporting,
			func(n *digest.Node) load.CellProvider { return n },
			func(n *digest.Node) core.DetourPeerProvider { return n },
			newRoleController,
			newCacheReader,
			newQuarantineKeeper,
			newPathProber,
			newNode,
		),
		// No other component depends on them.
		fx.Invoke(func(*cacheReader, *pathProber, usageReporting) {}),
	)
}

// newDial returns the function that opens connections to targets.
func newDial() target.DialFunc { return target.NewDialer().DialContext }

func newIdentity() identity {
	var b [12]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return identity{binary.LittleEndian.Uint32(b[:4]), binary.LittleEndian.Uint64(b[4:])}
}

func newLog(lc fx.Lifecycle, settings platform.Settings, output io.Writer) log.Interface {
	writer := logline.New(logline.Options{Output: output, Instance: string(settings.Instance)})
	lifecycle.Register(lc, writer)
	return &log.Logger{Handler: writer, Level: log.InfoLevel}
}

func newStore(settings platform.Settings, i *instruments) *platform.Store {
	return platform.NewStore(settings.Store, i)
}

func newAssigner(
	settings platform.Settings, loads *load.Tracker, h *retry.Health, r *random.Source, digests *digest.Node,
	limits *targetlimit.Limits, pauses *retry.Pauses,
) *assign.Assigner {
	return assign.New(assign.Options{
		Loads: loads, Health: h, Random: r, Home: settings.DataCentre, Cells: digests, Limits: limits, Pauses: pauses,
		Tuning: assign.DefaultTuning(),
	})
}

func newBudgets(settings platform.Settings) *retry.Shares {
	return retry.NewShares(settings.Bounds.RetryRatio, settings.Bounds.RetryBurst)
}

// linkBitsPerCore is the traffic, in bits per second, that one busy core forwards with
// requests of a few kilobytes.
const linkBitsPerCore = 100e6

// callerCapacity returns the weight of an instance in the distribution of callers, in
// hundredths of a core. The bandwidth of its link may limit it.
func callerCapacity(settings platform.Settings) uint32 {
	cores := settings.Cores
	if settings.LinkBitsPerSecond > 0 {
		cores = min(cores, settings.LinkBitsPerSecond/linkBitsPerCore)
	}
	return uint32(100 * cores)
}

func newDigests(
	lc fx.Lifecycle, settings platform.Settings, id identity, loads *load.Tracker, instances *platform.InstanceList,
	clock core.ClockProvider, l log.Interface, tracker *catchup.Tracker, updater *stateUpdater, limits *targetlimit.Limits,
	paths *reach.Paths, currency *catchup.Currency, usage *usageDuty,
) (*digest.Node, error) {
	conn, err := net.ListenPacket("udp4", settings.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	options := digest.Options{
		Self: membership.Record{
			ID: settings.Instance, Address: settings.PeerAddress, DataCentre: settings.DataCentre, Callers: settings.CallerAddress,
			Capacity: callerCapacity(settings),
		},
		Conn: conn, Sender: id.sender, Loads: loads, Lister: instances, Clock: clock, Seed: id.seed, Log: l,
		Catchup: tracker, Snapshots: updater, Streams: streamSource{tracker, updater.roster, updater.confirmTargets, updater.Configuration},
		Limits: limits, Paths: paths, Currency: currency,
	}
	if usage.isOn {
		options.TrueTime, options.Usage = usage.clock, usage
	}
	n := digest.New(options)
	updater.digests = n
	lifecycle.Register(lc, n)
	return n, nil
}

// newCurrency returns the currency of the configuration. Its clock includes the time in which the machine
// is suspended: changes of that time have been missed.
func newCurrency(settings platform.Settings) (*catchup.Currency, error) {
	clock, err := boottime.NewClock()
	if err != nil {
		return nil, err
	}
	return catchup.NewCurrency(clock, settings.Bounds.ConfigurationDelay), nil
}

// defaultMaxBodyBytes bounds request bodies until a configuration is in force.
const defaultMaxBodyBytes = 4 << 20

func newForwarder(
	options Options, id identity, pool *target.Pool, a *assign.Assigner, loads *load.Tracker, r *roster.Roster, h *retry.Health,
	budgets *retry.Shares, clock core.ClockProvider, digests *digest.Node, i *instruments, l log.Interface,
	limits *targetlimit.Limits, paths *reach.Paths, detours *reach.Detours, settings platform.Settings, updater *stateUpdater,
	pauses *retry.Pauses, currency *catchup.Currency, usage *usageDuty, budget *intake.Budget,
) *forward.Forwarder {
	return forward.New(forward.Options{
		Dialect: platform.Dialect{}, Pool: pool, Assigner: a, Loads: loads, Roster: r, Health: h, Budgets: budgets,
		Clock: clock, Publisher: digests, Observer: i, Log: l, Sender: id.sender, MaxBodyBytes: defaultMaxBodyBytes,
		StreamStarts: digests, StreamVersions: digests, Quarantine: digests,
		Limits: limits, LimitPublisher: digests, Paths: paths, Peers: digests, Detours: detours, Instance: settings.Instance,
		Leavings: updater, Pauses: pauses, Currency: currency, Usage: usage, Intake: budget,
		WriteGrace: options.WriteGrace,
		BodyPace:   intake.Pace{Stall: options.BodyStall, Rate: options.BodyRate, Start: options.BodyStart},
	})
}

func newWatcher(
	lc fx.Lifecycle, options Options, store *platform.Store, l log.Interface, clock core.ClockProvider,
	r *roster.Roster, f *forward.Forwarder, updater *stateUpdater, tracker *catchup.Tracker,
	currency *catchup.Currency,
) *platform.Watcher {
	updater.forwarder = f
	w := platform.NewWatcher(platform.WatcherOptions{
		Store: store, Log: l, Clock: clock, OnConfiguration: updater.ApplyConfiguration, Roster: r, OnChanges: updater.applyTargetChanges,
		Interval: options.RosterInterval, Tracker: tracker, Currency: currency,
	})
	updater.watcher = w
	lifecycle.Register(lc, w)
	return w
}
