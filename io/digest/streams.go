package digest

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/streamstart"
)

// StreamSource provides what the versions of streams depend on.
type StreamSource interface {
	// Observation returns the present targets and routes. Their confirmation must be read
	// before them.
	Observation() streamstart.Observation
	// Confirm reads the changes of the targets, so that they are complete as of the call. It
	// returns an error if they can't be read.
	Confirm(ctx context.Context) error
}

const (
	// startQueueLength is the capacity of the queue of records. Records beyond it are dropped
	// and counted.
	startQueueLength = 4096
	// startBatchInterval is the pause after a batch of records that is not full. A stream whose
	// instance is lost within that time may have no record.
	startBatchInterval = 20 * time.Millisecond
	// observeInterval is the time between two observations; minObserveInterval limits those
	// that lookups need in addition.
	observeInterval    = 100 * time.Millisecond
	minObserveInterval = 20 * time.Millisecond
	// minConfirmInterval is the pause after a read that confirms the targets for all lookups that
	// wait, and confirmIntervalPerPeer the pause in large fleets, since all instances share the
	// reads of the store. confirmTimeout limits one read.
	minConfirmInterval     = 50 * time.Millisecond
	confirmIntervalPerPeer = time.Millisecond
	confirmTimeout         = 100 * time.Millisecond
)

// StreamStats counts records of streams since the start of the process, and those held now.
type StreamStats struct {
	Sent, Received, Dropped, Evicted uint64
	Held                             int
	// Lookups counts lookups by result.
	Lookups map[streamstart.Result]uint64
}

// streamHomes holds the peers and the homes among them. It is immutable.
type streamHomes struct {
	*streamstart.Homes
	peers     []peer
	addresses map[string]net.Addr
}

// streams exchanges the records of the versions at which streams began.
type streams struct {
	node     *Node
	source   StreamSource
	register *streamstart.Register
	// startedAt is the start of the process.
	startedAt core.Instant
	queue     chan streamstart.Record
	homes     atomic.Pointer[streamHomes]
	// confirm has a value while a lookup waits for a confirmation.
	confirm chan struct{}

	sent, received, dropped atomic.Uint64

	observeMu  sync.Mutex
	observedAt core.Instant

	mu      sync.Mutex
	pending map[uint32]pendingQuery
	// newSince holds the time since which the addresses of new or restarted members are known,
	// and lastNew the latest.
	newSince map[string]core.Instant
	lastNew  core.Instant
	lookups  map[streamstart.Result]uint64
}

var (
	_ core.StreamStartRecorder   = (*Node)(nil)
	_ core.StreamVersionProvider = (*Node)(nil)
)

func newStreams(n *Node) *streams {
	s := &streams{
		node: n, source: n.opts.Streams, register: streamstart.New(streamstart.DefaultCapacity),
		startedAt: n.opts.Clock.Now(),
		queue:     make(chan streamstart.Record, startQueueLength),
		confirm:   make(chan struct{}, 1), observedAt: -core.Instant(time.Hour),
		newSince: map[string]core.Instant{}, pending: map[uint32]pendingQuery{}, lookups: map[streamstart.Result]uint64{},
	}
	s.setPeers(nil)
	return s
}

// RecordStreamStart records the start of a stream and queues the record for its homes if they
// need it.
func (n *Node) RecordStreamStart(start core.StreamStart) {
	record, ok := n.streams.register.Start(n.opts.Clock.Now(), start)
	if ok || n.streams.hasNewHome(record, start.Service) {
		n.streams.enqueue(record)
	}
}

// StreamStats returns the counts of records and lookups.
func (n *Node) StreamStats() StreamStats {
	s := n.streams
	counts := s.register.Counts()
	stats := StreamStats{
		Sent: s.sent.Load(), Received: s.received.Load(), Dropped: s.dropped.Load(),
		Held: counts.Held, Evicted: counts.Evicted, Lookups: map[streamstart.Result]uint64{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for result, count := range s.lookups {
		stats.Lookups[result] = count
	}
	return stats
}

func (s *streams) enqueue(record streamstart.Record) {
	select {
	case s.queue <- record:
	default:
		s.dropped.Add(1)
	}
}

// setPeers selects the homes among the current peers, and returns the addresses of those added.
func (s *streams) setPeers(peers []peer) (added []string) {
	old := s.homes.Load()
	if old != nil && slices.Equal(old.peers, peers) {
		return nil
	}
	h := &streamHomes{peers: peers, addresses: make(map[string]net.Addr, len(peers))}
	list := make([]streamstart.Peer, len(peers))
	for i, p := range peers {
		list[i] = streamstart.Peer{ID: p.id, DataCentre: p.dc, Address: p.address.String()}
		h.addresses[list[i].Address] = net.UDPAddrFromAddrPort(p.address)
		if old == nil || old.addresses[list[i].Address] == nil {
			added = append(added, list[i].Address)
		}
	}
	h.Homes = streamstart.NewHomes(s.node.opts.Self.DataCentre, list)
	s.homes.Store(h)
	return added
}

// loopObserve observes the versions of services.
func (s *streams) loopObserve(ctx context.Context) {
	if s.source == nil {
		return
	}
	pause.Every(ctx, observeInterval, s.observe)
}

// observe updates the beliefs about the versions of services, and queues the records that homes
// need because of a change.
func (s *streams) observe() {
	if s.source == nil {
		return
	}
	s.observeMu.Lock()
	defer s.observeMu.Unlock()
	now := s.node.opts.Clock.Now()
	if now.Sub(s.observedAt) < minObserveInterval {
		return
	}
	s.observedAt = now
	changes, records := s.register.Observe(now, s.source.Observation())
	for _, c := range changes {
		s.node.opts.Log.WithFields(log.Fields{
			"Service": c.Service, "Before": c.From.Kind.String(), "Now": c.To.Kind.String(), "Versions": c.To.Versions,
		}).Info("ServiceVersionsChanged")
	}
	for _, record := range records {
		s.enqueue(record)
	}
}

// loopConfirm confirms the targets for lookups that lack answers.
func (s *streams) loopConfirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.confirm:
			bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
			if err := s.source.Confirm(bounded); err != nil && ctx.Err() == nil {
				s.node.opts.Log.WithError(err).Warn("TargetsNotConfirmed")
			}
			cancel()
			pause.For(ctx, max(minConfirmInterval, time.Duration(s.homes.Load().Count())*confirmIntervalPerPeer))
		}
	}
}

