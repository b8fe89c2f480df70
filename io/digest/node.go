// Package digest exchanges datagrams between instances: digests of the work that each
// has given to targets, and the probes of the membership protocol.
//
// A lost datagram does no lasting harm: work whose end was not heard expires, peers that
// were silent or have started are told all outstanding work, and the membership protocol
// repeats itself.
package digest

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/membership"
)

// Options are the parts of a Node. All are required.
type Options struct {
	// Self is the own record; its address receives datagrams.
	Self   membership.Record
	Conn   net.PacketConn
	Sender uint32
	Loads  *load.Tracker
	Lister core.InstanceLister
	Clock  core.ClockProvider
	Seed   uint64
	Log    log.Interface
	// Catchup and Snapshots keep this instance in step with its peers.
	Catchup   *catchup.Tracker
	Snapshots Snapshots
}

const (
	tickInterval = 100 * time.Millisecond
	// seedInterval is the time between two readings of the list of instances, and
	// aloneInterval that while no other member is known.
	seedInterval  = 30 * time.Second
	aloneInterval = time.Second
	// batchInterval is the least time between two digests. It bounds an instance to 500
	// of them a second and delays what peers know by at most as much.
	batchInterval = 2 * time.Millisecond
	// fanOut bounds the peers of a cell that get the digests. Larger cells get them in part,
	// and learn the rest from the targets' own refusals.
	fanOut = 32
	// queueLength bounds the events that wait; more are dropped and counted.
	queueLength = 4096
	// eventsPerPacket keeps a digest within one frame.
	eventsPerPacket = 12
)

// Node exchanges datagrams with the other instances.
type Node struct {
	opts   Options
	events chan event
	// Dropped counts the events that found the queue full.
	dropped atomic.Uint64
	serial  atomic.Uint32
	peers   atomic.Pointer[peers]
	done    chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	members *membership.Protocol
	pending map[uint32]pendingCall
	// heardFrom holds the addresses from which a datagram arrived within freshFor.
	heardFrom map[string]voice
	tickedAt  core.Instant
}

// pendingCall is a call whose reply is awaited until due.
type pendingCall struct {
	call membership.Call
	due  core.Instant
	// answer is called for indirect probes, with whether there was a reply.
	answer func(reached bool)
}

// New returns a node that knows only itself. It starts with Run.
func New(o Options) *Node {
	n := &Node{
		opts: o, events: make(chan event, queueLength), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(o.Seed, 1)), pending: map[uint32]pendingCall{}, heardFrom: map[string]voice{},
	}
	header := func(core.Instant) (applied, head core.Revision, ageMs uint32) { return 0, 0, 0 }
	n.members = membership.New(o.Self, rand.New(rand.NewPCG(o.Seed, 0)), header, n.changed)
	n.peers.Store(&peers{cells: load.NewCells(o.Self.DataCentre, map[core.DataCentre]int{o.Self.DataCentre: 1})})
	return n
}

// peers are the addresses of the other instances. It is immutable.
type peers struct {
	cells *load.Cells
	// near get all digests, far holds those of each other cell.
	near []netip.AddrPort
	far  map[core.DataCentre][]netip.AddrPort
	// unmet are listed instances of the own data centre that are not yet members.
	unmet []netip.AddrPort
	// isReader is set on instances that read the platform for their data centre.
	isReader bool
}

var _ load.CellProvider = (*Node)(nil)

// Cells returns the cells as the members are now.
func (n *Node) Cells() *load.Cells { return n.peers.Load().cells }

// IsReader reports whether this instance reads the platform for its data centre.
func (n *Node) IsReader() bool { return n.peers.Load().isReader }

// changed logs what is newly believed about a member.
func (n *Node) changed(r membership.Record) {
	n.opts.Log.WithFields(log.Fields{
		"Member": r.ID, "DataCentre": r.DataCentre, "Status": r.Status, "Incarnation": r.Incarnation,
	}).Info("MemberChanged")
}

