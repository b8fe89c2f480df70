package digest

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/membership"
)

// maxUnreached bounds the services that a datagram names. Peers find out about the others from refusals.
const maxUnreached = 16

var _ core.DetourPeerProvider = (*Node)(nil)

// unreached returns hashes of the services that this instance doesn't reach.
func (n *Node) unreached() []uint64 {
	if n.opts.Paths == nil {
		return nil
	}
	var hashes []uint64
	for _, lost := range n.opts.Paths.Lost() {
		if len(hashes) < maxUnreached {
			hashes = append(hashes, hashService(lost.Service))
		}
	}
	return hashes
}

func hashService(s core.Service) uint64 { return xxhash.Sum64String(string(s)) }

// AnnouncePaths tells the peers of this instance's cell which services it reaches.
func (n *Node) AnnouncePaths() { n.Announce() }

// DetourPeers returns the other instances that are alive, with those that don't reach a service marked.
// Silent peers of this instance's cell are left out, as for callers.
func (n *Node) DetourPeers(service core.Service) []core.DetourPeer {
	hash, cells := hashService(service), n.Cells()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	var list []core.DetourPeer
	for _, r := range n.members.Members() {
		if r.ID == n.opts.Self.ID || r.Status != membership.StatusAlive || n.isSilent(now, cells, &r) {
			continue
		}
		isCut := slices.Contains(n.peerStates[r.Address].unreached, hash)
		list = append(list, core.DetourPeer{Address: r.Address, DataCentre: r.DataCentre, IsCut: isCut})
	}
	return list
}

// leaseJoinTime is how long after the start of an instance it may lack most of the other members.
const leaseJoinTime = 3 * time.Second

// LeaseMembers returns the members among which the holders of leases are chosen: those that reach the
// targets of all services, as far as is known here, or all if there is none. It returns no members in
// the first leaseJoinTime of this instance while it may not know most of them: each of the instances that start
// together would take itself for the preferred one.
func (n *Node) LeaseMembers() []core.InstanceID {
	isSelfCut := len(n.unreached()) > 0
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opts.Clock.Now().Sub(n.startedAt) < leaseJoinTime && (!n.hasSeeds || n.members.IsJoining()) {
		return nil
	}
	var all, reaching []core.InstanceID
	for _, r := range n.members.Members() {
		all = append(all, r.ID)
		isCut := len(n.peerStates[r.Address].unreached) > 0
		if r.ID == n.opts.Self.ID {
			isCut = isSelfCut
		}
		if !isCut {
			reaching = append(reaching, r.ID)
		}
	}
	if len(reaching) == 0 {
		return all
	}
	return reaching
}

// IsPeer reports whether a member has an IP address.
func (n *Node) IsPeer(address netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.members.Members(), func(r membership.Record) bool {
		at, err := netip.ParseAddrPort(r.Address)
		return err == nil && at.Addr() == address.Unmap()
	})
}
