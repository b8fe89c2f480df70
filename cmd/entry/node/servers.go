package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/pause"
	"gorseline/core/intake"
	"gorseline/core/reach"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/targetlimit"
	"gorseline/io/digest"
	"gorseline/io/exposition"
	"gorseline/io/forward"
	"gorseline/io/target"
	"gorseline/platform"
)

// node is an instance with its HTTP servers.
type node struct {
	options Options
	// mu guards settings.Bounds; the other settings don't change.
	mu           sync.Mutex
	settings     platform.Settings
	log          log.Interface
	forwarder    *forward.Forwarder
	digests      *digest.Node
	roster       *roster.Roster
	budgets      *retry.Shares
	pool         *target.Pool
	instances    *platform.InstanceList
	store        *platform.Store
	updater      *stateUpdater
	keeper       *quarantineKeeper
	limits       *targetlimit.Limits
	currency     *catchup.Currency
	usage        *usageDuty
	draining     atomic.Bool
	callerServer *http.Server
	// peerServer serves snapshots, and the requests of instances that reach no target.
	peerServer *http.Server
	callers    connections
	servers    []*http.Server
	registry   metrics.Registry
	// metricsAddress is empty if no metrics are served.
	metricsAddress string
	done           chan struct{}
}

// nodeParams are the dependencies of a node.
type nodeParams struct {
	fx.In
	Options   Options
	Settings  platform.Settings
	Log       log.Interface
	Forwarder *forward.Forwarder
	Digests   *digest.Node
	Roster    *roster.Roster
	Budgets   *retry.Shares
	Pool      *target.Pool
	Instances *platform.InstanceList
	Store     *platform.Store
	// Watcher is unused; its presence makes fx construct it.
	Watcher     *platform.Watcher
	Roles       *roleController
	Updater     *stateUpdater
	Keeper      *quarantineKeeper
	Limits      *targetlimit.Limits
	Paths       *reach.Paths
	Registry    metrics.Registry
	Instruments *instruments
	Tracker     *catchup.Tracker
	Currency    *catchup.Currency
	Usage       *usageDuty
	Intake      *intake.Budget
}

func newNode(lc fx.Lifecycle, p nodeParams) (*node, error) {
	n := &node{
		options: p.Options, settings: p.Settings, log: p.Log, forwarder: p.Forwarder, digests: p.Digests,
		roster: p.Roster, budgets: p.Budgets, pool: p.Pool, instances: p.Instances, store: p.Store,
		updater: p.Updater, keeper: p.Keeper, limits: p.Limits, currency: p.Currency, usage: p.Usage, registry: p.Registry, done: make(chan struct{}),
	}
	n.registerGauges(&p)
	lifecycle.Register(lc, n)
	n.callerServer = newServer(p.Forwarder)
	n.callers.limit, n.callers.budget = callerSockets(p.Settings.MaxSockets, p.Intake.Stats().Limit), p.Intake
	n.callers.watch(n.callerServer)
	if err := n.serve(lc, p.Settings.CallerAddress, n.callerServer); err != nil {
		return nil, err
	}
	if err := n.serve(lc, p.Settings.ReadyAddress, newServer(platform.NewReadyHandler(n.isReady))); err != nil {
		return nil, err
	}
	if p.Settings.DirectoryAddress != "" {
		if err := n.serve(lc, p.Settings.DirectoryAddress, newServer(platform.NewDirectoryHandler(n))); err != nil {
			return nil, err
		}
	}
	n.peerServer = newServer(p.Forwarder.DetourHandler(digest.NewSnapshotHandler(p.Updater)))
	if err := n.serve(lc, p.Settings.PeerAddress, n.peerServer); err != nil {
		return nil, err
	}
	if p.Options.MetricsPort == 0 {
		return n, nil
	}
	host, _, err := net.SplitHostPort(p.Settings.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "address of metrics")
	}
	address := net.JoinHostPort(host, strconv.Itoa(p.Options.MetricsPort))
	n.metricsAddress = address
	return n, n.serve(lc, address, newServer(exposition.NewHandler(p.Registry)))
}

