package digest

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/roster"
)

const (
	// minSummaryInterval is the time between two summaries in a small cell, which is about the time
	// that an engine takes for a prompt. Each peer adds summaryIntervalPerPeer, which bounds the
	// datagrams that a collector sends to 2,500 a second.
	minSummaryInterval     = 25 * time.Millisecond
	summaryIntervalPerPeer = 400 * time.Microsecond
	// idleSummaries is the number of intervals between two summaries while no target has work.
	idleSummaries = 4
	// takeoverIntervals is the number of intervals without a summary after which the next collector
	// publishes them.
	takeoverIntervals = 3
)

// collector publishes summaries of the loads of the cell's targets if this instance collects them, and
// records those of other collectors.
//
// In fleets that don't share all loads with all instances, the events about a target go to the
// collectors of its cell only. These send summaries to the instances of their cell and to the
// collectors of other cells, which pass them on.
type collector struct {
	node *Node
	// hashes maps the hashes of the targets of a view.
	hashes atomic.Pointer[hashedView]

	mu sync.Mutex
	// relayed holds the latest summaries of each collector of other cells by its address.
	relayed map[netip.AddrPort]relayedSummaries
	// lastSummary is when the latest summary of another collector of this cell arrived.
	lastSummary core.Instant
	// quiet counts the intervals since the last summary while no target has work. Only loop uses it.
	quiet int
}

// relayedSummaries are the summaries of a datagram as of a time.
type relayedSummaries struct {
	asOf      core.Instant
	summaries []byte
}

// hashedView holds the targets of a view by their hashes.
type hashedView struct {
	view    *roster.View
	targets map[targetHash]core.TargetID
}

func newCollector(n *Node) *collector {
	return &collector{node: n, relayed: map[netip.AddrPort]relayedSummaries{}}
}

// setCollectors sends the outstanding work of this instance to new collectors.
func (c *collector) setCollectors(old, current *peerSet) {
	for dc, list := range current.collectors {
		for _, to := range addedTo(old.collectors[dc], list) {
			c.node.sendOutstanding(to.String(), current)
		}
	}
	if old.rank != current.rank {
		c.node.opts.Log.WithFields(log.Fields{"Rank": current.rank, "Before": old.rank, "Peers": len(current.inCell)}).Info("CollectorRankChanged")
	}
}

// loop publishes summaries while this instance is the first live collector of its cell.
func (c *collector) loop(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.node.peers.Load()
		if !p.isCollector() {
			pause.For(ctx, tickInterval)
			continue
		}
		interval := max(minSummaryInterval, time.Duration(len(p.inCell))*summaryIntervalPerPeer)
		if c.isFirst(p, interval) {
			c.publish(p)
		}
		pause.For(ctx, interval)
	}
}

// isFirst reports whether no collector of a lower rank publishes.
func (c *collector) isFirst(p *peerSet, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Duration(p.rank) * takeoverIntervals * interval
	return p.rank == 0 || c.node.opts.Clock.Now().Sub(c.lastSummary) > wait
}

// publish sends the summaries of the cell's targets, and to the cell also those of other cells.
func (c *collector) publish(p *peerSet) {
	own, isBusy := c.summarise(p)
	relayed := c.fresh()
	if c.quiet++; !isBusy && len(relayed) == 0 && c.quiet < idleSummaries {
		return
	}
	c.quiet = 0
	var others []netip.AddrPort
	for dc, list := range p.collectors {
		if dc != p.cells.Home {
			others = append(others, list...)
		}
	}
	c.send(own, others)
	c.send(append(own, relayed...), c.takers(p))
}

// summarise returns the summaries of the cell's targets, and whether one of them has work.
func (c *collector) summarise(p *peerSet) (sections []section, isBusy bool) {
	now := c.node.opts.Clock.Now()
	var data []byte
	for e := range c.node.opts.Snapshots.Targets().All {
		if !p.cells.Includes(e.ID, e.DataCentre) {
			continue
		}
		s := c.node.opts.Loads.Summarise(now, e.ID)
		isBusy = isBusy || s.Running > 0
		data = appendSummary(data, &s)
	}
	for chunk := range slices.Chunk(data, summariesPerPacket*summarySize) {
		sections = append(sections, section{summaries: chunk})
	}
	return sections, isBusy
}

// fresh returns the valid summaries of other cells.
func (c *collector) fresh() []section {
	now := c.node.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var sections []section
	for from, r := range c.relayed {
		age := now.Sub(r.asOf)
		if age > load.SummaryValidity {
			delete(c.relayed, from)
			continue
		}
		sections = append(sections, section{age, r.summaries})
	}
	return sections
}

// takers returns the peers of this instance's cell that take summaries.
func (c *collector) takers(p *peerSet) []netip.AddrPort {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(p.inCell))
	for _, to := range p.inCell {
		if c.node.peerStates[to.String()].sharesSummaries {
			list = append(list, to)
		}
	}
	return list
}

// send sends sections in as few datagrams as possible.
func (c *collector) send(sections []section, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	addresses := udpAddresses(to)
	var data []byte
	count := 0
	for _, s := range sections {
		if count > 0 && count+s.count() > summariesPerPacket {
			c.write(data, addresses)
			data, count = nil, 0
		}
		data = appendSection(data, s)
		count += s.count()
	}
	if count > 0 {
		c.write(data, addresses)
	}
}

func (c *collector) write(summaries []byte, to []net.Addr) {
	data, err := cbor.Marshal(&packet{Kind: packetLoad, Sender: c.node.opts.Sender, Summaries: summaries})
	if err != nil {
		c.node.opts.Log.WithError(err).Error("DatagramNotEncoded")
		return
	}
	c.node.write(data, to)
}

// handle records the summaries of another collector.
func (c *collector) handle(p *packet, from net.Addr) {
	peers, now := c.node.peers.Load(), c.node.opts.Clock.Now()
	isInCell := peers.inCellAddress(from)
	if isInCell {
		c.mu.Lock()
		c.lastSummary = now
		c.mu.Unlock()
	}
	if peers.rank == 0 && isInCell {
		return // this instance knows the loads itself, and has got the others from the same source
	}
	view := c.targets()
	err := decodeSections(p.Summaries, func(s section) {
		asOf := now.Add(-s.age)
		decodeSummaries(s, func(hash targetHash, summary load.Summary) {
			if id, ok := view[hash]; ok {
				summary.Target = id
				c.node.opts.Loads.Observe(asOf, summary)
			}
		})
	})
	if err != nil {
		c.node.opts.Log.WithFields(log.Fields{"From": from.String(), "Error": err.Error()}).Warn("DatagramRejected")
		return
	}
	if !isInCell && peers.isCollector() {
		c.relay(p, from, now)
	}
}

// relay keeps the summaries of a collector of another cell for this cell.
func (c *collector) relay(p *packet, from net.Addr, now core.Instant) {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	r := relayedSummaries{asOf: now}
	_ = decodeSections(p.Summaries, func(s section) { r.summaries = append(r.summaries, s.summaries...) }) // checked before
	if len(r.summaries) > summariesPerPacket*summarySize {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed[unmapped(udp.AddrPort())] = r
}

// targets returns the targets of the current view by their hashes.
func (c *collector) targets() map[targetHash]core.TargetID {
	view := c.node.opts.Snapshots.Targets()
	if h := c.hashes.Load(); h != nil && h.view == view {
		return h.targets
	}
	h := &hashedView{view, make(map[targetHash]core.TargetID, view.Len())}
	for e := range view.All {
		h.targets[hashTarget(e.ID)] = e.ID
	}
	c.hashes.Store(h)
	return h.targets
}