// Run exchanges datagrams until ctx ends, and then closes the connection.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	var loops sync.WaitGroup
	loops.Go(func() { n.loopRead(ctx) })
	loops.Go(func() { n.loopTicks(ctx) })
	loops.Go(func() { n.loopSeeds(ctx) })
	loops.Go(func() { n.loopEvents(ctx) })
	loops.Go(func() { n.loopPulls(ctx) })
	loops.Go(func() { n.loopAnnounce(ctx) })
	<-ctx.Done()
	_ = n.opts.Conn.Close() // ends loopRead
	loops.Wait()
}

// Done is closed when Run has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) loopSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := n.opts.Lister.Instances(ctx)
		if err != nil && ctx.Err() == nil {
			n.opts.Log.WithError(err).Warn("InstancesNotRead")
		}
		n.mu.Lock()
		if err == nil {
			n.members.Seed(list)
		}
		isAlone := len(n.members.Members()) < 2
		n.mu.Unlock()
		next := seedInterval
		if err != nil || isAlone {
			next = aloneInterval
		}
		pause.For(ctx, next)
	}
}

func (n *Node) loopTicks(ctx context.Context) { pause.Every(ctx, tickInterval, n.tick) }

func (n *Node) tick() {
	n.mu.Lock()
	now := n.opts.Clock.Now()
	n.noticeOwnPause(now)
	calls := n.members.Tick(now)
	var answers []func(bool)
	for serial, p := range n.pending {
		if now < p.due {
			continue
		}
		delete(n.pending, serial)
		if p.answer != nil {
			answers = append(answers, p.answer)
			continue
		}
		calls = append(calls, n.members.Failed(now, p.call)...)
	}
	packets := n.register(now, calls)
	n.updatePeers()
	n.forgetSilent(now)
	n.mu.Unlock()
	n.sendAll(packets)
	for _, answer := range answers {
		answer(false)
	}
}

// addressed is a packet and where it goes.
type addressed struct {
	to string
	packet
}

// register notes calls as pending and returns their packets. The lock must be held.
func (n *Node) register(now core.Instant, calls []membership.Call) []addressed {
	packets := make([]addressed, 0, len(calls))
	for _, call := range calls {
		serial := n.serial.Add(1)
		n.pending[serial] = pendingCall{call: call, due: now.Add(call.Timeout)}
		message := call.Message
		packets = append(packets, addressed{call.To.Address, packet{
			Kind: packetCall, Serial: serial, Call: call.Kind, Message: &message,
		}})
	}
	return packets
}

func (n *Node) sendAll(packets []addressed) {
	for i := range packets {
		to, err := netip.ParseAddrPort(packets[i].to)
		if err != nil {
			n.opts.Log.WithFields(log.Fields{"Address": packets[i].to, "Error": err.Error()}).Warn("PeerAddressInvalid")
			continue
		}
		n.send(&packets[i].packet, net.UDPAddrFromAddrPort(to))
	}
}

// send stamps a packet and sends it to each address.
func (n *Node) send(p *packet, to ...net.Addr) {
	n.stamp(p)
	data, err := cbor.Marshal(p)
	if err != nil {
		n.opts.Log.WithError(err).Error("DatagramNotEncoded")
		return
	}
	n.write(data, to)
}

// write sends a datagram to each address. One that can't be sent counts as lost, which the
// protocol allows for.
func (n *Node) write(data []byte, to []net.Addr) {
	for _, address := range to {
		_, _ = n.opts.Conn.WriteTo(data, address)
	}
}

func udpAddresses(list []netip.AddrPort) []net.Addr {
	addresses := make([]net.Addr, len(list))
	for i, to := range list {
		addresses[i] = net.UDPAddrFromAddrPort(to)
	}
	return addresses
}

