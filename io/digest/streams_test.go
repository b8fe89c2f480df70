package digest

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/membership"
	"gorseline/core/streamstart"
)

// memoryNetwork delivers datagrams between connections in memory, at once and in order.
type memoryNetwork struct {
	mu    sync.Mutex
	conns map[string]*memoryConn
	// drop reports whether a datagram is lost.
	drop func(from, to string, p *packet) bool
	// bytes counts the bytes of the packets of each kind, and packets their number.
	bytes   map[packetKind]int
	packets map[packetKind]int
}

type memoryDatagram struct {
	data []byte
	from net.Addr
}

type memoryConn struct {
	net.PacketConn
	network *memoryNetwork
	address net.Addr
	queue   chan memoryDatagram
	closed  chan struct{}
	once    sync.Once
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{conns: map[string]*memoryConn{}, bytes: map[packetKind]int{}, packets: map[packetKind]int{}}
}

func (n *memoryNetwork) listen(address string) *memoryConn {
	c := &memoryConn{
		network: n, queue: make(chan memoryDatagram, 1<<14), closed: make(chan struct{}),
		address: net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

func (n *memoryNetwork) setDrop(drop func(from, to string, p *packet) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

func (n *memoryNetwork) count(kind packetKind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.packets[kind]
}

func (c *memoryConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.queue:
		return copy(b, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p, err := decodePacket(b)
	if err != nil {
		return 0, err
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.bytes[p.Kind] += len(b)
	c.network.packets[p.Kind]++
	receiver := c.network.conns[to.String()]
	if receiver == nil || c.network.drop != nil && c.network.drop(c.address.String(), to.String(), p) {
		return len(b), nil
	}
	receiver.queue <- memoryDatagram{slices.Clone(b), c.address}
	return len(b), nil
}

func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// settleTime exceeds the time after which a fleet that has just started knows that a service has a single
// version.
const settleTime = 3 * time.Minute

// streamView is the view of the targets of one instance.
type streamView struct {
	clock core.ClockProvider
	mu    sync.Mutex
	// cutAt is the time since which the view is not confirmed, if isCut.
	isCut bool
	cutAt core.Instant
	// confirmedAt is the time of the last confirmation that was requested, and confirmations
	// their number.
	confirmedAt   core.Instant
	confirmations int
	versions      []core.SoftwareVersion
	// timeout is that of the route; 0 means 20 s.
	timeout time.Duration
}

func (v *streamView) Observation() streamstart.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := streamstart.Observation{
		// A store without changes confirms views at intervals only.
		AsOf: max(v.confirmedAt, v.clock.Now()-v.clock.Now()%core.Instant(1500*time.Millisecond)), IsConfirmed: true, Versions: map[core.Service][]core.SoftwareVersion{"chat": v.versions},
		Configuration: &core.Forwarding{Routes: []core.Route{{
			Prefix: "/", Resumable: true, Timeout: cmp.Or(v.timeout, 20*time.Second), Splits: []core.Split{{Service: "chat", Weight: 1}},
		}}},
	}
	if v.isCut {
		o.AsOf = v.cutAt
	}
	return o
}

func (v *streamView) Confirm(context.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmations++
	if v.isCut {
		return errors.New("cut off")
	}
	v.confirmedAt = v.clock.Now()
	return nil
}

func (v *streamView) countConfirmations() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmations
}

func (v *streamView) set(versions ...core.SoftwareVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions = versions
}

func (v *streamView) cut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isCut, v.cutAt = true, v.clock.Now()
}

// streamFleet is a fleet of nodes in virtual time.
type streamFleet struct {
	t       *testing.T
	network *memoryNetwork
	list    fixedList
	clock   core.ClockProvider
	nodes   []*Node
	views   []*streamView
	stops   []context.CancelFunc
}

func newStreamFleet(t *testing.T, count int, versions ...core.SoftwareVersion) *streamFleet {
	t.Helper()
	f := &streamFleet{t: t, network: newMemoryNetwork(), clock: core.NewProcessClock()}
	for i := range count {
		f.list = append(f.list, core.ListedInstance{
			ID: core.InstanceID(fmt.Sprintf("n%d", i)), Address: fmt.Sprintf("10.0.0.%d:70", i+1), DataCentre: "dc",
		})
	}
	f.nodes, f.views, f.stops = make([]*Node, count), make([]*streamView, count), make([]context.CancelFunc, count)
	for i := range count {
		f.views[i] = &streamView{clock: f.clock, versions: versions}
		f.start(i)
	}
	time.Sleep(10 * time.Second)
	for _, n := range f.nodes {
		if len(n.Members()) != count {
			t.Fatalf("%s has %d members, want %d", n.opts.Self.ID, len(n.Members()), count)
		}
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			f.kill(i)
		}
	})
	return f
}

