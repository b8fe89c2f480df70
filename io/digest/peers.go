package digest

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/membership"
)

// announcedPerRound is the number of peers that receive one announcement of this instance. In
// larger cells the peers take turns, so that announcements cost the same in a cell of any size.
const announcedPerRound = 32

// peerSet holds the addresses of the other instances. It is immutable.
type peerSet struct {
	cells *load.Cells
	// inCell holds the peers of this instance's cell, and isInCell their addresses.
	inCell   []netip.AddrPort
	isInCell map[netip.AddrPort]bool
	// collectors holds the collectors of each cell in their order, without this instance. rank is
	// that of this instance among the collectors of its cell, or -1.
	collectors map[core.DataCentre][]netip.AddrPort
	rank       int
	// unjoined holds listed instances of the local data centre that are not members yet.
	unjoined []netip.AddrPort
	// isReader is set on instances that read the platform for their data centre.
	isReader bool
}

// peerTimeout is how long after its last datagram a peer of this instance's cell counts as alive:
// up to three announcements to this instance may be lost. Probes detect a dead peer seconds later
// than that, and later still in other data centres.
func (p *peerSet) peerTimeout() time.Duration {
	rounds := (len(p.inCell) + announcedPerRound - 1) / announcedPerRound
	return time.Duration(max(1, rounds)) * minPeerTimeout
}

// isCollector reports whether this instance collects the loads of its cell.
func (p *peerSet) isCollector() bool { return p.rank >= 0 }

// collectorsOf returns the collectors of a cell, without this instance. An empty cell is that of this
// instance.
func (p *peerSet) collectorsOf(cell core.DataCentre) []netip.AddrPort {
	if cell == "" {
		cell = p.cells.Home
	}
	return p.collectors[cell]
}

// needsEvents reports whether a peer needs events about targets.
func (p *peerSet) needsEvents(address string) bool {
	if p.cells.IsFleetWide {
		return true
	}
	for dc := range p.collectors {
		if p.needsEventsOf(address, dc) {
			return true
		}
	}
	return false
}

// needsEventsOf reports whether the events about the targets of a cell go to a peer.
func (p *peerSet) needsEventsOf(address string, cell core.DataCentre) bool {
	return p.cells.IsFleetWide || slices.ContainsFunc(p.collectorsOf(cell), func(a netip.AddrPort) bool { return a.String() == address })
}

// announcedIn returns the peers that receive the announcement of a round. Those of readers and
// collectors go to all peers, which rely on them.
func (p *peerSet) announcedIn(round int) []netip.AddrPort {
	count := len(p.inCell)
	if count <= announcedPerRound || p.isReader || p.isCollector() {
		return p.inCell
	}
	list := make([]netip.AddrPort, 0, announcedPerRound)
	for i := range announcedPerRound {
		list = append(list, p.inCell[(round*announcedPerRound+i)%count])
	}
	return list
}

// peer is another instance.
type peer struct {
	id       core.InstanceID
	dc       core.DataCentre
	address  netip.AddrPort
	capacity uint32
}

// updatePeers rebuilds the peer set if members or listed instances have changed, and returns the
// addresses of the members added. The lock must be held.
func (n *Node) updatePeers() []string {
	if version := n.members.Version(); version == n.peersVersion && !n.seedsChanged {
		return nil
	}
	n.peersVersion, n.seedsChanged = n.members.Version(), false
	peers := n.listPeers()
	p := n.newPeerSet(peers)
	old := n.peers.Swap(p)
	n.loads.setCollectors(old, p)
	before := n.streams.homes.Load()
	added := n.streams.setPeers(peers)
	if n.streams.homes.Load() != before {
		n.limits.setPeers(peers)
	}
	return added
}

// listPeers returns the other members with valid addresses. The lock must be held.
func (n *Node) listPeers() []peer {
	var peers []peer
	for _, r := range n.members.Members() {
		to, err := netip.ParseAddrPort(r.Address)
		if err == nil && r.ID != n.opts.Self.ID {
			peers = append(peers, peer{r.ID, r.DataCentre, to, r.Capacity})
		}
	}
	return peers
}

// newPeerSet returns the set of some peers. The lock must be held.
func (n *Node) newPeerSet(peers []peer) *peerSet {
	home := n.opts.Self.DataCentre
	p := &peerSet{
		isReader: n.members.IsExpectedDelegate(), isInCell: map[netip.AddrPort]bool{}, rank: -1,
		collectors: map[core.DataCentre][]netip.AddrPort{},
	}
	counts := map[core.DataCentre]int{home: 1}
	byCentre := map[core.DataCentre][]peer{}
	for _, each := range peers {
		counts[each.dc]++
		byCentre[each.dc] = append(byCentre[each.dc], each)
	}
	for _, r := range n.members.UnjoinedSeeds() {
		if to, err := netip.ParseAddrPort(r.Address); err == nil {
			p.unjoined = append(p.unjoined, to)
		}
	}
	p.cells = load.NewCells(home, counts).WithCallerShare(n.callerShare(peers))
	for _, each := range peers {
		if p.cells.IsFleetWide || each.dc == home {
			p.inCell = append(p.inCell, each.address)
			p.isInCell[each.address] = true
		}
	}
	if !p.cells.IsFleetWide {
		self := peer{id: n.opts.Self.ID, dc: home, capacity: n.opts.Self.Capacity}
		byCentre[home] = append(byCentre[home], self)
		for dc, list := range byCentre {
			p.setCollectors(dc, list, n.opts.Self.ID)
		}
	}
	return p
}

// callerShare returns the share of the callers of this data centre that come to this instance.
func (n *Node) callerShare(peers []peer) float64 {
	own := float64(membership.Record{Capacity: n.opts.Self.Capacity}.CallerWeight())
	total := own
	for _, each := range peers {
		if each.dc == n.opts.Self.DataCentre {
			total += float64(membership.Record{Capacity: each.capacity}.CallerWeight())
		}
	}
	return own / total
}

// setCollectors selects the collectors of a cell among its instances.
func (p *peerSet) setCollectors(dc core.DataCentre, instances []peer, self core.InstanceID) {
	candidates := make([]load.Candidate, len(instances))
	for i, each := range instances {
		candidates[i] = load.Candidate{ID: each.id, Capacity: each.capacity}
	}
	for rank, i := range load.Collectors(candidates) {
		if instances[i].id == self {
			p.rank = rank
			continue
		}
		p.collectors[dc] = append(p.collectors[dc], instances[i].address)
	}
}

// inCellAddress reports whether a datagram comes from a peer of this instance's cell.
func (p *peerSet) inCellAddress(from net.Addr) bool {
	udp, ok := from.(*net.UDPAddr)
	return ok && p.isInCell[unmapped(udp.AddrPort())]
}

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// addedTo returns the addresses of list that are not in old.
func addedTo(old, list []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool { return slices.Contains(old, a) })
}

func udpAddresses(list []netip.AddrPort) []net.Addr {
	addresses := make([]net.Addr, len(list))
	for i, to := range list {
		addresses[i] = net.UDPAddrFromAddrPort(to)
	}
	return addresses
}
