package digest

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/membership"
)

// Announce sends the versions of this instance to all peers of its cell and to listed
// instances of its data centre that are not members yet.
func (n *Node) Announce() {
	p := n.peers.Load()
	n.announceTo(p.inCell, p.unjoined)
}

func (n *Node) announceTo(lists ...[]netip.AddrPort) {
	n.send(&packet{Kind: packetVersions, SharesSummaries: true, TrueTimeMs: n.trueTimeMs()}, udpAddresses(slices.Concat(lists...))...)
}

// announceInterval is the time between two announcements, which serve as heartbeats and
// carry the versions of the sender. Followers that receive none from a reader for
// catchup.ReaderTimeout read the platform themselves.
const announceInterval = 400 * time.Millisecond

func (n *Node) loopAnnounce(ctx context.Context) {
	round := 0
	pause.Every(ctx, announceInterval, func() {
		p := n.peers.Load()
		n.opts.Catchup.SetFollower(!p.isReader)
		n.announceTo(p.announcedIn(round), p.unjoined)
		round++
	})
}

// stamp adds the address, sender and versions of this instance to a packet.
func (n *Node) stamp(p *packet) {
	// The age is read first. A version that comes into force in between is then stated as older than
	// it is, and never an old one as confirmed by the reads of a new one.
	p.ConfigurationAgeMs = n.configurationAgeMs()
	p.Configuration, p.Targets = n.opts.Catchup.Versions()
	p.Address, p.Sender = n.opts.Self.Address, n.opts.Sender
	now := n.opts.Clock.Now()
	if p.HasRecentReads = n.opts.Catchup.HasRecentReads(now); p.HasRecentReads {
		p.ReadAgeMs = uint32(n.opts.Catchup.ReadAge(now)/time.Millisecond) + 1
	}
	p.Unreached = n.unreached()
}

// maxStatedAge bounds the ages of confirmations that are stated. Older ones confirm nothing at any bound of
// operators.
const maxStatedAge = time.Minute

// configurationAgeMs returns how long ago the configuration was known to be the newest, or 0.
func (n *Node) configurationAgeMs() uint32 {
	if n.opts.Currency == nil {
		return 0
	}
	age, ok := n.opts.Currency.Age()
	if !ok || age > maxStatedAge {
		return 0
	}
	return uint32(max(0, age)/time.Millisecond) + 1
}

// peerState holds the latest contact with a peer.
type peerState struct {
	lastHeard core.Instant
	// sender identifies the process at the address of the peer.
	sender uint32
	// isSynced is set once the peer has announced itself and the outstanding work of this
	// instance was sent to it.
	isSynced bool
	// sharesWork is set once the peer has reported work.
	sharesWork bool
	// sharesSummaries is set if the peer takes summaries of loads.
	sharesSummaries bool
	// unreached holds hashes of the services that the peer doesn't reach.
	unreached []uint64
}

// detectOwnPause marks all peers as not synced after a pause of this process that was long
// enough for them to remove its work. The lock must be held.
func (n *Node) detectOwnPause(now core.Instant) {
	paused := now.Sub(n.lastTick)
	isFirst := n.lastTick == 0
	n.lastTick = now
	if isFirst || paused < n.peers.Load().peerTimeout() {
		return
	}
	n.opts.Log.WithField("PauseMs", paused.Milliseconds()).Warn("OwnPauseNoticed")
	for address, state := range n.peerStates {
		state.isSynced = false
		n.peerStates[address] = state
	}
}

// removeSilentPeers removes peers that sent no datagram for the peer timeout. It also removes
// the work of those of this instance's cell, because reports of its end may have been missed.
// The work of peers in other cells stays: they send no announcements to this instance. The lock
// must be held.
func (n *Node) removeSilentPeers(now core.Instant) {
	timeout := n.peers.Load().peerTimeout()
	maps.DeleteFunc(n.peerStates, func(address string, state peerState) bool {
		if now.Sub(state.lastHeard) < timeout {
			return false
		}
		if state.isSynced || state.sharesWork {
			n.opts.Log.WithFields(log.Fields{"Peer": address, "Sender": state.sender}).Info("PeerSilent")
			n.opts.Loads.RemoveSender(state.sender)
		}
		return true
	})
}