// registerGauges registers the gauges of the instance's current state.
func (n *node) registerGauges(p *nodeParams) {
	i, r, tracker := p.Instruments, p.Roles, p.Tracker
	i.registerGauge("RequestsActive", n.forwarder.Active)
	i.registerGauge("Members", func() int64 { return int64(len(n.digests.Members())) })
	i.registerGauge("RetryInstances", func() int64 { return int64(n.budgets.Instances()) })
	i.registerGauge("StoreEra", func() int64 {
		era, _ := n.store.Era()
		return int64(era)
	})
	i.registerGauge("Targets", func() int64 { return int64(n.roster.View().Len()) })
	i.registerGauge("TargetsVersion", func() int64 { return int64(n.roster.View().Version) })
	i.registerGauge("ConfigurationVersion", func() int64 {
		configuration, _ := tracker.Versions()
		return int64(configuration)
	})
	i.registerGauge("ConfigurationAgeMs", func() int64 {
		age, ok := n.currency.Age()
		if !ok {
			return -1
		}
		return age.Milliseconds()
	})
	i.registerGauge("LoadEventsDropped", func() int64 { return int64(n.digests.DroppedEvents()) })
	i.registerGauge("ServicesUnreached", func() int64 { return int64(len(p.Paths.Lost())) })
	registerStreamGauges(i, n.digests)
	registerQuarantineGauges(i, n.digests)
	registerIntakeGauges(i, p.Intake)
	registerConnectionGauges(i, &n.callers)
	i.registerGauge("TargetsLimited", func() int64 { return int64(n.limits.Count()) })
	i.registerGauge("LeasesHeld", func() int64 { return int64(len(r.leases.Leases())) })
	i.registerGauge("Ready", func() int64 {
		if n.isReady() {
			return 1
		}
		return 0
	})
}

const (
	// headerTimeout bounds the time to read the header of a request. The operators'
	// configurations allow callers 3 s.
	headerTimeout = 10 * time.Second
	// readTimeout bounds the time to read a request whose handler sets no other time for its body: the server waits for what
	// a handler leaves unread.
	readTimeout = headerTimeout
	// idleTimeout is longer than callers keep idle connections, so that no request is sent
	// on a connection that the server is closing.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil, ConnContext: forward.ConnContext,
	}
}

// serve listens on an address at once, and serves it from the start of the application to
// its stop.
func (n *node) serve(lc fx.Lifecycle, address string, s *http.Server) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	if s == n.callerServer {
		listener = callerListener{listener, n.callers.budget}
	}
	n.servers = append(n.servers, s)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go n.runServer(s, listener)
			return nil
		},
		OnStop: func(context.Context) error { return s.Close() },
	})
	return nil
}

func (n *node) runServer(s *http.Server, listener net.Listener) {
	if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.WithError(err).Error("ListenerFailed")
	}
}

// isReady reports whether the instance can serve requests: it has a configuration and a
// list of targets and isn't draining.
func (n *node) isReady() bool {
	return !n.draining.Load() && n.forwarder.Table() != nil && n.roster.View().Version > 0
}

var _ platform.AddressProvider = (*node)(nil)

// CallerAddresses returns the addresses for a caller in a data centre and how long the
// caller may cache them.
func (n *node) CallerAddresses(dc core.DataCentre) (addresses []string, ttl time.Duration) {
	return n.digests.CallerAddresses(dc), min(n.options.AnswerTTL, n.bounds().MaxAnswerTTL)
}

// housekeepingInterval is the time between two checks of idle connections and of the size of
// the fleet.
const housekeepingInterval = time.Second

// Run announces the instance, closes expired connections and adjusts rate limits and
// budgets to the size of the fleet, until ctx ends.
func (n *node) Run(ctx context.Context) {
	defer close(n.done)
	announced := make(chan struct{})
	go n.runAnnounce(ctx, announced)
	n.loop(ctx)
	<-announced
}

// Done returns a channel that is closed when Run has ended.
func (n *node) Done() <-chan struct{} { return n.done }

