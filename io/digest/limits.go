package digest

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/targetlimit"
)

const (
	// limitQueueLength is the capacity of the queue of facts about limits. Those beyond it reach other
	// instances with the periodic ones.
	limitQueueLength = 256
	// limitBatchInterval is the pause after a batch of facts.
	limitBatchInterval = 20 * time.Millisecond
	// limitsPerPacket keeps a datagram of facts within maxPacketSize.
	limitsPerPacket = 20
	// limitInterval is the time between two datagrams with known facts to limitPeers random peers.
	limitInterval = time.Second
	limitPeers    = 2
)

// limits exchanges the limits that targets state.
type limits struct {
	node  *Node
	known *targetlimit.Limits
	queue chan targetlimit.Fact
	// next is the index of the next fact to send to random peers. Only loop uses it.
	next int
}

func newLimits(n *Node) *limits {
	known := n.opts.Limits
	if known == nil {
		known = targetlimit.New(n.opts.Self.ID)
	}
	return &limits{node: n, known: known, queue: make(chan targetlimit.Fact, limitQueueLength)}
}

// PublishLimit sends a fact of this instance to all others.
func (n *Node) PublishLimit(fact targetlimit.Fact) {
	n.limits.logChange(fact, "Answer")
	select {
	case n.limits.queue <- fact:
	default:
	}
}

func (l *limits) logChange(fact targetlimit.Fact, source string) {
	state, _ := l.known.State(fact.Target)
	l.node.opts.Log.WithFields(log.Fields{
		"Target": fact.Target, "Started": fact.Started, "Rate": fact.Rate, "Over": fact.IsOver, "Revision": fact.Revision,
		"Share": state.Share, "Rank": state.Rank, "Source": source,
	}).Warn("TargetLimitChanged")
}

// setPeers passes on the other live instances.
func (l *limits) setPeers(peers []peer) {
	ids := make([]core.InstanceID, len(peers))
	for i, p := range peers {
		ids[i] = p.id
	}
	l.known.SetPeers(ids)
}

// loop sends new facts to all peers, and some of the known ones to random peers at intervals, so that
// they reach all instances despite lost datagrams, partitions and restarts.
func (l *limits) loop(ctx context.Context) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sendSome()
		case f := <-l.queue:
			l.node.streams.sendAll(&packet{Kind: packetLimits, Limits: l.collect(f)})
			pause.For(ctx, limitBatchInterval)
		}
	}
}

// collect returns a fact with those that are queued after it, as many as fit in a datagram.
func (l *limits) collect(first targetlimit.Fact) []targetlimit.Fact {
	batch := []targetlimit.Fact{first}
	for len(batch) < limitsPerPacket {
		select {
		case f := <-l.queue:
			batch = append(batch, f)
		default:
			return batch
		}
	}
	return batch
}

// sendSome sends the next facts in turn to random peers.
func (l *limits) sendSome() {
	facts, peers := l.known.Facts(l.node.opts.Clock.Now()), l.node.streams.homes.Load().peers
	if len(facts) == 0 || len(peers) == 0 {
		return
	}
	start := l.next % len(facts)
	l.next = start + limitsPerPacket
	p := &packet{Kind: packetLimits, Limits: facts[start:min(len(facts), start+limitsPerPacket)]}
	for range limitPeers {
		l.node.streams.send(p, net.UDPAddrFromAddrPort(peers[rand.IntN(len(peers))].address))
	}
}

// sendTo sends all facts to instances that have started or have missed datagrams.
func (l *limits) sendTo(addresses ...string) {
	to := l.node.streams.known(addresses)
	if len(to) == 0 {
		return
	}
	for chunk := range slices.Chunk(l.known.Facts(l.node.opts.Clock.Now()), limitsPerPacket) {
		l.node.streams.send(&packet{Kind: packetLimits, Limits: chunk}, to...)
	}
}

func (l *limits) handle(p *packet) {
	now := l.node.opts.Clock.Now()
	for _, f := range p.Limits {
		if l.known.Merge(now, f) {
			l.logChange(f, "Peer")
		}
	}
}
