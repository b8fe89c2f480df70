// Package digest exchanges datagrams between instances: digests of the load that each
// instance puts on targets, and the messages of the membership protocol.
//
// The protocol tolerates lost datagrams: work whose end is not reported expires, peers
// that were silent or have restarted receive all outstanding work, and the membership
// protocol retries.
package digest

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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
	"gorseline/core/reach"
	"gorseline/core/targetlimit"
)

// Options configure a Node. All fields are required unless they say otherwise.
type Options struct {
	// Self is the record of this instance. Conn receives the datagrams for its address.
	Self membership.Record
	Conn net.PacketConn
	// Sender identifies this process among load senders. It differs at each start.
	Sender uint32
	// Loads holds the outstanding work of all instances that share loads with this one.
	Loads  *load.Tracker
	Lister core.InstanceLister
	Clock  core.ClockProvider
	Seed   uint64
	Log    log.Interface
	// Catchup compares the versions of this instance with those of its peers. Snapshots
	// provides and applies the content of these versions.
	Catchup   *catchup.Tracker
	Snapshots Snapshots
	// Currency tracks when the configuration was known to be the newest. Without it, which is allowed,
	// that is not exchanged.
	Currency *catchup.Currency
	// TrueTime and Usage take part in the counting of requests by organisation. Without them, which is
	// allowed, neither times nor counts are exchanged.
	TrueTime TrueTime
	Usage    UsageReceiver
	// Streams provides what the versions of streams depend on. Without it, which is allowed,
	// streams are not recorded.
	Streams StreamSource
	// Limits holds the limits that targets state. Without it, which is allowed, they are not
	// exchanged.
	Limits *targetlimit.Limits
	// Paths knows which services this instance reaches. Without it, which is allowed, all count as
	// reached.
	Paths *reach.Paths
}

const (
	tickInterval = 100 * time.Millisecond
	// seedInterval is the time between two reads of the instance list. discoveryInterval
	// replaces it while no other member is known or after a failed read.
	seedInterval      = 30 * time.Second
	discoveryInterval = time.Second
	// batchInterval is the pause after a digest that is not full. It limits an instance to 500
	// such digests per second and delays events by at most this time.
	batchInterval = 2 * time.Millisecond
	// eventQueueLength is the capacity of the event queue. Events beyond it are dropped and
	// counted.
	eventQueueLength = 4096
	// eventsPerPacket keeps a digest within maxPacketSize.
	eventsPerPacket = 12
)

// Node exchanges datagrams with the other instances.
type Node struct {
	opts   Options
	events chan event
	// dropped counts the events that were discarded because the queue was full.
	dropped  atomic.Uint64
	serial   atomic.Uint32
	peers    atomic.Pointer[peerSet]
	done     chan struct{}
	streams  *streams
	evidence *evidence
	limits   *limits
	leavings *leavings
	loads    *collector

	mu      sync.Mutex
	rng     *rand.Rand
	members *membership.Protocol
	size    *membership.FleetSize
	pending map[uint32]pendingCall
	// peerStates holds the state of each peer, by address, that sent a datagram within
	// peerTimeout.
	peerStates map[string]peerState
	lastTick   core.Instant
	// peersVersion is the version of the members that the peer set rests on. seedsChanged is set if
	// the list of instances was read since then.
	peersVersion uint64
	seedsChanged bool
	// startedAt is when Run began. hasSeeds is set once the list of instances has been read.
	startedAt core.Instant
	hasSeeds  bool
}

// pendingCall is a call that waits for its reply until the deadline.
type pendingCall struct {
	call     membership.Call
	deadline core.Instant
	// onResult is set for indirect probes. It receives whether there was a reply.
	onResult func(reached bool)
}

// New returns a node whose only member is this instance. Call Run to start it.
func New(o Options) *Node {
	n := &Node{
		opts: o, events: make(chan event, eventQueueLength), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(o.Seed, 1)), pending: map[uint32]pendingCall{}, peerStates: map[string]peerState{},
		size: membership.NewFleetSize(),
	}
	// Packets carry the versions of the sender, so membership messages carry no revisions.
	header := func(core.Instant) (applied, head core.Revision, ageMs uint32) { return 0, 0, 0 }
	n.members = membership.New(o.Self, rand.New(rand.NewPCG(o.Seed, 0)), header, n.logMemberChange)
	n.streams = newStreams(n)
	n.evidence = newEvidence(n)
	n.limits = newLimits(n)
	n.leavings = newLeavings(n)
	n.loads = newCollector(n)
	n.serial.Store(o.Sender) // late replies to an earlier process match no call
	n.peers.Store(&peerSet{rank: -1, cells: load.NewCells(o.Self.DataCentre, map[core.DataCentre]int{o.Self.DataCentre: 1})})
	return n
}

