package digest

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/load"
)

// Sent queues an event for peers: work was sent to a target.
func (n *Node) Sent(item load.Item) { n.queue(newSentEvent(item)) }

// Computed queues an event for peers: a target has computed the prompt of an item.
func (n *Node) Computed(ref load.Ref) {
	n.queue(event{Operation: opComputed, Target: ref.Target, Serial: ref.Key.Serial, cell: ref.Cell})
}

// Finished queues an event for peers: work has ended.
func (n *Node) Finished(ref load.Ref) {
	n.queue(event{Operation: opFinished, Target: ref.Target, Serial: ref.Key.Serial, cell: ref.Cell})
}

func (n *Node) queue(e event) {
	select {
	case n.events <- e:
	default:
		n.dropped.Add(1)
	}
}

// DroppedEvents returns the number of load events that were not sent to peers because the
// queue was full.
func (n *Node) DroppedEvents() uint64 { return n.dropped.Load() }

// loopEvents sends digests. Events that are queued within batchInterval share a datagram.
func (n *Node) loopEvents(ctx context.Context) {
	batch := make([]event, 0, 2*eventsPerPacket)
	var repeats []event
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			batch = n.collect(append(batch[:0], e))
			n.sendEvents(batch, repeats)
			// After a lost opFinished, peers keep the work until it expires. Each opFinished is
			// therefore sent twice.
			repeats = appendFinished(repeats[:0], batch)
			if len(batch) < eventsPerPacket {
				pause.For(ctx, batchInterval)
			}
		}
	}
}

// sendEvents sends events to all instances that share loads. In larger fleets these are the
// collectors of the targets' cells.
func (n *Node) sendEvents(batch, repeats []event) {
	p := n.peers.Load()
	if p.cells.IsFleetWide {
		n.sendEventsTo(p.inCell, batch, repeats)
		return
	}
	var sent []core.DataCentre
	for i := range batch {
		cell := batch[i].cell
		if slices.Contains(sent, cell) {
			continue
		}
		sent = append(sent, cell)
		n.sendEventsTo(p.collectorsOf(cell), eventsOfCell(batch, cell), eventsOfCell(repeats, cell))
	}
}

func eventsOfCell(events []event, cell core.DataCentre) []event {
	var selected []event
	for _, e := range events {
		if e.cell == cell {
			selected = append(selected, e)
		}
	}
	return selected
}

func (n *Node) sendEventsTo(to []netip.AddrPort, events, repeats []event) {
	if len(to) == 0 {
		return
	}
	data, err := n.encode(events, repeats)
	if err != nil {
		n.opts.Log.WithError(err).Error("DatagramNotEncoded")
		return
	}
	n.write(data, udpAddresses(to))
}

// encode returns a digest of events and, if all of them fit, of repeated events.
func (n *Node) encode(events, repeats []event) ([]byte, error) {
	p := &packet{Kind: packetLoad, Sender: n.opts.Sender, Events: append(events, repeats...)}
	data, err := cbor.Marshal(p)
	if err == nil && len(data) > maxPacketSize {
		p.Events = events
		data, err = cbor.Marshal(p)
	}
	return data, errors.Wrap(err, "encode digest")
}

// appendFinished appends the opFinished events among events to list.
func appendFinished(list, events []event) []event {
	for _, e := range events {
		if e.Operation == opFinished {
			list = append(list, e)
		}
	}
	return list
}

// collect adds queued events to a batch, up to eventsPerPacket.
func (n *Node) collect(batch []event) []event {
	for len(batch) < eventsPerPacket {
		select {
		case e := <-n.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// sendOutstanding sends the outstanding work of this instance that a peer needs, which has just
// started, or has missed digests while it was suspended or partitioned. In larger fleets only
// collectors need some.
func (n *Node) sendOutstanding(to string, p *peerSet) {
	var events []event
	for _, o := range n.opts.Loads.Outstanding(n.opts.Sender) {
		if !p.needsEventsOf(to, o.Cell) {
			continue
		}
		events = append(events, newSentEvent(o.Item))
		if o.IsComputed {
			events = append(events, event{Operation: opComputed, Target: o.Target, Serial: o.Key.Serial})
		}
	}
	var packets []outgoing
	for part := range slices.Chunk(events, eventsPerPacket) {
		packets = append(packets, outgoing{to, packet{Kind: packetLoad, Events: part, IsFullState: len(packets) == 0}})
	}
	n.sendAll(packets)
}

// handleLoad records the load events or summaries of a peer.
func (n *Node) handleLoad(p *packet, from net.Addr) {
	if len(p.Summaries) > 0 {
		n.loads.handle(p, from)
		return
	}
	n.observeWork(from, p.Sender)
	now := n.opts.Clock.Now()
	if p.IsFullState {
		n.opts.Loads.RemoveSender(p.Sender)
	}
	for i := range p.Events {
		e := &p.Events[i]
		switch e.Operation {
		case opSent:
			n.opts.Loads.Sent(now, e.item(p.Sender))
		case opComputed:
			n.opts.Loads.Computed(now, e.ref(p.Sender))
		case opFinished:
			n.opts.Loads.Finished(now, e.ref(p.Sender))
		}
	}
}
