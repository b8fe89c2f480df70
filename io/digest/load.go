package digest

import (
	"context"
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

// sendEvents sends events to the peers of this instance's cell. Events about targets of
// another cell also go to the instances of that cell.
func (n *Node) sendEvents(batch, repeats []event) {
	p := n.peers.Load()
	n.sendEventsTo(p.inCell, batch, repeats)
	var sent []core.DataCentre
	for i := range batch {
		cell := batch[i].cell
		if p.cells.IsFleetWide || cell == "" || cell == p.cells.Home || slices.Contains(sent, cell) {
			continue
		}
		sent = append(sent, cell)
		n.sendEventsTo(p.otherCells[cell], eventsOfCell(batch, cell), eventsOfCell(repeats, cell))
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

// sendAllOutstanding sends all outstanding work of this instance to a peer that has just
// started, or that missed digests while it was suspended or partitioned.
func (n *Node) sendAllOutstanding(to string) {
	var events []event
	for _, o := range n.opts.Loads.Outstanding(n.opts.Sender) {
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

// handleLoad records the load events of a peer.
func (n *Node) handleLoad(p *packet) {
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
