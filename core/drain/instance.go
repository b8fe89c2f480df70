package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Phase is the state of an instance. It only advances.
type Phase uint8

// Phases of an instance.
const (
	PhaseServing Phase = iota
	// PhaseAnnounced still accepts requests: callers may have cached address answers.
	PhaseAnnounced
	// PhaseRefusing refuses new requests, which don't run, and waits for open streams.
	PhaseRefusing
	// PhaseHandingOver ends open streams with resume tokens.
	PhaseHandingOver
	// PhaseReleasing releases the leases.
	PhaseReleasing
	PhaseDone
)

var phaseNames = [...]string{"Serving", "Announced", "Refusing", "HandingOver", "Releasing", "Done"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// Options configures how an instance leaves. All functions are required. Durations of 0
// are replaced by their defaults.
type Options struct {
	// Announce notifies peers and removes the instance from address answers.
	Announce func(ctx context.Context) error
	// HandOver ends the open streams with resume tokens.
	HandOver func()
	// Release releases the leases.
	Release func(ctx context.Context) error
	// Recorder gets one event per phase; nil records nothing.
	Recorder core.Recorder
	// AddressTTL is how long callers cache address answers; the default is 5 s.
	AddressTTL time.Duration
	// DrainTimeout bounds the time from the first Leave until open streams are handed
	// over; the default is 5 min.
	DrainTimeout time.Duration
	// HandOverTimeout bounds the wait for handed-over streams to end; the default is 5 s.
	HandOverTimeout time.Duration
	// StepTimeout bounds each of Announce and Release; the default is 5 s.
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

// Instance is the state machine of a leaving instance. It is safe for concurrent use.
type Instance struct {
	options     Options
	phase       atomic.Uint32
	leave       chan struct{} // closed by the first Leave
	handOverNow chan struct{} // closed by the second Leave
	done        chan struct{}

	mu           sync.Mutex
	leaveCalls   int
	openRequests int
	idle         chan struct{} // closed when no request is open in PhaseRefusing or later
	result       Result
}

// Result summarises how an instance left.
type Result struct {
	// HandedOver counts the requests that were open when streams were handed over. Cut
	// counts those of them that were still open after HandOverTimeout.
	HandedOver, Cut int
	// Err is the first error of Announce or Release; the instance leaves in spite of it.
	// It is the context's error if Run ended before Leave.
	Err error
}

// NewInstance returns an instance in PhaseServing.
func NewInstance(o Options) *Instance {
	return &Instance{
		options: o.withDefaults(), leave: make(chan struct{}), handOverNow: make(chan struct{}),
		done: make(chan struct{}), idle: make(chan struct{}),
	}
}

// Phase returns the current phase.
func (i *Instance) Phase() Phase { return Phase(i.phase.Load()) }

// Done is closed when Run has ended.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Leave makes Run take the instance out of service. A second call, as by a second signal,
// ends the wait for open streams, which are then handed over; later calls do nothing.
func (i *Instance) Leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch i.leaveCalls++; i.leaveCalls {
	case 1:
		close(i.leave)
	case 2:
		close(i.handOverNow)
	}
}

// Begin admits a request and returns the function that ends it. It returns false if the
// instance refuses new requests; the caller must not run the request then.
func (i *Instance) Begin() (end func(), ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.Phase() >= PhaseRefusing {
		return nil, false
	}
	i.openRequests++
	return sync.OnceFunc(i.end), true
}

func (i *Instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.openRequests--; i.openRequests == 0 && i.Phase() >= PhaseRefusing {
		close(i.idle)
	}
}

// Open returns the number of open requests.
func (i *Instance) Open() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.openRequests
}

// Run waits for Leave and then takes the instance out of service. If ctx ends first, it
// returns at once, without releasing leases.
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
	i.waitForAddressExpiry(ctx, limit.C)
	i.refuse()
	if !i.drained(ctx, limit.C) {
		i.handOver(ctx)
	}
	i.enter(PhaseReleasing)
	i.step(ctx, "release leases", i.options.Release)
	i.enter(PhaseDone)
	return i.result
}

// waitForAddressExpiry waits until cached address answers have expired, the limit is reached
// or ctx ends. A second Leave doesn't end the wait, because callers with a cached answer would be refused.
func (i *Instance) waitForAddressExpiry(ctx context.Context, limit <-chan time.Time) {
	timer := time.NewTimer(i.options.AddressTTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-limit:
		i.Leave() // acts as a second Leave: the timeout also ends the wait for streams
	case <-ctx.Done():
	}
}

func (i *Instance) refuse() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.enter(PhaseRefusing)
	if i.openRequests == 0 {
		close(i.idle)
	}
}

// drained waits until all open requests have ended, or until the limit, a second Leave or
// the end of ctx. It reports whether all have ended.
func (i *Instance) drained(ctx context.Context, limit <-chan time.Time) bool {
	select {
	case <-i.idle:
		return true
	case <-limit:
	case <-i.handOverNow:
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
	case <-i.idle:
	case <-timer.C:
	case <-ctx.Done():
	}
	i.result.Cut = i.Open()
}

// step runs one step within StepTimeout. An error doesn't stop the later steps: leases that
// are not released expire, and peers detect by probes that the instance is gone.
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
