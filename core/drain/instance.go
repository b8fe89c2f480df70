package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Phase is the state of an instance. Phases only grow.
type Phase uint8

// Phases of an instance.
const (
	PhaseServing Phase = iota
	// PhaseAnnounced still accepts requests: callers may hold a cached answer.
	PhaseAnnounced
	// PhaseRefusing refuses new requests as not run and waits for open streams.
	PhaseRefusing
	// PhaseHandingOver ends open streams with resume tokens.
	PhaseHandingOver
	// PhaseReleasing gives up leases.
	PhaseReleasing
	PhaseDone
)

var phaseNames = [...]string{"Serving", "Announced", "Refusing", "HandingOver", "Releasing", "Done"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// Options configures how an instance leaves. All functions are required; times of
// 0 get defaults.
type Options struct {
	// Announce tells peers and drops the instance out of address answers.
	Announce func(ctx context.Context) error
	// HandOver ends the open streams with resume tokens.
	HandOver func()
	// Release gives up leases.
	Release func(ctx context.Context) error
	// Recorder gets one event per phase; nil records nothing.
	Recorder core.Recorder
	// AddressTTL is how long callers cache address answers; the default is 5 s.
	AddressTTL time.Duration
	// DrainTimeout bounds the time from the start until open streams are handed over; the
	// default is 5 min.
	DrainTimeout time.Duration
	// HandOverTimeout bounds the wait for handed-over streams to end; the default is 5 s.
	HandOverTimeout time.Duration
	// StepTimeout bounds Announce and Release each; the default is 5 s.
	StepTimeout time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.AddressTTL, 5 * time.Second},
		{&o.DrainTimeout, 5 * time.Minute},
		{&o.HandOverTimeout, 5 * time.Second},
		{&o.StepTimeout, 5 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return o
}

// Instance is the state machine of a leaving instance. It is safe for concurrent
// use.
type Instance struct {
	options Options
	phase   atomic.Uint32
	leave   chan struct{} // closed by the first Leave
	hurry   chan struct{} // closed by the second Leave
	done    chan struct{}

	mu     sync.Mutex
	signal int
	open   int
	empty  chan struct{} // closed when open is 0 in PhaseRefusing or later
	result Result
}

// Result tells how an instance left.
type Result struct {
	// HandedOver counts requests that were open when streams were handed over, and
	// Cut those that had not ended after that.
	HandedOver, Cut int
	// Err is the error of a step that failed; leaving goes on in spite of it.
	Err error
}

// NewInstance returns an instance in PhaseServing.
func NewInstance(o Options) *Instance {
	return &Instance{
		options: o.withDefaults(), leave: make(chan struct{}), hurry: make(chan struct{}),
		done: make(chan struct{}), empty: make(chan struct{}),
	}
}

// Phase returns the current phase.
func (i *Instance) Phase() Phase { return Phase(i.phase.Load()) }

// Done is closed when the instance has left.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Leave begins to leave. A second call, as by a second signal, hands over open
// streams at once; later calls do nothing.
func (i *Instance) Leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch i.signal++; i.signal {
	case 1:
		close(i.leave)
	case 2:
		close(i.hurry)
	}
}

// Begin admits a request and returns the function that ends it. It returns false
// when the instance refuses new requests; the request was then not run.
func (i *Instance) Begin() (end func(), ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.Phase() >= PhaseRefusing {
		return nil, false
	}
	i.open++
	return sync.OnceFunc(i.end), true
}

func (i *Instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.open--; i.open == 0 && i.Phase() >= PhaseRefusing {
		close(i.empty)
	}
}

// Open returns the number of requests under way.
func (i *Instance) Open() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}

// Run waits for Leave and then leaves. If ctx ends first it returns at once, as a
// process that is killed does.
func (i *Instance) Run(ctx context.Context) Result {
	defer close(i.done)
	select {
	case <-ctx.Done():
		return Result{Err: ctx.Err()}
	case <-i.leave:
	}
	limit := time.NewTimer(i.options.DrainTimeout)
	defer limit.Stop()
	i.enter(PhaseAnnounced)
	i.step(ctx, "announce", i.options.Announce)
	i.keepAccepting(ctx, limit.C)
	i.refuse()
	if !i.drained(ctx, limit.C) {
		i.handOver(ctx)
	}
	i.enter(PhaseReleasing)
	i.step(ctx, "release leases", i.options.Release)
	i.enter(PhaseDone)
	return i.result
}

// keepAccepting waits until cached address answers have expired. A second signal
// doesn't shorten it, because callers would be refused.
func (i *Instance) keepAccepting(ctx context.Context, limit <-chan time.Time) {
	timer := time.NewTimer(i.options.AddressTTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-limit:
		i.Leave() // as a second signal: the limit also ends the wait for streams
	case <-ctx.Done():
	}
}

func (i *Instance) refuse() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.enter(PhaseRefusing)
	if i.open == 0 {
		close(i.empty)
	}
}

// drained waits for the open requests and reports whether all have ended.
func (i *Instance) drained(ctx context.Context, limit <-chan time.Time) bool {
	select {
	case <-i.empty:
		return true
	case <-limit:
	case <-i.hurry:
	case <-ctx.Done():
	}
	return i.Open() == 0
}

func (i *Instance) handOver(ctx context.Context) {
	i.enter(PhaseHandingOver)
	i.result.HandedOver = i.Open()
	i.options.HandOver()
	timer := time.NewTimer(i.options.HandOverTimeout)
	defer timer.Stop()
	select {
	case <-i.empty:
	case <-timer.C:
	case <-ctx.Done():
	}
	i.result.Cut = i.Open()
}

// step runs one step within its time. A failure doesn't stop the others: leases
// that are not released expire, and peers find out by probes.
func (i *Instance) step(ctx context.Context, name string, run func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, i.options.StepTimeout)
	defer cancel()
	if err := run(ctx); err != nil && i.result.Err == nil {
		i.result.Err = errors.Wrap(err, name)
	}
}

func (i *Instance) enter(p Phase) {
	i.phase.Store(uint32(p))
	if i.options.Recorder != nil {
		i.options.Recorder.Record(core.Event{Kind: "InstanceLeaving", Detail: p.String()})
	}
}
