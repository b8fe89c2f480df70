package digest

import (
	"context"
	"fmt"
	"net/netip"
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
	"gorseline/core/roster"
)

// targetSnapshots provides a fixed list of targets.
type targetSnapshots struct {
	noSnapshots
	view *roster.View
}

func (s targetSnapshots) Targets() *roster.View { return s.view }

// cellFleet is a fleet of several data centres in virtual time, with targets in each of them.
type cellFleet struct {
	t         *testing.T
	network   *memoryNetwork
	clock     core.ClockProvider
	list      fixedList
	snapshots targetSnapshots
	nodes     []*Node
	trackers  []*load.Tracker
	stops     []context.CancelFunc
	serial    uint32
}

const targetsPerCentre = 4

func targetOf(centre, i int) core.TargetID { return core.TargetID(fmt.Sprintf("t%d-%d", centre, i)) }

// newCellFleet starts a fleet with the given number of instances in each data centre, and waits until
// all know each other.
func newCellFleet(t *testing.T, counts ...int) *cellFleet {
	t.Helper()
	f := &cellFleet{t: t, network: newMemoryNetwork(), clock: core.NewProcessClock()}
	var targets []core.Registration
	for centre, count := range counts {
		dc := core.DataCentre(fmt.Sprintf("dc%d", centre))
		for i := range count {
			f.list = append(f.list, core.ListedInstance{
				ID: core.InstanceID(fmt.Sprintf("n%d-%d", centre, i)), Address: fmt.Sprintf("10.%d.0.%d:70", centre, i+1), DataCentre: dc,
			})
		}
		for i := range targetsPerCentre {
			targets = append(targets, core.Registration{Target: core.Target{ID: targetOf(centre, i), DataCentre: dc}})
		}
	}
	r := roster.New(time.Second)
	r.Replace(f.clock.Now(), 1, targets)
	f.snapshots = targetSnapshots{view: r.View()}
	f.nodes, f.trackers = make([]*Node, len(f.list)), make([]*load.Tracker, len(f.list))
	f.stops = make([]context.CancelFunc, len(f.list))
	for i := range f.list {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			f.kill(i)
		}
	})
	time.Sleep(30 * time.Second)
	for _, n := range f.nodes {
		if len(n.Members()) != len(f.list) {
			t.Fatalf("%s has %d members, want %d", n.opts.Self.ID, len(n.Members()), len(f.list))
		}
	}
	return f
}

// start starts a process of an instance.
func (f *cellFleet) start(i int) {
	self := f.list[i]
	f.trackers[i] = load.NewTracker()
	f.nodes[i] = New(Options{
		Self: membership.Record{
			ID: self.ID, Address: self.Address, DataCentre: self.DataCentre, Callers: self.Address, Capacity: uint32(20 + i%3),
		},
		Conn: f.network.listen(self.Address), Sender: uint32(f.clock.Now()) + uint32(i) + 1, Loads: f.trackers[i], Lister: f.list,
		Clock: f.clock, Seed: uint64(i), Log: &log.Logger{Handler: discard.Default}, Catchup: catchup.New(random.New(1)),
		Snapshots: f.snapshots,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.stops[i] = cancel
	go f.nodes[i].Run(ctx)
}

// kill ends a process without a farewell.
func (f *cellFleet) kill(i int) {
	f.stops[i]()
	<-f.nodes[i].Done()
}

// send makes an instance send work to a target.
func (f *cellFleet) send(i, centre, target int) load.Ref {
	f.serial++
	ref := load.Ref{
		Key: load.Key{Sender: f.nodes[i].opts.Sender, Serial: f.serial}, Target: targetOf(centre, target),
		Cell: core.DataCentre(fmt.Sprintf("dc%d", centre)),
	}
	item := load.Item{Ref: ref, Kind: load.Generate}
	f.trackers[i].Sent(f.clock.Now(), item)
	f.nodes[i].Sent(item)
	return ref
}

func (f *cellFleet) finish(i int, ref load.Ref) {
	f.trackers[i].Finished(f.clock.Now(), ref)
	f.nodes[i].Finished(ref)
}

// countWithState returns how many of the instances know a number of running requests of a target of the
// first data centre.
func (f *cellFleet) countWithState(target, running int) (known int) {
	for i := range f.nodes {
		if s := f.trackers[i].State(f.clock.Now(), targetOf(0, target), nil); s.Running == running {
			known++
		}
	}
	return known
}

// countSilent returns the pairs of live peers of a data centre of which one counts the other as silent.
func (f *cellFleet) countSilent(isAlive func(i int) bool) (silent int) {
	for i, n := range f.nodes {
		if !isAlive(i) {
			continue
		}
		n.mu.Lock()
		for j, other := range f.list {
			r := membership.Record{ID: other.ID, Address: other.Address, DataCentre: other.DataCentre}
			if isAlive(j) && n.isSilent(f.clock.Now(), n.Cells(), &r) {
				silent++
			}
		}
		n.mu.Unlock()
	}
	return silent
}

// Guards against instances of a large data centre that hear only some of their peers: the others would
// be left out of answers to callers, and read the platform for themselves.
func TestAllPeersOfLargeCellAreHeard(t *testing.T) {
	for _, count := range []int{34, 59, 113} {
		synctest.Test(t, func(t *testing.T) {
			f := newCellFleet(t, count, 3)
			alive := func(int) bool { return true }
			for range 30 {
				if silent := f.countSilent(alive); silent > 0 {
					t.Fatalf("%d instances: %d pairs of live peers count as silent", count, silent)
				}
				time.Sleep(200 * time.Millisecond)
			}
			f.network.mu.Lock()
			f.network.packets[packetVersions] = 0
			f.network.mu.Unlock()
			time.Sleep(10 * time.Second)
			// Readers and collectors announce themselves to all peers at once.
			most := 2.5 * (float64(count)*min(announcedPerRound, float64(count-1)) + float64(membership.DelegateCount+load.CollectorCount)*float64(count))
			if rate := float64(f.network.count(packetVersions)) / 10; rate > most+20 {
				t.Errorf("%d instances: %.0f announcements a second, want %.0f at most", count, rate, most+20)
			}
		})
	}
}

// Guards against a dead peer that callers are sent to for long because it is heard more seldom in a
// large data centre.
func TestDeadPeerOfLargeCellIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCellFleet(t, 59, 3)
		f.kill(0)
		time.Sleep(4 * time.Second)
		for i, n := range f.nodes[1:59] {
			for range 20 {
				for _, address := range n.CallerAddresses("dc0") {
					if address == f.list[0].Address {
						t.Fatalf("n0-%d returns the address of a dead instance", i+1)
					}
				}
			}
		}
		if silent := f.countSilent(func(i int) bool { return i != 0 }); silent > 0 {
			t.Errorf("%d pairs of live peers count as silent", silent)
		}
	})
}

