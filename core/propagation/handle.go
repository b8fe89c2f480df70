package propagation

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
)

// HandleProbe answers a probe.
func (n *Node) HandleProbe(now core.Instant, m membership.Message) membership.Message {
	n.heard(now, m)
	return n.members.HandleProbe(now, m)
}

// HandleDigest answers a digest.
func (n *Node) HandleDigest(now core.Instant, m membership.Message) membership.Message {
	n.heard(now, m)
	return n.members.HandleDigest(now, m)
}

// HandleIndirectProbe returns the probe to make for another member.
func (n *Node) HandleIndirectProbe(now core.Instant, m membership.Message) Call {
	n.heard(now, m)
	return wrap(now, []membership.Call{n.members.HandleIndirectProbe(now, m)})[0]
}

// AnswerIndirectProbe answers an indirect probe.
func (n *Node) AnswerIndirectProbe(now core.Instant, m membership.Message, reached bool) membership.Message {
	return n.members.AnswerIndirectProbe(now, m, reached)
}

// HandlePush applies pushed updates and returns the calls that pass them on.
func (n *Node) HandlePush(now core.Instant, p Push) (PushReply, []Call) {
	if len(p.Updates) == 0 {
		return PushReply{Applied: n.Applier.Revision()}, nil
	}
	newest := p.Updates[len(p.Updates)-1].Revision
	n.apply(p.Updates)
	n.applied[p.From.ID] = max(n.applied[p.From.ID], newest)
	n.knows(now, p.From, newest, newest, 0)
	return PushReply{Applied: n.Applier.Revision()}, n.forward(now, p)
}

// HandlePull answers a pull with the updates that the peer lacks.
func (n *Node) HandlePull(p Pull) PullReply {
	for i, u := range n.kept {
		if u.From <= p.Applied && p.Applied < u.Revision {
			return PullReply{Updates: n.kept[i:]}
		}
	}
	c := n.Applier.Configuration()
	if c.Revision <= p.Applied {
		return PullReply{}
	}
	full, err := configuration.FullUpdate(c)
	if err != nil {
		return PullReply{}
	}
	return PullReply{Updates: []configuration.Update{full}}
}

// apply applies updates in order and keeps them for pulls.
func (n *Node) apply(updates []configuration.Update) {
	for _, u := range updates {
		if n.Applier.Apply(u) != configuration.ApplyDone {
			continue
		}
		if len(u.Documents) > keptDocuments {
			n.kept = nil
			continue
		}
		if len(n.kept) > 0 && n.kept[len(n.kept)-1].Revision < u.From {
			n.kept = nil
		}
		if len(n.kept) == keptUpdates {
			n.kept = append([]configuration.Update(nil), n.kept[1:]...)
		}
		n.kept = append(n.kept, u)
	}
}

// leaf is a member with its key in the tree of a revision.
type leaf struct {
	membership.Record
	key uint64
}

// leaves returns the members of a push's range in the order of their keys.
func (n *Node) leaves(p Push) []leaf {
	var d xxhash.Digest
	revision := binary.LittleEndian.AppendUint64(nil, uint64(p.Updates[len(p.Updates)-1].Revision))
	var list []leaf
	for _, r := range n.members.Peers() {
		d.Reset()
		_, _ = d.WriteString(string(r.ID))
		_, _ = d.Write(revision)
		if key := d.Sum64(); key > p.After && (p.Before == 0 || key < p.Before) {
			list = append(list, leaf{r, key})
		}
	}
	slices.SortFunc(list, func(a, b leaf) int { return cmp.Compare(a.key, b.key) })
	return list
}

// forward splits the range of a push into parts and sends each to its first
// member.
func (n *Node) forward(now core.Instant, p Push) []Call {
	list := n.leaves(p)
	var calls []Call
	parts := min(fanOut, len(list))
	for i := range parts {
		first, last := i*len(list)/parts, (i+1)*len(list)/parts
		push := Push{From: n.members.Self(), Updates: p.Updates, Before: p.Before}
		if i < parts-1 {
			push.Before = list[last].key
		}
		part := list[first:last]
		calls = append(calls, pushTo(now, push, part[:min(pushTries, len(part))]))
	}
	return calls
}

func pushTo(now core.Instant, push Push, candidates []leaf) Call {
	push.After = candidates[0].key
	return Call{Kind: CallPush, To: candidates[0].Record, Timeout: pushTimeout, Push: push, others: candidates[1:], began: now}
}

func (n *Node) pull(now core.Instant, from membership.Record) Call {
	request := Pull{From: n.members.Self(), Applied: n.Applier.Revision()}
	return Call{Kind: CallPull, To: from, Timeout: pullTimeout, Pull: request, began: now}
}