var _ load.CellProvider = (*Node)(nil)

// Cells returns the cells of the current membership.
func (n *Node) Cells() *load.Cells { return n.peers.Load().cells }

// IsReader reports whether this instance reads the platform for its data centre.
func (n *Node) IsReader() bool { return n.peers.Load().isReader }

// logMemberChange logs the new record of a member.
func (n *Node) logMemberChange(r membership.Record) {
	n.opts.Log.WithFields(log.Fields{
		"Member": r.ID, "DataCentre": r.DataCentre, "Status": r.Status, "Incarnation": r.Incarnation,
	}).Info("MemberChanged")
}

// Run exchanges datagrams until ctx is done, and then closes the connection.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	n.mu.Lock()
	n.startedAt = n.opts.Clock.Now()
	n.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { n.loopRead(ctx) })
	loops.Go(func() { n.loopTicks(ctx) })
	loops.Go(func() { n.loopSeeds(ctx) })
	loops.Go(func() { n.loopEvents(ctx) })
	loops.Go(func() { n.loopPulls(ctx) })
	loops.Go(func() { n.loopAnnounce(ctx) })
	loops.Go(func() { n.streams.loopRecords(ctx) })
	loops.Go(func() { n.streams.loopObserve(ctx) })
	loops.Go(func() { n.streams.loopConfirm(ctx) })
	loops.Go(func() { n.evidence.loopLosses(ctx) })
	loops.Go(func() { n.evidence.loopQuestions(ctx) })
	loops.Go(func() { n.evidence.loopFindings(ctx) })
	loops.Go(func() { n.limits.loop(ctx) })
	loops.Go(func() { n.leavings.loop(ctx) })
	loops.Go(func() { n.loads.loop(ctx) })
	<-ctx.Done()
	_ = n.opts.Conn.Close() // ends loopRead
	loops.Wait()
}

// Done returns a channel that is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) loopSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := n.opts.Lister.Instances(ctx)
		if err != nil && ctx.Err() == nil {
			n.opts.Log.WithError(err).Warn("InstancesNotRead")
		}
		n.mu.Lock()
		isAlone := n.isAlone()
		if err == nil {
			n.hasSeeds = true
			n.members.SetSeeds(list)
			n.seedsChanged = true
			n.size.ObserveList(n.opts.Clock.Now(), list, isAlone)
		}
		n.mu.Unlock()
		pause.For(ctx, discoveryInterval)
		n.mu.Lock()
		isAlone = n.isAlone() // the list may have led to others meanwhile
		n.mu.Unlock()
		if err == nil && !isAlone {
			pause.For(ctx, seedInterval-discoveryInterval)
		}
	}
}

// isAlone reports whether no other member is known. The lock must be held.
func (n *Node) isAlone() bool { return len(n.members.Members()) < 2 }

func (n *Node) loopTicks(ctx context.Context) { pause.Every(ctx, tickInterval, n.tick) }

func (n *Node) tick() {
	n.mu.Lock()
	now := n.opts.Clock.Now()
	n.detectOwnPause(now)
	calls := n.members.Tick(now)
	var expired []func(bool)
	for serial, p := range n.pending {
		if now < p.deadline {
			continue
		}
		delete(n.pending, serial)
		if p.onResult != nil {
			expired = append(expired, p.onResult)
			continue
		}
		calls = append(calls, n.members.HandleFailure(now, p.call)...)
	}
	packets := n.registerCalls(now, calls)
	added := n.updatePeers()
	n.removeSilentPeers(now)
	n.mu.Unlock()
	n.sendAll(packets)
	n.streams.sendRelayed(added...)
	n.evidence.sendTo(added...)
	n.limits.sendTo(added...)
	for _, onResult := range expired {
		onResult(false)
	}
}

// outgoing is a packet and the address of its receiver.
type outgoing struct {
	to string
	packet
}