// Guards against instances that don't know what the others have sent to a target, in their data
// centre or another one, and against knowledge that outlives the work.
func TestLoadsOfLargeFleetReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCellFleet(t, 40, 20, 12)
		var refs []load.Ref
		for i := range 10 {
			refs = append(refs, f.send(7*i, 0, 1))
		}
		time.Sleep(120 * time.Millisecond)
		if known := f.countWithState(1, 10); known != len(f.list) {
			t.Errorf("%d of %d instances know the work", known, len(f.list))
		}
		for i, ref := range refs {
			f.finish(7*i, ref)
		}
		time.Sleep(120 * time.Millisecond)
		if known := f.countWithState(1, 0); known != len(f.list) {
			t.Errorf("%d of %d instances know the end of the work", known, len(f.list))
		}
	})
}

// Guards against loads that are unknown, or wrong, for longer than a takeover after the collector of a
// cell is lost or cut off.
func TestNextCollectorTakesOver(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newCellFleet(t, 40, 20)
			first := -1
			for i := range 40 {
				if f.nodes[i].peers.Load().rank == 0 {
					first = i
				}
			}
			if first < 0 {
				t.Fatal("the cell has no collector")
			}
			sender := (first + 1) % 40
			f.send(sender, 0, 2)
			time.Sleep(100 * time.Millisecond)
			if isCut {
				address := f.list[first].Address
				f.network.setDrop(func(from, to string, _ *packet) bool { return from == address || to == address })
			} else {
				f.kill(first)
			}
			time.Sleep(load.SummaryValidity + 50*time.Millisecond)
			f.send(sender, 0, 2)
			time.Sleep(150 * time.Millisecond)
			if known := f.countWithState(2, 2); known < len(f.list)-1 {
				t.Errorf("cut %v: %d of %d instances know the work", isCut, known, len(f.list))
			}
		})
	}
}

// Guards against events that go to more instances than those that need them.
func TestEventsGoToCollectorsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCellFleet(t, 40, 20)
		receivers := map[netip.AddrPort]bool{}
		f.network.setDrop(func(_, to string, p *packet) bool {
			if p.Kind == packetLoad && len(p.Events) > 0 {
				receivers[netip.MustParseAddrPort(to)] = true
			}
			return false
		})
		for i := range 60 {
			f.send(i, 1, i%targetsPerCentre)
		}
		time.Sleep(100 * time.Millisecond)
		f.network.setDrop(nil)
		f.network.mu.Lock()
		defer f.network.mu.Unlock()
		if len(receivers) > load.CollectorCount {
			t.Errorf("%d instances receive the events about one cell", len(receivers))
		}
	})
}

// Guards against work of a silent peer that stays recorded because none of its announcements arrived.
func TestWorkOfUnannouncedPeerIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCellFleet(t, 3)
		f.network.setDrop(func(from, _ string, p *packet) bool {
			return p.Kind == packetVersions && from == f.list[0].Address
		})
		f.kill(0)
		f.start(0)
		time.Sleep(5 * time.Second)
		f.send(0, 0, 1)
		time.Sleep(100 * time.Millisecond)
		if known := f.countWithState(1, 1); known != 3 {
			t.Fatalf("%d of 3 instances know the work", known)
		}
		f.kill(0)
		time.Sleep(3 * minPeerTimeout)
		for i := 1; i < 3; i++ {
			if got := f.trackers[i].State(f.clock.Now(), targetOf(0, 1), nil).Running; got != 0 {
				t.Errorf("n0-%d still records %d items", i, got)
			}
		}
	})
}
