// Package watch polls targets to keep the fleet's load reports and prefix cache hints
// current.
package watch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/common/random"
	"gorseline/core/routing"
)

// Options are the dependencies and settings of a Watcher.
type Options struct {
	Fleet  *routing.Store
	Load   core.LoadReporter
	Events core.CacheEventReader
	Clock  core.ClockProvider
	Random *random.Source
	// LeaseHeld reports whether this instance holds the lease for orders to a target; it
	// may be nil.
	LeaseHeld func(core.Target) bool
	// OnReport is called after each poll, with an error if the poll failed; it may be nil.
	OnReport func(core.TargetState, error)
	// Interval is the maximum pause between two rounds of polls; 0 uses DefaultInterval.
	Interval time.Duration
	// PollsPerRound limits the polls of a round; 0 uses DefaultPollsPerRound.
	PollsPerRound int
}

const (
	// DefaultInterval is the default of Options.Interval.
	DefaultInterval = 2 * time.Second
	// DefaultPollsPerRound covers all targets of a fleet of the usual size in each round.
	DefaultPollsPerRound = 64
	// pollers is the number of concurrent polls, so that a few unresponsive targets don't
	// delay the polls of all others.
	pollers = 8
	// pollTimeout is shorter than the interval, as a report that takes longer is stale.
	pollTimeout = time.Second
)

// Watcher polls targets in rounds. While all pollers are busy, a round waits for them.
type Watcher struct {
	options Options
	work    chan core.TargetState
	refresh chan core.TargetState
	done    chan struct{}

	mu sync.Mutex
	// lastEvents holds the sequence number of the last cache event by target.
	lastEvents map[core.TargetID]uint64
}

// New returns a watcher. Polling starts with Run.
func New(options Options) *Watcher {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.PollsPerRound == 0 {
		options.PollsPerRound = DefaultPollsPerRound
	}
	return &Watcher{
		options: options, work: make(chan core.TargetState, pollers),
		refresh: make(chan core.TargetState, pollers), done: make(chan struct{}),
		lastEvents: map[core.TargetID]uint64{},
	}
}

// Done returns a channel that is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run polls until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	var group sync.WaitGroup
	for range pollers {
		group.Go(func() { w.loop(ctx) })
	}
	defer group.Wait()
	for {
		w.startRound(ctx)
		// Jitter prevents instances from polling a target in lockstep. It only shortens the
		// interval, so that a leaving target is noticed within 3 s.
		if !pause.For(ctx, w.options.Interval*3/4+time.Duration(w.options.Random.Float64()*float64(w.options.Interval)/4)) {
			return
		}
	}
}

// startRound queues the targets of a round and waits until the pollers have room for them.
func (w *Watcher) startRound(ctx context.Context) {
	for _, state := range w.dueTargets() {
		select {
		case w.work <- state:
		case <-ctx.Done():
			return
		}
	}
}

// dueTargets returns the targets to poll in this round: first the engines whose lease
// this instance holds, then the targets to which it has sent work, then the rest. In each
// class the targets with the oldest reports come first.
func (w *Watcher) dueTargets() []core.TargetState {
	states := w.options.Fleet.States()
	classes := make(map[core.TargetID]int, len(states))
	for i := range states {
		classes[states[i].ID] = w.pollClass(&states[i])
	}
	slices.SortFunc(states, func(a, b core.TargetState) int {
		return cmp.Or(
			cmp.Compare(classes[a.ID], classes[b.ID]), cmp.Compare(a.ReportedAt, b.ReportedAt), cmp.Compare(a.ID, b.ID),
		)
	})
	return states[:min(len(states), w.options.PollsPerRound)]
}

// pollClass returns the target's priority class; lower classes are polled first.
func (w *Watcher) pollClass(state *core.TargetState) int {
	switch {
	case w.options.LeaseHeld != nil && state.IsEngine() && w.options.LeaseHeld(state.Target):
		return 0
	case state.InFlight > 0 || state.SentRequests > 0:
		return 1
	}
	return 2
}

// Refresh requests an early poll of a target, such as after an answer that contradicts its
// last report. It never blocks: the request is dropped if too many others are queued.
func (w *Watcher) Refresh(id core.TargetID) {
	if state, known := w.options.Fleet.State(id); known {
		select {
		case w.refresh <- state:
		default:
		}
	}
}

func (w *Watcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case state := <-w.refresh:
			w.poll(ctx, state)
		case state := <-w.work:
			w.poll(ctx, state)
		}
	}
}

func (w *Watcher) poll(ctx context.Context, state core.TargetState) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := w.options.Load.Load(ctx, state.Address)
	if err == nil {
		w.options.Fleet.Report(w.options.Clock.Now(), state.ID, report)
		state.Report = report
		w.readCacheEvents(ctx, state)
	}
	if w.options.OnReport != nil {
		w.options.OnReport(state, err)
	}
}

// readCacheEvents passes new cache events to the fleet. It ignores errors: cache events are
// only hints, and the next poll requests the missing ones again.
func (w *Watcher) readCacheEvents(ctx context.Context, state core.TargetState) {
	if !state.IsEngine() {
		return
	}
	w.mu.Lock()
	after := w.lastEvents[state.ID]
	w.mu.Unlock()
	events, err := w.options.Events.CacheEvents(ctx, state.Address, after)
	if err != nil || len(events) == 0 {
		return
	}
	w.options.Fleet.CacheEvents(state.ID, events)
	w.mu.Lock()
	w.lastEvents[state.ID] = events[len(events)-1].Sequence
	w.mu.Unlock()
}
