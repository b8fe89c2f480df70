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
	// seedInterval is the time between two reads of the instance list. discoveryInterval
	// replaces it while no other member is known.
	seedInterval      = 30 * time.Second
	discoveryInterval = 2 * time.Second
	// maxCalls is the maximum number of calls in flight. Further calls fail at once and
	// are counted; gossip and pulls deliver their content later.
	maxCalls = 64
	// statusTimeout limits a request for the statuses of many members, and
	// maxStatusCalls the number of concurrent calls.
	statusTimeout  = 2 * time.Second
	maxStatusCalls = 64
)

// MemberOptions configure a Member.
type MemberOptions struct {
	Self      membership.Record
	Transport Transport
	Store     *configuration.Store
	// Lister provides the instances to join; nil joins none.
	Lister  core.InstanceLister
	Clock   core.ClockProvider
	Applier *configuration.Applier
	// Seed initialises the random number generators.
	Seed uint64
	Log  log.Interface
	// Recorder receives the events of this package; nil records none.
	Recorder core.Recorder
}

// Member runs the control plane of one instance: it drives the state machine of its
// membership and of configuration propagation, and replies to peers. It is safe for
// concurrent use.
type Member struct {
	options   MemberOptions
	isolation *configuration.IsolationDetector
	done      chan struct{}
	// slots holds one element per call in flight.
	slots    chan struct{}
	refused  atomic.Uint64
	inFlight sync.WaitGroup

	mu   sync.Mutex
	node *propagation.Node
	rng  *rand.Rand
	// callContext is the parent context of calls. It is nil unless Run is running.
	callContext context.Context
}

var (
	_ Server                     = (*Member)(nil)
	_ core.ConfigurationProvider = (*Member)(nil)
)

// NewMember returns a member. Call Run to start it.
func NewMember(o MemberOptions) *Member {
	if o.Log == nil {
		o.Log = log.Log
	}
	m := &Member{
		options: o, isolation: configuration.NewIsolationDetector(o.Applier),
		done: make(chan struct{}), slots: make(chan struct{}, maxCalls),
		rng: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	m.node = propagation.NewNode(propagation.Options{
		Self: o.Self, Random: rand.New(rand.NewPCG(o.Seed, 0)), Applier: o.Applier, Isolation: m.isolation,
		OnRecordChange: m.recordMemberChange,
	})
	return m
}

// Run drives the member until ctx is done.
func (m *Member) Run(ctx context.Context) {
	m.mu.Lock()
	m.callContext = ctx
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
	m.callContext = nil
	m.mu.Unlock()
	m.inFlight.Wait()
	close(m.done)
}

// Done returns a channel that is closed when Run has returned and no call is in flight.
func (m *Member) Done() <-chan struct{} { return m.done }

func (m *Member) loopTicks(ctx context.Context) {
	pause.Every(ctx, tickInterval, func() { m.advance((*propagation.Node).Tick) })
}

func (m *Member) loopSeeds(ctx context.Context) {
	for pause.For(ctx, m.nextSeedDelay()) {
		m.readSeeds(ctx)
	}
}

// nextSeedDelay returns the time until the next read of the instance list. An instance without
// other members, as at the start of a fleet, reads more often because the list lags behind.
func (m *Member) nextSeedDelay() time.Duration {
	if len(m.Members()) > 1 {
		return seedInterval
	}
	return discoveryInterval
}

func (m *Member) readSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedInterval/2)
	defer cancel()
	list, err := m.options.Lister.Instances(ctx)
	if err != nil {
		m.options.Log.WithError(err).Warn("membership: failed to read the instance list, keeping the known members")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.Members().SetSeeds(list)
}

// advance runs one step of the state machine and starts the calls that it returns.
func (m *Member) advance(step func(*propagation.Node, core.Instant) []propagation.Call) {
	m.mu.Lock()
	calls := step(m.node, m.options.Clock.Now())
	ctx := m.callContext
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

// start executes a call in a new goroutine. It fails the call if maxCalls are in flight.
func (m *Member) start(ctx context.Context, call propagation.Call) {
	select {
	case m.slots <- struct{}{}:
	default:
		m.refused.Add(1)
		go func() {
			defer m.inFlight.Done()
			m.finish(call, propagation.Result{Err: errors.New("too many calls in flight")})
		}()
		return
	}
	go func() {
		defer m.inFlight.Done()
		bounded, cancel := context.WithTimeout(ctx, call.Timeout)
		defer cancel()
		result := m.execute(bounded, call)
		<-m.slots
		m.finish(call, result)
	}()
}

func (m *Member) finish(call propagation.Call, result propagation.Result) {
	m.advance(func(n *propagation.Node, now core.Instant) []propagation.Call {
		return n.HandleResult(now, call, result)
	})
}

// execute makes one call to a peer or to the configuration store.
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
