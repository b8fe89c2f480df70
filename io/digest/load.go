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

// Sent tells peers that work was sent to a target.
func (n *Node) Sent(item load.Item) { n.queue(sentEvent(item)) }

// Computed tells peers that a target has computed the prompt of an item.
func (n *Node) Computed(ref load.Ref) {
	n.queue(event{Operation: opComputed, Target: ref.Target, Serial: ref.Key.Serial, cell: ref.Cell})
}

// Finished tells peers that work has ended.
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

// Dropped returns the number of load events that were not sent to peers.
func (n *Node) Dropped() uint64 { return n.dropped.Load() }

// loopEvents sends digests. Events that come together share a datagram.
func (n *Node) loopEvents(ctx context.Context) {
	batch := make([]event, 0, 2*eventsPerPacket)
	var repeats []event
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			batch = n.collect(append(batch[:0], e))
			n.share(batch, repeats)
			// An end that was lost would count as work for long, so it is told twice.
			repeats = ends(repeats[:0], batch)
			if len(batch) < eventsPerPacket {
				pause.For(ctx, batchInterval)
			}
		}
	}
}

// share sends events to the peers of the own cell, and those about targets of other cells
// also to the instances there.
func (n *Node) share(batch, repeats []event) {
	p := n.peers.Load()
	n.shareWith(p.near, batch, repeats)
	var done []core.DataCentre
	for i := range batch {
		cell := batch[i].cell
		if p.cells.IsFleetWide || cell == "" || cell == p.cells.Home || slices.Contains(done, cell) {
			continue
		}
		done = append(done, cell)
		n.shareWith(p.far[cell], eventsOf(batch, cell), eventsOf(repeats, cell))
	}
}

func eventsOf(events []event, cell core.DataCentre) []event {
	var of []event
	for _, e := range events {
		if e.cell == cell {
			of = append(of, e)
		}
	}
	return of
}

func (n *Node) shareWith(to []netip.AddrPort, events, repeats []event) {
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

// encode returns a digest of events and, as far as they fit, of repeated ones.
func (n *Node) encode(events, repeats []event) ([]byte, error) {
	p := &packet{Kind: packetLoad, Sender: n.opts.Sender, Events: append(events, repeats...)}
	data, err := cbor.Marshal(p)
	if err == nil && len(data) > maximumPacket {
		p.Events = events
		data, err = cbor.Marshal(p)
	}
	return data, errors.Wrap(err, "encode digest")
}

// ends appends the ends of work among events to into.
func ends(into, events []event) []event {
	for _, e := range events {
		if e.Operation == opFinished {
			into = append(into, e)
		}
	}
	return into
}

// collect adds the events that wait, as far as they fit.
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

// shareAll tells a peer all outstanding work of this instance, in the order of packets:
// one that has just started, or that missed digests while it was frozen or cut off.
func (n *Node) shareAll(to string) {
	var events []event
	for _, o := range n.opts.Loads.Outstanding(n.opts.Sender) {
		events = append(events, sentEvent(o.Item))
		if o.IsComputed {
			events = append(events, event{Operation: opComputed, Target: o.Target, Serial: o.Key.Serial})
		}
	}
	var packets []addressed
	for part := range slices.Chunk(events, eventsPerPacket) {
		packets = append(packets, addressed{to, packet{Kind: packetLoad, Events: part, IsAfresh: len(packets) == 0}})
	}
	n.sendAll(packets)
}

// load takes in the digest of a peer.
func (n *Node) load(p *packet) {
	now := n.opts.Clock.Now()
	if p.IsAfresh {
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