// start starts a process of an instance.
func (f *streamFleet) start(i int) {
	self := f.list[i]
	f.nodes[i] = New(Options{
		Self: membership.Record{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre}, Conn: f.network.listen(self.Address),
		Sender: uint32(f.clock.Now()) + uint32(i) + 1, Loads: load.NewTracker(), Lister: f.list, Clock: f.clock, Seed: uint64(i),
		Log: &log.Logger{Handler: discard.Default}, Catchup: catchup.New(random.New(1)), Snapshots: noSnapshots{}, Streams: f.views[i],
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.stops[i] = cancel
	go f.nodes[i].Run(ctx)
}

// kill ends a process without a farewell.
func (f *streamFleet) kill(i int) {
	f.stops[i]()
	<-f.nodes[i].Done()
}

func (f *streamFleet) begin(i int, request core.RequestID, version core.SoftwareVersion) {
	f.nodes[i].RecordStreamStart(core.StreamStart{
		Service: "chat", Request: request, Version: version, Deadline: f.clock.Now().Add(20 * time.Second),
	})
}

// expect looks a request up and compares the version; "" means unknown.
func (f *streamFleet) expect(i int, request core.RequestID, want core.SoftwareVersion) {
	f.t.Helper()
	before := f.clock.Now()
	version, known := f.nodes[i].StreamVersion(f.t.Context(), "chat", request)
	if version != want || known != (want != "") {
		f.t.Errorf("n%d: version %q %v of %s, want %q; lookups %v", i, version, known, request, want, f.nodes[i].StreamStats().Lookups)
	}
	if took := f.clock.Now().Sub(before); took > 200*time.Millisecond {
		f.t.Errorf("n%d: the lookup took %v", i, took)
	}
}

// Guards against versions that are lost with the instance that relayed the stream, or with all
// others but one.
func TestVersionOfStreamOutlivesItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 7, "v1", "v2")
		f.begin(0, "a", "v1")
		f.begin(0, "b", "v2")
		time.Sleep(startBatchInterval + time.Millisecond)
		f.kill(0)
		f.expect(1, "a", "v1")
		f.expect(2, "b", "v2")
		f.expect(3, "unknown", "")
		for i := 1; i < 6; i++ {
			f.kill(i)
		}
		f.expect(6, "a", "v1")
		f.expect(6, "b", "v2")
		f.expect(6, "unknown", "")
	})
}

// Guards against lookups that fail because one datagram is lost.
func TestQueryIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 3, "v1", "v2")
		f.network.setDrop(func(_, to string, p *packet) bool {
			return p.Kind == packetStreamStarts && to != "10.0.0.3:70"
		})
		f.begin(0, "a", "v1")
		time.Sleep(startBatchInterval + time.Millisecond)
		f.kill(0)
		dropped := map[string]bool{}
		f.network.setDrop(func(_, to string, p *packet) bool {
			isFirst := p.Kind == packetStreamQuery && !dropped[to]
			if isFirst {
				dropped[to] = true
			}
			return isFirst
		})
		f.expect(1, "a", "v1")
	})
}

// Guards against records on days with a single version, and against refusals on such days after
// the loss of an instance.
func TestSingleVersionNeedsNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 7, "v1")
		time.Sleep(settleTime)
		for i := range 22 {
			f.begin(0, core.RequestID(fmt.Sprintf("r%d", i)), "v1")
		}
		time.Sleep(time.Second)
		if count := f.network.count(packetStreamStarts); count != 0 {
			t.Errorf("%d packets of records are sent", count)
		}
		f.kill(0)
		for i := range 20 {
			f.expect(1, core.RequestID(fmt.Sprintf("r%d", i)), "v1")
		}
		time.Sleep(10 * time.Second)
		confirmations := f.views[1].countConfirmations()
		f.expect(1, "r20", "v1")
		if f.views[1].countConfirmations() != confirmations {
			t.Error("the store is read although all answer")
		}
		f.kill(2)
		f.kill(3)
		f.kill(4)
		f.kill(5)
		f.kill(6)
		f.expect(1, "r21", "v1")
	})
}

// Guards against the loss of streams that began before a second version appeared.
func TestRunningStreamsArePublishedWhenVersionsMix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 3, "v1")
		time.Sleep(settleTime)
		f.begin(0, "a", "v1")
		time.Sleep(time.Second)
		for _, view := range f.views {
			view.set("v1", "v2")
		}
		time.Sleep(observeInterval + startBatchInterval)
		f.kill(0)
		f.expect(1, "a", "v1")
	})
}