// updatePeers follows the members. The lock must be held.
func (n *Node) updatePeers() {
	home := n.opts.Self.DataCentre
	p := &peers{far: map[core.DataCentre][]netip.AddrPort{}, isReader: n.members.IsReader()}
	counts := map[core.DataCentre]int{home: 1}
	for _, r := range n.members.Members() {
		to, err := netip.ParseAddrPort(r.Address)
		if err != nil || r.ID == n.opts.Self.ID {
			continue
		}
		counts[r.DataCentre]++
		if r.DataCentre == home {
			p.near = append(p.near, to)
		} else {
			p.far[r.DataCentre] = append(p.far[r.DataCentre], to)
		}
	}
	for _, r := range n.members.Unmet() {
		if to, err := netip.ParseAddrPort(r.Address); err == nil {
			p.unmet = append(p.unmet, to)
		}
	}
	if p.cells = load.NewCells(home, counts); p.cells.IsFleetWide {
		for _, list := range p.far {
			p.near = append(p.near, list...)
		}
		p.far = nil
	}
	p.near = p.near[:min(len(p.near), fanOut)]
	for dc, list := range p.far {
		p.far[dc] = list[:min(len(list), fanOut)]
	}
	n.peers.Store(p)
}

func (n *Node) loopRead(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := n.opts.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			n.opts.Log.WithError(err).Warn("DatagramNotRead")
			pause.For(ctx, tickInterval)
			continue
		}
		p, err := decodePacket(buffer[:size])
		if err != nil {
			n.opts.Log.WithFields(log.Fields{"From": from.String(), "Error": err.Error()}).Warn("DatagramRejected")
			continue
		}
		n.handle(p, from)
	}
}

func (n *Node) handle(p *packet, from net.Addr) {
	n.heard(p)
	switch p.Kind {
	case packetLoad:
		n.load(p)
	case packetCall:
		n.answer(p, from)
	case packetReply:
		n.replied(p)
	}
}

// answer replies to a call of a peer.
func (n *Node) answer(p *packet, from net.Addr) {
	reply := func(m membership.Message) {
		n.send(&packet{Kind: packetReply, Serial: p.Serial, Message: &m}, from)
	}
	n.mu.Lock()
	now := n.opts.Clock.Now()
	switch p.Call {
	case membership.CallIndirectProbe:
		n.relayProbe(now, *p.Message, reply)
		return
	case membership.CallDigest:
		m := n.members.HandleDigest(now, *p.Message)
		n.mu.Unlock()
		reply(m)
	default:
		m := n.members.HandleProbe(now, *p.Message)
		n.mu.Unlock()
		reply(m)
	}
}

// relayProbe probes a member for another one. The lock must be held; it is released.
func (n *Node) relayProbe(now core.Instant, m membership.Message, reply func(membership.Message)) {
	call := n.members.HandleIndirectProbe(now, m)
	packets := n.register(now, []membership.Call{call})
	p := n.pending[packets[0].Serial]
	p.answer = func(reached bool) {
		n.mu.Lock()
		answer := n.members.AnswerIndirectProbe(n.opts.Clock.Now(), m, reached)
		n.mu.Unlock()
		reply(answer)
	}
	n.pending[packets[0].Serial] = p
	n.mu.Unlock()
	n.sendAll(packets)
}

// replied takes in the reply to a call.
func (n *Node) replied(p *packet) {
	n.mu.Lock()
	pending, ok := n.pending[p.Serial]
	delete(n.pending, p.Serial)
	if ok {
		n.members.Replied(n.opts.Clock.Now(), pending.call, *p.Message)
	}
	n.mu.Unlock()
	if ok && pending.answer != nil {
		pending.answer(true)
	}
}

// Leave announces that this instance leaves.
func (n *Node) Leave() {
	n.mu.Lock()
	packets := n.register(n.opts.Clock.Now(), n.members.Leave(n.opts.Clock.Now()))
	n.mu.Unlock()
	n.sendAll(packets)
}

// Members returns the members that are not dropped, this one included.
func (n *Node) Members() []membership.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Members()
}
