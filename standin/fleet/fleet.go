package fleet

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/standin/table"
)

// Options are the settings of a Fleet.
type Options struct {
	Instances   int
	DataCentres int
	Seed        uint64
	// Latency is the one-way delay between two instances, StoreLatency the time of
	// a store call; 0 uses 1 ms and 5 ms.
	Latency      time.Duration
	StoreLatency time.Duration
	// Configuration is the first accepted revision.
	Configuration core.Configuration
}

// Faults are failures of the network.
type Faults struct {
	// Loss and Duplicate are probabilities per message.
	Loss      float64
	Duplicate float64
	// Jitter delays each message by up to as much, which reorders them.
	Jitter time.Duration
	// Cut reports whether messages from one instance to another are lost.
	Cut func(from, to *Instance) bool
	// StoreCut reports whether an instance can't reach the store.
	StoreCut func(*Instance) bool
}

// Fleet is a set of instances with a network and a table service between them. It
// is used by one goroutine.
type Fleet struct {
	options   Options
	rng       *rand.Rand
	now       core.Instant
	sequence  uint64
	events    queue
	instances []*Instance
	byAddress map[string]*Instance
	table     *table.Table
	store     *configuration.Store
	faults    Faults
	attempts  int
	traffic   Traffic
}

// New returns a fleet whose instances start within the first second and know the
// list of all others.
func New(o Options) (*Fleet, error) {
	if o.Latency == 0 {
		o.Latency = time.Millisecond
	}
	if o.StoreLatency == 0 {
		o.StoreLatency = 5 * time.Millisecond
	}
	f := &Fleet{options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), table: table.New(), byAddress: make(map[string]*Instance)}
	f.store = configuration.NewStore(configuration.Options{Table: f.table, NewAttemptID: f.attempt})
	p := f.store.Propose(context.Background(), 0, configuration.Change{
		Operation: configuration.Replace{Configuration: o.Configuration}, Operator: "fleet",
	})
	if p.Kind != configuration.ProposalAccepted {
		return nil, fmt.Errorf("first configuration: %s %w", p.Kind, p.Problems)
	}
	for i := range o.Instances {
		dc := i % o.DataCentres
		f.instances = append(f.instances, &Instance{fleet: f, Record: membership.Record{
			ID:         core.InstanceID(fmt.Sprintf("dc%d-%04d", dc, i)),
			Address:    fmt.Sprintf("10.%d.%d.%d:7400", dc, i/250, i%250),
			DataCentre: core.DataCentre(fmt.Sprintf("dc%d", dc)),
		}})
	}
	for _, i := range f.instances {
		f.byAddress[i.Address] = i
	}
	for _, i := range f.instances {
		i.begin()
	}
	return f, nil
}

func (f *Fleet) attempt() core.AttemptID {
	f.attempts++
	return core.AttemptID(fmt.Sprintf("fleet-%d", f.attempts))
}

// Now returns the virtual time.
func (f *Fleet) Now() core.Instant { return f.now }

// Instances returns all instances, also those that are not running.
func (f *Fleet) Instances() []*Instance { return f.instances }

// Store returns the store that the fleet's instances read.
func (f *Fleet) Store() *configuration.Store { return f.store }

// Table returns the table service, for its faults and counts.
func (f *Fleet) Table() *table.Table { return f.table }

// SetFaults replaces the faults of the network.
func (f *Fleet) SetFaults(faults Faults) { f.faults = faults }

// Run advances the virtual time.
func (f *Fleet) Run(d time.Duration) { f.RunUntil(d, func() bool { return false }) }

// RunUntil advances the virtual time by at most limit, until a condition that is
// checked after every event holds. It returns the time that passed and whether
// the condition held.
func (f *Fleet) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	began, end := f.now, f.now.Add(limit)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		e.run()
		if condition() {
			return f.now.Sub(began), true
		}
	}
	f.now = end
	return limit, condition()
}

// after runs a function later.
func (f *Fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now.Add(d), f.sequence, run})
}

// event is a function that runs at a time; sequence keeps the order of equal times.
type event struct {
	at       core.Instant
	sequence uint64
	run      func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, for container/heap.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}
