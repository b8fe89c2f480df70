package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
)

const (
	tickInterval = 100 * time.Millisecond
	seedInterval = 30 * time.Second
	// aloneInterval replaces seedInterval while no other member is known.
	aloneInterval = 2 * time.Second
	// callLimit bounds calls under way. A call above it fails at once and is
	// counted; gossip and pulls repair what it would have carried.
	callLimit = 64
	// statusTimeout bounds the wait for the statuses of many members, statusCalls
	// how many are asked at once.
	statusTimeout = 2 * time.Second
	statusCalls   = 64
)

// MemberOptions are the parts of a Member.
type MemberOptions struct {
	Self      membership.Record
	Transport Transport
	Store     *configuration.Store
	// Lister seeds the members; nil leaves an instance alone.
	Lister  core.InstanceLister
	Clock   core.ClockProvider
	Applier *configuration.Applier
	// Seed seeds all random choices.
	Seed uint64
	Log  log.Interface
	// Recorder gets the events of this package; nil records none.
	Recorder core.Recorder
}

// Member runs the control part of one instance: it drives the state machine of
// its membership and propagation, and answers peers.
type Member struct {
	options   MemberOptions
	isolation *configuration.Isolation
	done      chan struct{}
	// calls holds a token per call under way.
	calls    chan struct{}
	refused  atomic.Uint64
	inFlight sync.WaitGroup

	mu   sync.Mutex
	node *propagation.Node
	rng  *rand.Rand
	// base is the context of calls; it is nil before Run and after it.
	base context.Context
}

var (
	_ Server                     = (*Member)(nil)
	_ core.ConfigurationProvider = (*Member)(nil)
)

// NewMember returns a member that starts with Run.
func NewMember(o MemberOptions) *Member {
	if o.Log == nil {
		o.Log = log.Log
	}
	m := &Member{
		options: o, isolation: configuration.NewIsolation(o.Applier),
		done: make(chan struct{}), calls: make(chan struct{}, callLimit),
		rng: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	m.node = propagation.NewNode(propagation.Options{
		Self: o.Self, Random: rand.New(rand.NewPCG(o.Seed, 0)), Applier: o.Applier, Isolation: m.isolation,
		Changed: m.recordMember,
	})
	return m
}

// Run drives the member until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.mu.Lock()
	m.base = ctx
	m.mu.Unlock()
	var loops sync.WaitGroup
	if m.options.Lister != nil {
		m.readSeeds(ctx)
		loops.Go(func() { m.loopSeeds(ctx) })
	}
	loops.Go(func() { m.loopTicks(ctx) })
	loops.Go(func() { m.loopEvents(ctx) })
	loops.Wait()
	m.mu.Lock()
	m.base = nil
	m.mu.Unlock()
	m.inFlight.Wait()
	close(m.done)
}

// Done is closed when Run has ended and no call is under way.
func (m *Member) Done() <-chan struct{} { return m.done }

func (m *Member) loopTicks(ctx context.Context) {
	pause.Every(ctx, tickInterval, func() { m.act((*propagation.Node).Tick) })
}

func (m *Member) loopSeeds(ctx context.Context) {
	for pause.For(ctx, m.untilSeeds()) {
		m.readSeeds(ctx)
	}
}

// untilSeeds returns the time until the next look at the list. An instance that
// knows no other one, as at the start of a fleet, looks more often: the list lags.
func (m *Member) untilSeeds() time.Duration {
	if len(m.Members()) > 1 {
		return seedInterval
	}
	return aloneInterval
}

func (m *Member) readSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedInterval/2)
	defer cancel()
	list, err := m.options.Lister.Instances(ctx)
	if err != nil {
		m.options.Log.WithError(err).Warn("membership: instance list not read, known members stay")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.Members().Seed(list)
}

// act runs one step of the state machine and starts the calls it returns.
func (m *Member) act(step func(*propagation.Node, core.Instant) []propagation.Call) {
	m.mu.Lock()
	calls := step(m.node, m.options.Clock.Now())
	ctx := m.base
	if ctx != nil {
		m.inFlight.Add(len(calls))
	}
	m.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, call := range calls {
		m.start(ctx, call)
	}
}

func (m *Member) start(ctx context.Context, call propagation.Call) {
	select {
	case m.calls <- struct{}{}:
	default:
		m.refused.Add(1)
		go func() {
			defer m.inFlight.Done()
			m.finish(call, propagation.Result{Err: errors.New("too many calls under way")})
		}()
		return
	}
	go func() {
		defer m.inFlight.Done()
		bounded, cancel := context.WithTimeout(ctx, call.Timeout)
		defer cancel()
		result := m.execute(bounded, call)
		<-m.calls
		m.finish(call, result)
	}()
}

func (m *Member) finish(call propagation.Call, result propagation.Result) {
	m.act(func(n *propagation.Node, now core.Instant) []propagation.Call { return n.Done(now, call, result) })
}

// execute makes one call.
func (m *Member) execute(ctx context.Context, call propagation.Call) (r propagation.Result) {
	t, to := m.options.Transport, call.To.Address
	switch call.Kind {
	case propagation.CallMember:
		r.Message, r.Err = m.callMember(ctx, call.Member)
	case propagation.CallPush:
		r.Push, r.Err = t.Push(ctx, to, call.Push)
	case propagation.CallPull:
		r.Pull, r.Err = t.Pull(ctx, to, call.Pull)
	case propagation.CallHead:
		var head configuration.Head
		head, r.Err = m.options.Store.Head(ctx)
		r.Head = head.Revision
	case propagation.CallUpdates:
		r.Updates, r.Err = m.options.Store.Updates(ctx, call.After, call.Until)
	case propagation.CallLoad:
		r.Configuration, r.Err = m.options.Store.Load(ctx)
	}
	return r
}

func (m *Member) callMember(ctx context.Context, call membership.Call) (membership.Message, error) {
	t, to := m.options.Transport, call.To.Address
	switch call.Kind {
	case membership.CallIndirectProbe:
		return t.IndirectProbe(ctx, to, call.Message)
	case membership.CallDigest:
		return t.Digest(ctx, to, call.Message)
	default:
		return t.Probe(ctx, to, call.Message)
	}
}
