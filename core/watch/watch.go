// Package watch keeps the fleet's load reports and prefix hints fresh.
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

// Options are the parts of a Watcher.
type Options struct {
	Fleet  *routing.Store
	Load   core.LoadReporter
	Events core.CacheEventReader
	Clock  core.ClockProvider
	Random *random.Source
	// LeaseHeld reports whether this instance gives orders to a target; it may be nil.
	LeaseHeld func(core.Target) bool
	// OnReport is told of each report, or of a failed poll with an error; it may be
	// nil.
	OnReport func(core.TargetState, error)
	// Interval is the time between two rounds of polls; 0 uses DefaultInterval.
	Interval time.Duration
	// PollsPerRound bounds the polls of a round; 0 uses DefaultPollsPerRound.
	PollsPerRound int
}

const (
	// DefaultInterval is the time between two rounds of polls.
	DefaultInterval = 2 * time.Second
	// DefaultPollsPerRound covers all targets of a fleet of today's size in each round.
	DefaultPollsPerRound = 64
	// pollers bounds the polls under way, so that silent targets can't hold up all.
	pollers = 8
	// pollTimeout is short against the interval: a report that takes longer is stale.
	pollTimeout = time.Second
)

// Watcher polls targets. One that is busy with all pollers skips a round.
type Watcher struct {
	options Options
	work    chan core.TargetState
	refresh chan core.TargetState
	done    chan struct{}

	mu     sync.Mutex
	events map[core.TargetID]uint64 // last cache event seen
}

// New returns a watcher that polls nothing until Run.
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
		events: map[core.TargetID]uint64{},
	}
}

// Done is closed when Run has ended.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	var group sync.WaitGroup
	for range pollers {
		group.Go(func() { w.loop(ctx) })
	}
	defer group.Wait()
	for {
		w.round(ctx)
		// Jitter keeps the instances from polling a target at the same moment. Its
		// bound keeps a leaving target's mark within the 3 s that it may take.
		if !pause.For(ctx, w.options.Interval*3/4+time.Duration(w.options.Random.Unit()*float64(w.options.Interval)/4)) {
			return
		}
	}
}

func (w *Watcher) round(ctx context.Context) {
	for _, state := range w.due() {
		select {
		case w.work <- state:
		case <-ctx.Done():
			return
		}
	}
}

// due returns the targets to poll in this round: first those whose orders this
// instance is responsible for, then those that it has sent work to, then the rest, and
// in each class the one with the oldest report first.
func (w *Watcher) due() []core.TargetState {
	states := w.options.Fleet.States()
	classes := make(map[core.TargetID]int, len(states))
	for i := range states {
		classes[states[i].ID] = w.class(&states[i])
	}
	slices.SortFunc(states, func(a, b core.TargetState) int {
		return cmp.Or(
			cmp.Compare(classes[a.ID], classes[b.ID]), cmp.Compare(a.ReportedAt, b.ReportedAt), cmp.Compare(a.ID, b.ID),
		)
	})
	return states[:min(len(states), w.options.PollsPerRound)]
}

func (w *Watcher) class(state *core.TargetState) int {
	switch {
	case w.options.LeaseHeld != nil && state.IsEngine() && w.options.LeaseHeld(state.Target):
		return 0
	case state.InFlight > 0 || state.SentRequests > 0:
		return 1
	}
	return 2
}

// Refresh polls a target soon, as after an answer that its last report does not
// explain. It does nothing while all pollers are busy, or outside Run.
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
		w.readEvents(ctx, state)
	}
	if w.options.OnReport != nil {
		w.options.OnReport(state, err)
	}
}

// readEvents ignores errors: cache events are hints, and the next poll asks again
// for what follows the last one seen.
func (w *Watcher) readEvents(ctx context.Context, state core.TargetState) {
	if !state.IsEngine() {
		return
	}
	w.mu.Lock()
	after := w.events[state.ID]
	w.mu.Unlock()
	events, err := w.options.Events.CacheEvents(ctx, state.Address, after)
	if err != nil || len(events) == 0 {
		return
	}
	w.options.Fleet.CacheEvents(state.ID, events)
	w.mu.Lock()
	w.events[state.ID] = events[len(events)-1].Sequence
	w.mu.Unlock()
}