// announceSpread is the time over which the instances announce themselves again after the store
// has come back from an older copy, which may lack their rows.
const announceSpread = 4 * time.Second

// runAnnounce announces this instance to its peers, again in each era of the store, and closes
// done at its end.
func (n *node) runAnnounce(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	self := core.ListedInstance{
		ID: n.settings.Instance, Address: n.settings.PeerAddress, DataCentre: n.settings.DataCentre,
	}
	for {
		// The channel is taken before the write, so that no era that begins during it is missed.
		_, changed := n.store.Era()
		if err := n.instances.Announce(ctx, self); err != nil {
			n.log.WithError(err).Warn("NotAnnounced")
			return
		}
		era, _ := n.store.Era()
		n.log.WithField("Era", era).Info("Announced")
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, rand.N(announceSpread)) {
			return
		}
	}
}

func (n *node) loop(ctx context.Context) {
	pause.Every(ctx, housekeepingInterval, func() {
		n.pool.CloseExpired(time.Now())
		if size := n.digests.FleetSize(); size > 0 {
			n.budgets.SetInstances(size)
			n.store.SetInstances(size)
			n.limits.SetInstances(size)
		}
	})
}

const (
	// addressTTLFactor allows for callers that cache addresses for up to three times their
	// TTL.
	addressTTLFactor = 3
	// exitReserve is the part of the grace period that is kept for the exit of the process, but
	// at most half of it.
	exitReserve = 700 * time.Millisecond
)

// drain announces the shutdown, keeps serving until callers have had time to refresh their
// cached addresses, and finishes the requests in progress within the grace period.
func (n *node) drain() {
	start := time.Now()
	grace := n.bounds().StopGrace
	deadline := start.Add(drainTime(grace))
	n.draining.Store(true)
	n.forwarder.StartDraining(time.Until(deadline))
	n.digests.Leave()
	_, ttl := n.CallerAddresses("")
	accept := min(time.Until(deadline)/2, addressTTLFactor*ttl+housekeepingInterval/2)
	n.log.WithFields(log.Fields{
		"Active": n.forwarder.Active(), "AcceptMs": accept.Milliseconds(), "LeftMs": time.Until(deadline).Milliseconds(),
	}).Info("DrainStarted")
	time.Sleep(accept)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	stopClose := time.AfterFunc(unusedTime, n.callers.close)
	defer stopClose.Stop()
	cut := int64(0)
	if err := n.shutdownServers(ctx); err != nil {
		cut = n.endRequests(grace)
	}
	n.waitForReleases(start, grace)
	entry := n.log.WithFields(log.Fields{"Active": n.forwarder.Active(), "Cut": cut, "TookMs": time.Since(start).Milliseconds()})
	if cut > 0 {
		entry.Warn("LeftEarly")
		return
	}
	entry.Info("Left")
}

// endRequests ends the requests that are still in progress, and waits for a part of the reserve
// until callers have their answers. It returns the number of requests.
func (n *node) endRequests(grace time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), (grace-drainTime(grace))/4)
	defer cancel()
	cut := n.forwarder.EndRequests()
	// Active in the log line of the exit shows the requests that are still in progress.
	_ = n.shutdownServers(ctx)
	return cut
}

// shutdownServers waits for the requests in progress of callers and of other instances. It returns an
// error if ctx ends before.
func (n *node) shutdownServers(ctx context.Context) error {
	if err := n.callerServer.Shutdown(ctx); err != nil {
		return err
	}
	return n.peerServer.Shutdown(ctx)
}

// waitForReleases waits for calls that free exports, at most until half of the reserve is used. An
// export that isn't freed expires.
func (n *node) waitForReleases(start time.Time, grace time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), start.Add((grace+drainTime(grace))/2))
	defer cancel()
	n.forwarder.WaitForReleases(ctx)
}

// drainTime returns the part of the grace period in which requests are finished.
func drainTime(grace time.Duration) time.Duration {
	return grace - min(exitReserve, grace/2)
}
