package node

import (
	"context"
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

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/pause"
	"gorseline/core/roster"
	"gorseline/io/digest"
	"gorseline/io/exposition"
	"gorseline/io/forward"
	"gorseline/io/target"
	"gorseline/platform"
)

// node is a running instance.
type node struct {
	options Options
	// mu guards the bounds in settings; the rest doesn't change.
	mu        sync.Mutex
	settings  platform.Settings
	log       log.Interface
	forwarder *forward.Forwarder
	digests   *digest.Node
	roster    *roster.Roster
	budgets   *forward.RetryBudgets
	pool      *target.Pool
	list      *platform.InstanceList
	store     *platform.Store
	beliefs   *beliefs
	leaving   atomic.Bool
	callers   *http.Server
	servers   []*http.Server
	registry  metrics.Registry
	// metricsAddress is empty if no metrics are served.
	metricsAddress string
	done           chan struct{}
}

// nodeParts are the parts that a node is made of.
type nodeParts struct {
	fx.In
	Options     Options
	Settings    platform.Settings
	Log         log.Interface
	Forwarder   *forward.Forwarder
	Digests     *digest.Node
	Roster      *roster.Roster
	Budgets     *forward.RetryBudgets
	Pool        *target.Pool
	List        *platform.InstanceList
	Store       *platform.Store
	Watcher     *platform.Watcher
	Roles       *roles
	Beliefs     *beliefs
	Registry    metrics.Registry
	Instruments *instruments
	Tracker     *catchup.Tracker
}

func newNode(lc fx.Lifecycle, p nodeParts) (*node, error) {
	n := &node{
		options: p.Options, settings: p.Settings, log: p.Log, forwarder: p.Forwarder, digests: p.Digests,
		roster: p.Roster, budgets: p.Budgets, pool: p.Pool, list: p.List, store: p.Store, beliefs: p.Beliefs, registry: p.Registry, done: make(chan struct{}),
	}
	n.registerGauges(p.Instruments, p.Roles, p.Tracker)
	part.Start(lc, n)
	n.callers = newServer(p.Forwarder)
	if err := n.serve(lc, p.Settings.Callers, n.callers); err != nil {
		return nil, err
	}
	if err := n.serve(lc, p.Settings.Ready, newServer(platform.NewReadyHandler(n.isReady))); err != nil {
		return nil, err
	}
	if p.Settings.Directory != "" {
		if err := n.serve(lc, p.Settings.Directory, newServer(platform.NewDirectoryHandler(n))); err != nil {
			return nil, err
		}
	}
	if err := n.serve(lc, p.Settings.Peers, newServer(digest.NewSnapshotHandler(p.Beliefs))); err != nil {
		return nil, err
	}
	if p.Options.MetricsPort == 0 {
		return n, nil
	}
	host, _, err := net.SplitHostPort(p.Settings.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "address of metrics")
	}
	address := net.JoinHostPort(host, strconv.Itoa(p.Options.MetricsPort))
	n.metricsAddress = address
	return n, n.serve(lc, address, newServer(exposition.NewHandler(p.Registry)))
}

// registerGauges serves what the instance believes and does now.
func (n *node) registerGauges(i *instruments, r *roles, tracker *catchup.Tracker) {
	i.gauge("RequestsActive", n.forwarder.Active)
	i.gauge("Members", func() int64 { return int64(len(n.digests.Members())) })
	i.gauge("Targets", func() int64 { return int64(n.roster.View().Len()) })
	i.gauge("TargetsVersion", func() int64 { return int64(n.roster.View().Version) })
	i.gauge("ConfigurationVersion", func() int64 {
		configuration, _ := tracker.Versions()
		return int64(configuration)
	})
	i.gauge("LoadEventsDropped", func() int64 { return int64(n.digests.Dropped()) })
	i.gauge("LeasesHeld", func() int64 { return int64(len(r.keeper.Leases())) })
	i.gauge("Ready", func() int64 {
		if n.isReady() {
			return 1
		}
		return 0
	})
}

const (
	// headerTimeout bounds the header of a request. Callers may take 3 s by the limits of
	// today's configurations.
	headerTimeout = 10 * time.Second
	// idleTimeout keeps connections longer than callers leave them unused, so that a
	// request never meets a connection that this side closes.
	idleTimeout = 60 * time.Second
	// maximumHeader bounds a request's header in bytes.
	maximumHeader = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maximumHeader,
		ErrorLog: nil,
	}
}

// serve listens on an address from the start of the application to its end.
func (n *node) serve(lc fx.Lifecycle, address string, s *http.Server) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
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

// isReady reports whether the instance can serve: it knows configuration and targets and
// is not leaving.
func (n *node) isReady() bool {
	return !n.leaving.Load() && n.forwarder.Table() != nil && n.roster.View().Version > 0
}

var _ platform.AddressProvider = (*node)(nil)

// CallerAddresses returns the addresses for a caller.
func (n *node) CallerAddresses(dc core.DataCentre) (addresses []string, keep time.Duration) {
	return n.digests.CallerAddresses(dc), min(n.options.AnswerTTL, n.bounds().AnswerKept)
}

// housekeeping is the time between two looks at connections and members.
const housekeeping = time.Second

// Run announces the instance and keeps connections and budgets in order.
func (n *node) Run(ctx context.Context) {
	defer close(n.done)
	announced := make(chan struct{})
	go n.runAnnounce(ctx, announced)
	n.loop(ctx)
	<-announced
}

// Done is closed when Run has ended.
func (n *node) Done() <-chan struct{} { return n.done }

func (n *node) runAnnounce(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	self := core.ListedInstance{
		ID: n.settings.Instance, Address: n.settings.Peers, DataCentre: n.settings.DataCentre,
	}
	if err := n.list.Announce(ctx, self); err != nil {
		n.log.WithError(err).Warn("NotAnnounced")
	}
}

func (n *node) loop(ctx context.Context) {
	pause.Every(ctx, housekeeping, func() {
		n.pool.CloseExpired(time.Now())
		if members := len(n.digests.Members()); members > 1 {
			n.budgets.SetInstances(members)
			n.store.SetInstances(members)
		}
	})
}

const (
	// keptFactor is how many times as long as told some callers keep an address.
	keptFactor = 3
	// stopReserve is the part of the grace that is left for the end of the process.
	stopReserve = 700 * time.Millisecond
)

// leave announces the end, serves callers until they have learnt of it, and finishes the
// requests under way.
func (n *node) leave() {
	began := time.Now()
	n.leaving.Store(true)
	n.forwarder.StartDraining()
	n.digests.Leave()
	end := began.Add(n.bounds().StopGrace - stopReserve)
	_, keep := n.CallerAddresses("")
	time.Sleep(min(time.Until(end)/2, keptFactor*keep+housekeeping/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := n.callers.Shutdown(ctx)
	n.forwarder.WaitForReleases()
	entry := n.log.WithFields(log.Fields{"Active": n.forwarder.Active(), "TookMs": time.Since(began).Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("LeftEarly")
		return
	}
	entry.Info("Left")
}
