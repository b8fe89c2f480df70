package propagation

import (
	"gorseline/core"
	"gorseline/core/configuration"
)

// Done takes in the outcome of a call and returns further calls.
func (n *Node) Done(now core.Instant, call Call, result Result) []Call {
	switch call.Kind {
	case CallMember:
		return n.memberDone(now, call, result)
	case CallPush:
		return n.pushDone(now, call, result)
	case CallPull:
		n.fetching = false
		if result.Err != nil || len(result.Pull.Updates) == 0 {
			n.ahead = ahead{}
			return nil
		}
		return n.fetched(now, result.Pull.Updates)
	case CallHead:
		n.polling = false
		if result.Err == nil {
			return n.headRead(now, call.began, result.Head)
		}
	case CallUpdates:
		n.fetching = false
		if result.Err == nil {
			return n.fetched(now, result.Updates)
		}
	case CallLoad:
		n.fetching = false
		if result.Err == nil {
			return n.loaded(now, result.Configuration)
		}
	}
	return nil
}

func (n *Node) memberDone(now core.Instant, call Call, result Result) []Call {
	if result.Err != nil {
		return wrap(n.members.Failed(now, call.Member))
	}
	n.heard(now, result.Message)
	n.members.Replied(now, call.Member, result.Message)
	return nil
}

// pushDone tries another member of the same part of the tree after a failure.
func (n *Node) pushDone(now core.Instant, call Call, result Result) []Call {
	if result.Err == nil {
		n.applied[call.To.ID] = max(n.applied[call.To.ID], result.Push.Applied)
		n.Isolation.Heard(now, n.head)
		return nil
	}
	if len(call.others) == 0 {
		return nil
	}
	return []Call{pushTo(call.Push, call.others)}
}

// headRead takes in a head poll and reads what is missing.
func (n *Node) headRead(now, began core.Instant, head core.Revision) []Call {
	n.head = max(n.head, head)
	// The head was current at some time after the poll began.
	n.confirmed = max(n.confirmed, began)
	applied := n.Applier.Revision()
	n.Isolation.Heard(began, n.head)
	if head <= applied || n.fetching {
		return nil
	}
	if applied > 0 && head-applied <= maxDelta {
		n.fetching = true
		return []Call{{Kind: CallUpdates, Timeout: storeTimeout, After: applied, Until: head}}
	}
	// A whole configuration is read from a peer where possible. Only readers, and
	// others after some time, load it from the store.
	if n.ahead.revision > applied {
		n.fetching = true
		return []Call{n.pull(n.ahead.peer)}
	}
	if !n.IsReader() && now < n.loadAfter {
		n.nextPoll = n.loadAfter
		return nil
	}
	n.fetching = true
	return []Call{{Kind: CallLoad, Timeout: storeTimeout}}
}

// fetched applies updates that this node read itself. A reader passes them on.
func (n *Node) fetched(now core.Instant, updates []configuration.Update) []Call {
	before := n.Applier.Revision()
	n.apply(updates)
	after := n.Applier.Revision()
	n.Isolation.Heard(now, n.head)
	if after == before {
		n.ahead = ahead{}
		return nil
	}
	if !n.IsReader() && !n.pushNext {
		return nil
	}
	n.pushNext = false
	return n.forward(Push{Updates: updates})
}

func (n *Node) loaded(now core.Instant, c core.Configuration) []Call {
	n.Applier.ApplyConfiguration(c)
	n.kept = nil
	n.Isolation.Heard(now, n.head)
	return nil
}
