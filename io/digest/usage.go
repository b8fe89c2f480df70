package digest

import (
	"net/netip"
	"time"

	"gorseline/core"
)

// TrueTime exchanges with peers what instances take for the true time.
type TrueTime interface {
	// Stated returns the time to state to peers, or zero if it isn't known.
	Stated() time.Time
	// Observe records the time that a process has just stated.
	Observe(sender uint32, stated time.Time)
}

// UsageReceiver receives the counts of requests that other instances send.
type UsageReceiver interface {
	// ReceiveUsage handles the counts of a process.
	ReceiveUsage(sender uint32, data []byte)
}

// SendUsage sends counts to members. Counts for this instance itself are received at once.
func (n *Node) SendUsage(data []byte, members []core.InstanceID) {
	addresses := make([]netip.AddrPort, 0, len(members))
	n.mu.Lock()
	list := n.members.Members()
	n.mu.Unlock()
	for _, id := range members {
		if id == n.opts.Self.ID {
			n.opts.Usage.ReceiveUsage(n.opts.Sender, data)
			continue
		}
		for i := range list {
			if list[i].ID != id {
				continue
			}
			if address, err := netip.ParseAddrPort(list[i].Address); err == nil {
				addresses = append(addresses, address)
			}
		}
	}
	n.send(&packet{Kind: packetUsage, Usage: data}, udpAddresses(addresses)...)
}

// observeTime passes on the time that a peer states in its announcement.
func (n *Node) observeTime(p *packet) {
	if n.opts.TrueTime != nil && p.TrueTimeMs > 0 {
		n.opts.TrueTime.Observe(p.Sender, time.UnixMilli(int64(p.TrueTimeMs)))
	}
}

// trueTimeMs returns the time to state, or 0.
func (n *Node) trueTimeMs() uint64 {
	if n.opts.TrueTime == nil {
		return 0
	}
	stated := n.opts.TrueTime.Stated()
	if stated.IsZero() {
		return 0
	}
	return uint64(stated.UnixMilli())
}
