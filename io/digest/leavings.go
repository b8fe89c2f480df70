package digest

import (
	"context"
	"time"

	"github.com/apex/log"

	"gorseline/core"
)

// leavingQueueLength is the capacity of the queue of targets that have stated that they leave. Other
// instances learn of those beyond it from their own answers.
const leavingQueueLength = 64

// leavingTarget is a process of a target that has stated that it leaves.
type leavingTarget struct {
	ID      core.TargetID `cbor:"1,keyasint"`
	Started int64         `cbor:"2,keyasint"`
}

// leavings tells other instances which targets have stated that they leave.
type leavings struct {
	node  *Node
	queue chan leavingTarget
}

func newLeavings(n *Node) *leavings {
	return &leavings{node: n, queue: make(chan leavingTarget, leavingQueueLength)}
}

// PublishLeaving tells all peers that a process of a target has stated that it leaves.
func (n *Node) PublishLeaving(id core.TargetID, started int64) {
	select {
	case n.leavings.queue <- leavingTarget{id, started}:
	default:
	}
}

// loop sends each target twice since datagrams may be lost.
func (l *leavings) loop(ctx context.Context) {
	var sent []leavingTarget
	var repeat <-chan time.Time // nil while nothing is to be repeated
	for {
		select {
		case <-ctx.Done():
			return
		case <-repeat:
			l.send(sent)
			sent, repeat = nil, nil
		case target := <-l.queue:
			l.send([]leavingTarget{target})
			if len(sent) < limitsPerPacket {
				sent = append(sent, target)
			}
			if repeat == nil {
				repeat = time.After(repeatInterval)
			}
		}
	}
}

func (l *leavings) send(targets []leavingTarget) {
	if len(targets) > 0 {
		l.node.streams.sendAll(&packet{Kind: packetLeaving, Leaving: targets})
	}
}

func (l *leavings) handle(p *packet) {
	for _, t := range p.Leaving {
		if l.node.opts.Snapshots.ApplyLeaving(t.ID, t.Started) {
			l.node.opts.Log.WithFields(log.Fields{"Target": t.ID, "Started": t.Started, "Source": "Peer", "Peer": p.Address}).Info("TargetStatesLeaving")
		}
	}
}
