package digest

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wrong version because of a late answer to the process before a restart, whose
// serial is that of a query about another stream.
func TestAnswerAboutAnotherRequestIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 4, "v1", "v2")
		var mu sync.Mutex
		var late []*packet
		asker := f.list[0].Address
		f.network.setDrop(func(_, to string, p *packet) bool {
			if p.Kind == packetStreamAnswer && to == asker {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, p)
			}
			return to == asker && (p.Kind == packetStreamAnswer || p.Kind == packetStreamStarts)
		})
		f.begin(1, "old", "v1")
		time.Sleep(time.Second)
		f.expect(0, "old", "")
		f.kill(0)
		f.start(0)
		if f.nodes[0].serial.Load() < f.nodes[0].opts.Sender {
			t.Error("the serials of all processes begin alike")
		}
		time.Sleep(time.Second)
		f.begin(2, "new", "v2")
		mu.Lock()
		answers := late
		mu.Unlock()
		if len(answers) == 0 {
			t.Fatal("no instance answers")
		}
		f.network.setDrop(func(from, to string, p *packet) bool {
			if p.Kind == packetStreamAnswer && to == asker {
				for _, answer := range answers {
					altered := *answer
					altered.Serial = p.Serial
					f.nodes[0].handle(&altered, stringAddress(from))
				}
			}
			return to == asker && (p.Kind == packetStreamAnswer || p.Kind == packetStreamStarts)
		})
		f.expect(0, "new", "")
	})
}

// Guards against streams without records that an instance began before it knew its homes, also
// those that never announce themselves to it.
func TestRecordsOfUnjoinedInstanceReachItsHomes(t *testing.T) {
	for _, early := range []time.Duration{0, 10 * time.Millisecond, 90 * time.Millisecond, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newStreamFleet(t, 7, "v1", "v2")
			f.kill(0)
			time.Sleep(700 * time.Millisecond)
			f.network.setDrop(func(_, to string, p *packet) bool {
				return to == f.list[0].Address && p.Kind == packetVersions && early == 0
			})
			f.start(0)
			time.Sleep(early)
			f.begin(0, "a", "v2")
			time.Sleep(5 * time.Second)
			f.kill(0)
			f.expect(1, "a", "v2")
		})
	}
}

// Guards against refusals because a caller comes to an instance that hasn't joined yet.
func TestLookupWaitsForMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 7, "v1", "v2")
		f.begin(1, "a", "v2")
		time.Sleep(time.Second)
		f.kill(0)
		f.kill(1)
		time.Sleep(700 * time.Millisecond)
		f.network.setDrop(func(_, _ string, p *packet) bool { return p.Kind == packetStreamStarts })
		f.start(0)
		time.Sleep(3 * tickInterval / 4) // joining takes one or two ticks
		f.expect(0, "a", "v2")
	})
}

// Guards against refusals, and against a wait of each lookup, at a lone instance.
func TestLookupOfLoneInstanceEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 1, "v1")
		time.Sleep(time.Minute + time.Second)
		before := f.clock.Now()
		f.expect(0, "a", "v1")
		f.views[0].set("v1", "v2")
		time.Sleep(observeInterval)
		before = before.Add(observeInterval)
		f.expect(0, "a", "")
		if took := f.clock.Now().Sub(before); took != 0 {
			t.Errorf("the lookup took %v", took)
		}
	})
}

// Guards against refusals when the instances of a fleet with one version are replaced one by one:
// the last one's streams, begun before and after the restarts, are known to nobody else.
func TestRestartedInstancesKnowStreamsOfOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 4, "v1")
		time.Sleep(time.Minute)
		f.begin(0, "before", "v1")
		for i := 1; i < 4; i++ {
			f.kill(i)
			time.Sleep(700 * time.Millisecond)
			f.start(i)
			time.Sleep(2 * time.Second)
		}
		f.begin(0, "after", "v1")
		time.Sleep(time.Second)
		f.kill(0)
		f.expect(1, "before", "v1")
		f.expect(2, "after", "v1")
	})
}

// Guards against streams of a leaving instance that nobody knows once the store is away.
func TestLeavingInstanceHandsOverRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 3, "v1")
		time.Sleep(time.Minute)
		f.begin(0, "a", "v1")
		f.nodes[0].Leave()
		time.Sleep(time.Second)
		f.kill(0)
		f.views[1].cut()
		f.views[2].cut()
		time.Sleep(7 * time.Second)
		f.expect(1, "a", "v1")
	})
}

// Guards against refusals at a restarted instance while others that were lost with it are in the
// view: its own confirmed view says too little.
func TestRestartedInstanceTrustsConfirmedPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 7, "v1")
		time.Sleep(time.Minute)
		f.begin(1, "a", "v1")
		f.begin(1, "b", "v1")
		time.Sleep(time.Second)
		f.kill(0)
		f.kill(1)
		time.Sleep(700 * time.Millisecond)
		f.start(0)
		time.Sleep(300 * time.Millisecond)
		f.expect(0, "a", "v1")
		for _, view := range f.views {
			view.cut()
		}
		time.Sleep(time.Second)
		f.expect(0, "b", "")
	})
}

// stringAddress is the address of an instance of a test.
type stringAddress string

var _ net.Addr = stringAddress("")

func (stringAddress) Network() string  { return "udp" }
func (a stringAddress) String() string { return string(a) }
