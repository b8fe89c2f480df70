package digest

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/pause"
	"gorseline/core/membership"
)

// Announce tells the peers of the own cell which versions this instance has.
func (n *Node) Announce() {
	p := n.peers.Load()
	n.send(&packet{Kind: packetVersions}, udpAddresses(slices.Concat(p.near, p.unmet))...)
}

// announceInterval is how often an instance tells the peers of its cell that it lives and
// which versions it has. Followers that hear of no reader for catchup.ReaderTimeout read the
// platform themselves.
const announceInterval = 400 * time.Millisecond

func (n *Node) loopAnnounce(ctx context.Context) {
	pause.Every(ctx, announceInterval, func() {
		n.opts.Catchup.SetFollower(!n.peers.Load().isReader)
		n.Announce()
	})
}

// stamp adds the own versions to a packet.
func (n *Node) stamp(p *packet) {
	p.Configuration, p.Targets = n.opts.Catchup.Versions()
	p.Address, p.Sender = n.opts.Self.Address, n.opts.Sender
	p.Reads = n.opts.Catchup.HasRecentReads(n.opts.Clock.Now())
}

// voice is what was last heard of an address.
type voice struct {
	at core.Instant
	// sender names the process there.
	sender uint32
	// isTold is set once it has announced itself and was told the own outstanding work.
	isTold bool
}

// noticeOwnPause has all peers told the own work again after this process did not run for
// so long that they have dropped it. The lock must be held.
func (n *Node) noticeOwnPause(now core.Instant) {
	pause := now.Sub(n.tickedAt)
	isFirst := n.tickedAt == 0
	n.tickedAt = now
	if isFirst || pause < freshFor {
		return
	}
	n.opts.Log.WithField("PauseMs", pause.Milliseconds()).Warn("OwnPauseNoticed")
	for address, v := range n.heardFrom {
		v.isTold = false
		n.heardFrom[address] = v
	}
}

// forgetSilent drops what is known of peers of the own cell that have not been heard for
// freshFor: the ends of their work may have been missed. Those of other cells announce
// nothing here. The lock must be held.
func (n *Node) forgetSilent(now core.Instant) {
	maps.DeleteFunc(n.heardFrom, func(address string, v voice) bool {
		if now.Sub(v.at) < freshFor {
			return false
		}
		if v.isTold {
			n.opts.Log.WithFields(log.Fields{"Peer": address, "Sender": v.sender}).Info("PeerSilent")
			n.opts.Loads.RemoveSender(v.sender)
		}
		return true
	})
}

// heard takes in the versions of a peer. The work of an earlier process at its address has
// ended with it; a process that was not heard lately is told the own work.
func (n *Node) heard(p *packet) {
	if p.Address == "" {
		return
	}
	now := n.opts.Clock.Now()
	n.mu.Lock()
	before := n.heardFrom[p.Address]
	isNew := before.sender != p.Sender
	// Announcements come from the own cell only, where loads are shared.
	tell := p.Kind == packetVersions && (isNew || !before.isTold)
	n.heardFrom[p.Address] = voice{now, p.Sender, tell || before.isTold && !isNew}
	n.mu.Unlock()
	if isNew {
		n.opts.Loads.RemoveSender(before.sender)
	}
	if tell {
		n.opts.Log.WithFields(log.Fields{"Peer": p.Address, "Sender": p.Sender}).Info("PeerToldOutstandingWork")
		n.shareAll(p.Address)
	}
	n.opts.Catchup.ObservePeerVersion(now, catchup.Configuration, p.Address, p.Configuration)
	n.opts.Catchup.ObservePeerVersion(now, catchup.Targets, p.Address, p.Targets)
	if p.Reads {
		n.opts.Catchup.ObserveReader(now)
	}
}

// freshFor is how long after its last datagram a peer of the own cell is given to callers:
// three announcements may be lost. Probes would find a dead peer seconds later, longer
// still in other data centres.
const freshFor = 4 * announceInterval

// CallerAddresses returns the addresses for a caller in a data centre.
func (n *Node) CallerAddresses(dc core.DataCentre) []string {
	cells := n.Cells()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	return n.members.CallerAddresses(n.rng, dc, func(r membership.Record) bool {
		if r.ID == n.opts.Self.ID || !cells.IsFleetWide && r.DataCentre != cells.Home {
			return true // peers of other cells announce nothing here
		}
		v, ok := n.heardFrom[r.Address]
		return ok && now.Sub(v.at) < freshFor
	})
}