// Guards against an instance that is cut off, sees only an old version, and continues a stream of
// a newer one with it.
func TestInstanceThatIsCutOffKnowsNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 4, "v1")
		time.Sleep(settleTime)
		isCut := func(address string) bool { return address == "10.0.0.1:70" || address == "10.0.0.2:70" }
		f.network.setDrop(func(from, to string, _ *packet) bool { return isCut(from) != isCut(to) })
		f.views[0].cut()
		f.views[1].cut()
		time.Sleep(time.Second)
		f.views[2].set("v1", "v2")
		f.views[3].set("v1", "v2")
		f.begin(2, "a", "v2")
		f.expect(0, "a", "") // the others are members and don't answer
		time.Sleep(20 * time.Second)
		f.begin(2, "b", "v2")
		f.expect(0, "b", "")
		f.expect(3, "b", "v2")
	})
}

// Guards against refusals because the view of the targets is some milliseconds behind a record.
func TestLookupWaitsForTheViewOfTheTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 3, "v1")
		f.views[0].set("v1", "v2")
		f.begin(0, "a", "v2")
		time.Sleep(startBatchInterval + time.Millisecond)
		time.AfterFunc(60*time.Millisecond, func() { f.views[1].set("v1", "v2") })
		f.expect(1, "a", "v2")
		f.expect(2, "a", "")
	})
}

// Guards against a restarted home without the records of streams that still run.
func TestRestartedHomeReceivesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 3, "v1", "v2")
		f.begin(0, "a", "v2")
		time.Sleep(time.Second)
		f.kill(1)
		f.kill(2)
		f.start(1)
		time.Sleep(time.Second)
		f.kill(0)
		f.expect(1, "a", "v2")
	})
}

// Guards against a lookup that goes on after its request has ended.
func TestLookupEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStreamFleet(t, 3, "v1", "v2")
		f.kill(1)
		f.kill(2)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		before := f.clock.Now()
		if _, known := f.nodes[0].StreamVersion(ctx, "chat", "a"); known || f.clock.Now() != before {
			t.Errorf("known %v after %v", known, f.clock.Now().Sub(before))
		}
	})
}

// Guards against records that block the relay of a stream when they can't be sent.
func TestQueueOfRecordsIsBounded(t *testing.T) {
	network := newMemoryNetwork()
	n := New(Options{
		Self: membership.Record{ID: "n", Address: "10.0.0.1:70", DataCentre: "dc"}, Conn: network.listen("10.0.0.1:70"),
		Clock: core.NewProcessClock(), Log: &log.Logger{Handler: discard.Default}, Catchup: catchup.New(random.New(1)),
		Snapshots: noSnapshots{}, Streams: &streamView{clock: core.NewProcessClock()},
	})
	for i := range startQueueLength + 10 {
		n.RecordStreamStart(core.StreamStart{Service: "chat", Request: core.RequestID(fmt.Sprint(i)), Version: "v1"})
	}
	if stats := n.StreamStats(); stats.Dropped != 10 {
		t.Errorf("%d records dropped, want 10", stats.Dropped)
	}
}

// Guards against packets that exceed a frame, and against records that change on the way.
func TestRecordsFitAPacket(t *testing.T) {
	now := core.Instant(time.Hour)
	for _, tags := range []int{1, 3, recordsPerPacket} {
		var records []streamstart.Record
		for i := range recordsPerPacket {
			records = append(records, streamstart.Record{
				Request: ^uint64(0) - uint64(i), Tag: streamstart.Tag(1<<31 + i%tags), Expires: now.Add(time.Duration(i) * time.Second),
			})
		}
		data, err := cbor.Marshal(&packet{Kind: packetStreamStarts, StreamStarts: encodeStarts(now, records)})
		if err != nil || len(data) > maxPacketSize {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		p, err := decodePacket(data)
		if err != nil {
			t.Fatal(err)
		}
		var got []streamstart.Record
		if err := decodeStarts(now, p.StreamStarts, func(r streamstart.Record) { got = append(got, r) }); err != nil {
			t.Fatal(err)
		}
		slices.SortFunc(got, func(a, b streamstart.Record) int { return cmp.Compare(a.Expires, b.Expires) })
		if !slices.Equal(got, records) {
			t.Errorf("%d tags: the records differ", tags)
		}
	}
}

// Guards against a malformed packet that ends the process or is taken for records.
func TestTruncatedRecordsAreRejected(t *testing.T) {
	data := encodeStarts(0, []streamstart.Record{{Request: 1, Tag: 2, Expires: 3}})
	for size := 1; size < len(data); size++ {
		if err := decodeStarts(0, data[:size], func(streamstart.Record) { t.Errorf("%d bytes have a record", size) }); err == nil {
			t.Errorf("%d bytes are accepted", size)
		}
	}
}
