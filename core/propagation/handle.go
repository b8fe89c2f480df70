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

// HandleProbe returns the reply to a probe.
func (n *Node) HandleProbe(now core.Instant, m membership.Message) membership.Message {
	n.receive(now, m)
	return n.members.HandleProbe(now, m)
}

// HandleDigest returns the reply to a digest.
func (n *Node) HandleDigest(now core.Instant, m membership.Message) membership.Message {
	n.receive(now, m)
	return n.members.HandleDigest(now, m)
}

// HandleIndirectProbe returns the probe to make on behalf of another member.
func (n *Node) HandleIndirectProbe(now core.Instant, m membership.Message) Call {
	n.receive(now, m)
	return membershipCalls(now, []membership.Call{n.members.HandleIndirectProbe(now, m)})[0]
}

// AnswerIndirectProbe returns the reply to an indirect probe.
func (n *Node) AnswerIndirectProbe(now core.Instant, m membership.Message, reached bool) membership.Message {
	return n.members.AnswerIndirectProbe(now, m, reached)
}

// HandlePush applies pushed updates and returns the calls that forward them.
func (n *Node) HandlePush(now core.Instant, p Push) (PushReply, []Call) {
	if len(p.Updates) == 0 {
		return PushReply{Applied: n.Applier.Revision()}, nil
	}
	newest := p.Updates[len(p.Updates)-1].Revision
	n.applyUpdates(p.Updates)
	n.appliedBy[p.From.ID] = max(n.appliedBy[p.From.ID], newest)
	n.observePeer(now, p.From, newest, newest, 0)
	return PushReply{Applied: n.Applier.Revision()}, n.forward(now, p)
}

// HandlePull returns the updates that the peer lacks.
func (n *Node) HandlePull(p Pull) PullReply {
	for i, u := range n.recentUpdates {
		if u.From <= p.Applied && p.Applied < u.Revision {
			return PullReply{Updates: n.recentUpdates[i:]}
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

// applyUpdates applies updates in order and keeps them to answer pulls.
func (n *Node) applyUpdates(updates []configuration.Update) {
	for _, u := range updates {
		if n.Applier.Apply(u) != configuration.ApplyDone {
			continue
		}
		if len(u.Documents) > maxRecentDocuments {
			n.recentUpdates = nil
			continue
		}
		if len(n.recentUpdates) > 0 && n.recentUpdates[len(n.recentUpdates)-1].Revision < u.From {
			n.recentUpdates = nil
		}
		if len(n.recentUpdates) == maxRecentUpdates {
			n.recentUpdates = append([]configuration.Update(nil), n.recentUpdates[1:]...)
		}
		n.recentUpdates = append(n.recentUpdates, u)
	}
}

// treeMember is a member with its key in the push tree of a revision.
type treeMember struct {
	membership.Record
	key uint64
}

// treeMembers returns the members in the range of a push, sorted by key.
func (n *Node) treeMembers(p Push) []treeMember {
	var d xxhash.Digest
	revision := binary.LittleEndian.AppendUint64(nil, uint64(p.Updates[len(p.Updates)-1].Revision))
	var list []treeMember
	for _, r := range n.members.Peers() {
		d.Reset()
		_, _ = d.WriteString(string(r.ID))
		_, _ = d.Write(revision)
		if key := d.Sum64(); key > p.After && (p.Before == 0 || key < p.Before) {
			list = append(list, treeMember{r, key})
		}
	}
	slices.SortFunc(list, func(a, b treeMember) int { return cmp.Compare(a.key, b.key) })
	return list
}

// forward splits the range of a push into subranges and pushes each to its first member.
func (n *Node) forward(now core.Instant, p Push) []Call {
	list := n.treeMembers(p)
	var calls []Call
	parts := min(fanOut, len(list))
	for i := range parts {
		first, last := i*len(list)/parts, (i+1)*len(list)/parts
		push := Push{From: n.members.Self(), Updates: p.Updates, Before: p.Before}
		if i < parts-1 {
			push.Before = list[last].key
		}
		part := list[first:last]
		calls = append(calls, pushTo(now, push, part[:min(maxPushTries, len(part))]))
	}
	return calls
}

func pushTo(now core.Instant, push Push, candidates []treeMember) Call {
	push.After = candidates[0].key
	return Call{Kind: CallPush, To: candidates[0].Record, Timeout: pushTimeout, Push: push, fallbacks: candidates[1:], startedAt: now}
}

func (n *Node) pull(now core.Instant, from membership.Record) Call {
	request := Pull{From: n.members.Self(), Applied: n.Applier.Revision()}
	return Call{Kind: CallPull, To: from, Timeout: pullTimeout, Pull: request, startedAt: now}
}
