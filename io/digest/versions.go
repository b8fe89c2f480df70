package digest

import (
	"context"
	"slices"
	"time"

	"gorseline/core/catchup"
	"gorseline/core/common/pause"
)

// Announce tells the peers of the own cell which versions this instance has.
func (n *Node) Announce() {
	p := n.peers.Load()
	n.send(&packet{Kind: packetVersions}, udpAddresses(slices.Concat(p.near, p.unmet))...)
}

// announceInterval is how often an instance tells the peers of its cell that it lives and
// which versions it has. Followers that hear of no reader for catchup.ConfirmedFor read the
// platform themselves.
const announceInterval = 400 * time.Millisecond

func (n *Node) loopAnnounce(ctx context.Context) {
	pause.Every(ctx, announceInterval, func() {
		n.opts.Tracker.Follow(!n.peers.Load().isReader)
		n.Announce()
	})
}

// stamp adds the own versions to a packet.
func (n *Node) stamp(p *packet) {
	p.Configuration, p.Targets = n.opts.Tracker.Versions()
	p.Address = n.opts.Self.Address
	p.Reads = n.opts.Tracker.Reads(n.opts.Clock.Now())
}

// heard takes in the versions of a peer.
func (n *Node) heard(p *packet) {
	if p.Address == "" {
		return
	}
	now := n.opts.Clock.Now()
	n.mu.Lock()
	n.heardAt[p.Address] = now
	n.mu.Unlock()
	n.opts.Tracker.Heard(now, catchup.Configuration, p.Address, p.Configuration)
	n.opts.Tracker.Heard(now, catchup.Targets, p.Address, p.Targets)
	if p.Reads {
		n.opts.Tracker.Confirmed(now)
	}
}