// loopRecords sends queued records to their homes.
func (s *streams) loopRecords(ctx context.Context) {
	batch := make([]streamstart.Record, 0, recordsPerPacket)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.queue:
			batch = s.collect(append(batch[:0], r))
			s.sendBatch(batch)
			if len(batch) < recordsPerPacket {
				pause.For(ctx, startBatchInterval)
			}
		}
	}
}

// collect adds queued records to a batch, up to recordsPerPacket.
func (s *streams) collect(batch []streamstart.Record) []streamstart.Record {
	for len(batch) < recordsPerPacket {
		select {
		case r := <-s.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

func (s *streams) sendBatch(batch []streamstart.Record) {
	homes := s.homes.Load()
	byHome := map[string][]streamstart.Record{}
	for _, r := range batch {
		for _, home := range homes.Of(r.Request) {
			byHome[home.Address] = append(byHome[home.Address], r)
		}
	}
	for address, records := range byHome {
		s.sendRecords(homes.addresses[address], records)
	}
}

// markNew records that the members at some addresses are new.
func (s *streams) markNew(addresses map[string][]streamstart.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	homes := s.homes.Load()
	maps.DeleteFunc(s.newSince, func(address string, _ core.Instant) bool { return homes.addresses[address] == nil })
	s.lastNew = s.node.opts.Clock.Now()
	for address := range addresses {
		s.newSince[address] = s.lastNew
	}
}

// hasNewHome reports whether a home of a stream is so new that it can't know that its service has
// a single version.
func (s *streams) hasNewHome(r streamstart.Record, service core.Service) bool {
	now, window := s.node.opts.Clock.Now(), s.register.Window(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := func(since core.Instant) bool { return now.Sub(since) <= window }
	if len(s.newSince) == 0 || !isNew(s.lastNew) {
		return false
	}
	return slices.ContainsFunc(s.homes.Load().Of(r.Request), func(p streamstart.Peer) bool {
		since, ok := s.newSince[p.Address]
		return ok && isNew(since)
	})
}

// sendRecords sends up to recordsPerPacket records to one instance.
func (s *streams) sendRecords(to net.Addr, records []streamstart.Record) {
	s.sent.Add(uint64(len(records)))
	s.send(&packet{Kind: packetStreamStarts, StreamStarts: encodeStarts(s.node.opts.Clock.Now(), records)}, to)
}

// sendRelayed sends the records of this instance's streams to homes that have just started or
// become members, or that missed datagrams.
func (s *streams) sendRelayed(to ...string) {
	homes := s.homes.Load()
	byHome := map[string][]streamstart.Record{}
	for _, address := range to {
		if homes.addresses[address] != nil {
			byHome[address] = nil
		}
	}
	if len(byHome) == 0 {
		return
	}
	s.markNew(byHome)
	for _, r := range s.register.Relayed(s.node.opts.Clock.Now()) {
		for _, home := range homes.Of(r.Request) {
			if records, ok := byHome[home.Address]; ok {
				byHome[home.Address] = append(records, r)
			}
		}
	}
	for address, records := range byHome {
		for part := range slices.Chunk(records, recordsPerPacket) {
			s.sendRecords(homes.addresses[address], part)
		}
	}
}

// send sends a packet without the versions of the sender.
func (s *streams) send(p *packet, to ...net.Addr) {
	data, err := cbor.Marshal(p)
	if err != nil {
		s.node.opts.Log.WithError(err).Error("DatagramNotEncoded")
		return
	}
	s.node.write(data, to)
}

// sendAll sends a packet to all other instances.
func (s *streams) sendAll(p *packet) {
	s.send(p, slices.Collect(maps.Values(s.homes.Load().addresses))...)
}

// known returns the network addresses of those instances that are peers.
func (s *streams) known(addresses []string) []net.Addr {
	homes := s.homes.Load()
	var to []net.Addr
	for _, address := range addresses {
		if a := homes.addresses[address]; a != nil {
			to = append(to, a)
		}
	}
	return to
}

func (s *streams) handle(p *packet, from net.Addr) {
	switch p.Kind {
	case packetStreamStarts:
		now := s.node.opts.Clock.Now()
		err := decodeStarts(now, p.StreamStarts, func(r streamstart.Record) {
			s.received.Add(1)
			s.register.Hold(now, r)
		})
		if err != nil {
			s.node.opts.Log.WithFields(log.Fields{"From": from.String(), "Error": err.Error()}).Warn("DatagramRejected")
		}
	case packetStreamQuery:
		s.answer(p, from)
	case packetStreamAnswer:
		s.handleAnswer(p, from)
	}
}