// registerCalls records calls as pending and returns their packets. The lock must be held.
func (n *Node) registerCalls(now core.Instant, calls []membership.Call) []outgoing {
	packets := make([]outgoing, 0, len(calls))
	for _, call := range calls {
		serial := n.serial.Add(1)
		n.pending[serial] = pendingCall{call: call, deadline: now.Add(call.Timeout)}
		message := call.Message
		packets = append(packets, outgoing{call.To.Address, packet{
			Kind: packetCall, Serial: serial, Call: call.Kind, Message: &message,
		}})
	}
	return packets
}

func (n *Node) sendAll(packets []outgoing) {
	for i := range packets {
		to, err := netip.ParseAddrPort(packets[i].to)
		if err != nil {
			n.opts.Log.WithFields(log.Fields{"Address": packets[i].to, "Error": err.Error()}).Warn("PeerAddressInvalid")
			continue
		}
		n.send(&packets[i].packet, net.UDPAddrFromAddrPort(to))
	}
}

// send adds the sender's address and versions to a packet and sends it to each address.
func (n *Node) send(p *packet, to ...net.Addr) {
	n.stamp(p)
	data, err := cbor.Marshal(p)
	if err != nil {
		n.opts.Log.WithError(err).Error("DatagramNotEncoded")
		return
	}
	n.write(data, to)
}

// write sends a datagram to each address. It ignores errors because the protocol tolerates
// lost datagrams.
func (n *Node) write(data []byte, to []net.Addr) {
	for _, address := range to {
		_, _ = n.opts.Conn.WriteTo(data, address)
	}
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
	n.observeSender(p)
	switch p.Kind {
	case packetLoad:
		n.handleLoad(p, from)
	case packetCall:
		n.handleCall(p, from)
	case packetReply:
		n.handleReply(p)
	case packetStreamStarts, packetStreamQuery, packetStreamAnswer:
		n.streams.handle(p, from)
	case packetLosses, packetSurvivalQuestion, packetSurvivalAnswer, packetFindings, packetAcquittal, packetAlive:
		n.evidence.handle(p, from)
	case packetLimits:
		n.limits.handle(p)
	case packetLeaving:
		n.leavings.handle(p)
	case packetUsage:
		if n.opts.Usage != nil {
			n.opts.Usage.ReceiveUsage(p.Sender, p.Usage)
		}
	}
}

// handleCall replies to a call of a peer.
func (n *Node) handleCall(p *packet, from net.Addr) {
	reply := func(m membership.Message) {
		n.send(&packet{Kind: packetReply, Serial: p.Serial, Message: &m}, from)
	}
	n.mu.Lock()
	now := n.opts.Clock.Now()
	switch p.Call {
	case membership.CallIndirectProbe:
		n.handleIndirectProbe(now, *p.Message, reply)
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

// handleIndirectProbe probes a member on behalf of a peer and replies once the result is
// known. The lock must be held and is released.
func (n *Node) handleIndirectProbe(now core.Instant, m membership.Message, reply func(membership.Message)) {
	call := n.members.HandleIndirectProbe(now, m)
	packets := n.registerCalls(now, []membership.Call{call})
	p := n.pending[packets[0].Serial]
	p.onResult = func(reached bool) {
		n.mu.Lock()
		answer := n.members.AnswerIndirectProbe(n.opts.Clock.Now(), m, reached)
		n.mu.Unlock()
		reply(answer)
	}
	n.pending[packets[0].Serial] = p
	n.mu.Unlock()
	n.sendAll(packets)
}

// handleReply completes a pending call. Replies without one are ignored.
func (n *Node) handleReply(p *packet) {
	n.mu.Lock()
	pending, ok := n.pending[p.Serial]
	delete(n.pending, p.Serial)
	if ok {
		n.members.HandleReply(n.opts.Clock.Now(), pending.call, *p.Message)
	}
	n.mu.Unlock()
	if ok && pending.onResult != nil {
		pending.onResult(true)
	}
}

// Leave announces to members that this instance leaves, and sends them the records of the streams
// that it still relays.
func (n *Node) Leave() {
	n.streams.sendRelayed(slices.Collect(maps.Keys(n.streams.homes.Load().addresses))...)
	n.mu.Lock()
	packets := n.registerCalls(n.opts.Clock.Now(), n.members.Leave(n.opts.Clock.Now()))
	n.mu.Unlock()
	n.sendAll(packets)
}

// FleetSize returns the number of instances that may be running, which includes those that were
// seen within membership.FleetMemory; 0 means that it isn't known yet.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.size.ObserveMembers(now, n.members.Members())
	return n.size.Count(now)
}

// Members returns the members that are not removed, including this instance.
func (n *Node) Members() []membership.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Members()
}
