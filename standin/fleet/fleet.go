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

// Options configures a Fleet.
type Options struct {
	Instances   int
	DataCentres int
	Seed        uint64
	// Latency is the one-way delay between two instances, StoreLatency the duration
	// of a store call. They default to 1 ms and 5 ms.
	Latency      time.Duration
	StoreLatency time.Duration
	// Configuration is the content of the first revision.
	Configuration core.Configuration
}

// Faults are the faults that the simulated network injects.
type Faults struct {
	// Loss and Duplicate are probabilities per message.
	Loss      float64
	Duplicate float64
	// Jitter is the upper bound of a random extra delay per message, which reorders
	// messages.
	Jitter time.Duration
	// Cut reports whether all messages from one instance to another are lost.
	Cut func(from, to *Instance) bool
	// StoreCut reports whether an instance can't reach the store.
	StoreCut func(*Instance) bool
}

// Fleet is a set of instances that share a simulated network and a table service.
// It is not safe for concurrent use.
type Fleet struct {
	options   Options
	rng       *rand.Rand
	now       core.Instant
	sequence  uint64
	events    eventQueue
	instances []*Instance
	byAddress map[string]*Instance
	table     *table.Table
	store     *configuration.Store
	faults    Faults
	attempts  int
	traffic   Traffic
}

// New returns a fleet whose instances start within the first second of virtual time,
// each with the list of all instances as seeds. It returns an error if the first
// configuration is rejected.
func New(o Options) (*Fleet, error) {
	if o.Latency == 0 {
		o.Latency = time.Millisecond
	}
	if o.StoreLatency == 0 {
		o.StoreLatency = 5 * time.Millisecond
	}
	f := &Fleet{options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), table: table.New(), byAddress: make(map[string]*Instance)}
	f.store = configuration.NewStore(configuration.Options{Table: f.table, NewAttemptID: f.newAttemptID})
	p := f.store.Propose(context.Background(), 0, configuration.Change{
		Operation: configuration.Replace{Configuration: o.Configuration}, Operator: "fleet",
	})
	if p.Kind != configuration.ProposalAccepted {
		return nil, fmt.Errorf("propose the first configuration: %s: %w", p.Kind, p.Problems)
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
		i.start()
	}
	return f, nil
}

func (f *Fleet) newAttemptID() core.AttemptID {
	f.attempts++
	return core.AttemptID(fmt.Sprintf("fleet-%d", f.attempts))
}

// Now returns the virtual time.
func (f *Fleet) Now() core.Instant { return f.now }

// Instances returns all instances, including those that are not running.
func (f *Fleet) Instances() []*Instance { return f.instances }

// Store returns a configuration store on the table that the instances read.
func (f *Fleet) Store() *configuration.Store { return f.store }

// Table returns the table service, which has fault controls and counters of its own.
func (f *Fleet) Table() *table.Table { return f.table }

// SetFaults replaces the faults of the network for all messages sent from now on.
func (f *Fleet) SetFaults(faults Faults) { f.faults = faults }

// Run advances the virtual time by d.
func (f *Fleet) Run(d time.Duration) { f.RunUntil(d, func() bool { return false }) }

// RunUntil advances the virtual time until the condition holds, by at most limit. It
// checks the condition after every event, and returns the elapsed virtual time and
// whether the condition held.
func (f *Fleet) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start, end := f.now, f.now.Add(limit)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		e.run()
		if condition() {
			return f.now.Sub(start), true
		}
	}
	f.now = end
	return limit, condition()
}

// schedule runs a function after d of virtual time.
func (f *Fleet) schedule(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now.Add(d), f.sequence, run})
}

// event is a function that runs at a virtual time. Events at the same time run in the
// order of their sequence numbers.
type event struct {
	at       core.Instant
	sequence uint64
	run      func()
}

// eventQueue is a min-heap of events, ordered by time and sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, for container/heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}
