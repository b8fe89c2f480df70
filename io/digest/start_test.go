package digest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/membership"
)

// startingFleet is a fleet in virtual time whose instances start together, with a list that holds those
// that have announced themselves, and the number of its reads.
type startingFleet struct {
	clock core.ClockProvider
	nodes []*Node

	mu        sync.Mutex
	announced []core.ListedInstance
	listReads int
}

// startingLister announces an instance and reads the list after that.
type startingLister struct {
	fleet *startingFleet
	self  core.ListedInstance
	// storeTime is how long the store takes for a call.
	storeTime time.Duration
}

// Instances returns the instances that have announced themselves so far.
func (l *startingLister) Instances(context.Context) ([]core.ListedInstance, error) {
	l.fleet.mu.Lock()
	if !slices.Contains(l.fleet.announced, l.self) {
		l.fleet.announced = append(l.fleet.announced, l.self)
	}
	l.fleet.mu.Unlock()
	time.Sleep(l.storeTime)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.fleet.listReads++
	return slices.Clone(l.fleet.announced), nil
}

// newStartingFleet starts instances of several data centres within 30 ms.
func newStartingFleet(t *testing.T, counts ...int) *startingFleet {
	t.Helper()

	f := &startingFleet{clock: core.NewProcessClock()}
	network := newMemoryNetwork()
	ctx, cancel := context.WithCancel(t.Context())
	source := random.New(7)
	for centre, count := range counts {
		for i := range count {
			self := core.ListedInstance{
				ID: core.InstanceID(fmt.Sprintf("n%d-%d", centre, i)), Address: fmt.Sprintf("10.%d.0.%d:70", centre, i+1),
				DataCentre: core.DataCentre(fmt.Sprintf("dc%d", centre)),
			}
			n := New(Options{
				Self: membership.Record{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre, Callers: self.Address},
				Conn: network.listen(self.Address), Sender: uint32(len(f.nodes) + 1), Loads: load.NewTracker(), Clock: f.clock,
				Lister: &startingLister{f, self, time.Duration(2+source.IntN(8)) * time.Millisecond},
				Seed:   uint64(len(f.nodes)), Log: &log.Logger{Handler: discard.Default}, Catchup: catchup.New(random.New(uint64(i))), Snapshots: noSnapshots{},
			})
			f.nodes = append(f.nodes, n)
			delay := time.Duration(source.IntN(30)) * time.Millisecond
			go func() {
				time.Sleep(delay)
				n.Run(ctx)
			}()
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range f.nodes {
			<-n.Done()
		}
	})
	return f
}

// candidates returns how many instances compete for the lease of a shard.
func (f *startingFleet) candidates() (count int) {
	const watchers = 3
	for _, n := range f.nodes {
		members := n.LeaseMembers()
		slices.Sort(members)
		if slices.Contains(members[:min(len(members), watchers)], n.opts.Self.ID) {
			count++
		}
	}
	return count
}

// Guards against calls to the platform that grow with the fleet when all instances start together:
// further reads of the list, and attempts of all to acquire a lease. All have to know each other soon.
func TestInstancesThatStartTogetherFindEachOther(t *testing.T) {
	for _, counts := range [][]int{{7}, {24}, {59, 59}} {
		synctest.Test(t, func(t *testing.T) {
			f := newStartingFleet(t, counts...)
			total := len(f.nodes)
			most := 0
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				most = max(most, f.candidates())
			}
			// Three instances watch a lease; each tenth may disagree about the members.
			if limit := 3 + total/10; most > limit {
				t.Errorf("%d: %d of %d instances compete for a lease, want %d at most", counts, most, total, limit)
			}
			// New processes compare their records for 10 s.
			time.Sleep(7 * time.Second)
			for _, n := range f.nodes {
				if known := len(n.Members()); known < total {
					t.Errorf("%d: %s knows %d of %d members after 10 s", counts, n.opts.Self.ID, known, total)
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if limit := total * 11 / 10; f.listReads > limit+1 {
				t.Errorf("%d: the list is read %d times by %d instances, want %d", counts, f.listReads, total, limit+1)
			}
			t.Logf("%d: %d list reads, %d candidates", counts, f.listReads, most)
		})
	}
}