// observeSender updates the state and versions of the peer that sent p. It removes the work
// of an earlier process at the same address. If p is the announcement of a peer that is not
// synced, it sends the outstanding work of this instance to that peer.
func (n *Node) observeSender(p *packet) {
	if p.Address == "" {
		return
	}
	now := n.opts.Clock.Now()
	n.mu.Lock()
	before := n.peerStates[p.Address]
	isNew := before.sender != p.Sender
	// Announcements come only from this instance's cell, within which loads are shared.
	needsSync := p.Kind == packetVersions && (isNew || !before.isSynced)
	n.peerStates[p.Address] = peerState{
		lastHeard: now, sender: p.Sender, isSynced: needsSync || before.isSynced && !isNew, sharesWork: before.sharesWork && !isNew,
		sharesSummaries: p.SharesSummaries || before.sharesSummaries && !isNew, unreached: p.Unreached,
	}
	n.mu.Unlock()
	if isNew {
		n.opts.Loads.RemoveSender(before.sender)
	}
	if needsSync {
		if peers := n.peers.Load(); peers.needsEvents(p.Address) {
			n.opts.Log.WithFields(log.Fields{"Peer": p.Address, "Sender": p.Sender}).Info("PeerToldOutstandingWork")
			n.sendOutstanding(p.Address, peers)
		}
		n.streams.sendRelayed(p.Address)
		n.evidence.sendTo(p.Address)
		n.limits.sendTo(p.Address)
	}
	n.opts.Catchup.ObservePeerVersion(now, catchup.Configuration, p.Address, p.Configuration)
	n.opts.Catchup.ObservePeerVersion(now, catchup.Targets, p.Address, p.Targets)
	n.observeTime(p)
	if n.opts.Currency != nil {
		n.opts.Currency.ObservePeer(p.Configuration, time.Duration(p.ConfigurationAgeMs)*time.Millisecond, p.ConfigurationAgeMs > 0)
	}
	if p.HasRecentReads {
		n.opts.Catchup.ObserveReader(now)
		n.opts.Catchup.ObserveReaderVersions(now, time.Duration(p.ReadAgeMs)*time.Millisecond, p.Configuration, p.Targets)
	}
}

// minPeerTimeout is the peer timeout in a cell in which each announcement goes to all peers.
const minPeerTimeout = 4 * announceInterval

// observeWork records that a peer of this instance's cell has reported work. Its announcements may
// have been lost, and its work must be removed when it falls silent.
func (n *Node) observeWork(from net.Addr, sender uint32) {
	if !n.peers.Load().inCellAddress(from) {
		return
	}
	address, now := from.String(), n.opts.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	state, ok := n.peerStates[address]
	if ok && state.sender != sender {
		return // the end of an earlier process, or the announcement of a new one, is not known yet
	}
	state.lastHeard, state.sender, state.sharesWork = now, sender, true
	n.peerStates[address] = state
}

// CallerAddresses returns the addresses of instances for a caller in the data centre dc. It
// leaves out peers of this instance's cell that sent no datagram for the peer timeout.
func (n *Node) CallerAddresses(dc core.DataCentre) []string {
	cells := n.Cells()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	return n.members.CallerAddresses(n.rng, dc, func(r membership.Record) bool { return !n.isSilent(now, cells, &r) })
}

// isSilent reports whether a peer of this instance's cell has sent no datagram for the peer timeout. Peers
// of other cells send no announcements to this instance. The lock must be held.
func (n *Node) isSilent(now core.Instant, cells *load.Cells, r *membership.Record) bool {
	if r.ID == n.opts.Self.ID || !cells.IsFleetWide && r.DataCentre != cells.Home {
		return false
	}
	state, ok := n.peerStates[r.Address]
	return !ok || now.Sub(state.lastHeard) >= n.peers.Load().peerTimeout()
}
