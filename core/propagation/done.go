package propagation

import (
	"gorseline/core"
	"gorseline/core/configuration"
)

// HandleResult takes in the outcome of a call and returns further calls.
func (n *Node) HandleResult(now core.Instant, call Call, result Result) []Call {
	calls := n.done(now, call, result)
	if result.Err == nil {
		// A contact is as old as its call. Requests of peers and the receipt of
		// replies are not: they may have waited while this process was paused.
		n.Isolation.RecordContact(call.began, n.head)
	}
	return calls
}

func (n *Node) done(now core.Instant, call Call, result Result) []Call {
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
			n.loaded(result.Configuration)
		}
	}
	return nil
}

func (n *Node) memberDone(now core.Instant, call Call, result Result) []Call {
	if result.Err != nil {
		return wrap(now, n.members.HandleFailure(now, call.Member))
	}
	result.Message.From.Address, result.Message.From.DataCentre = call.To.Address, call.To.DataCentre
	n.heard(now, result.Message)
	n.members.HandleReply(now, call.Member, result.Message)
	return nil
}

// pushDone tries another member of the same part of the tree after a failure.
func (n *Node) pushDone(now core.Instant, call Call, result Result) []Call {
	if result.Err == nil {
		n.applied[call.To.ID] = max(n.applied[call.To.ID], result.Push.Applied)
		return nil
	}
	if len(call.others) == 0 {
		return nil
	}
	return []Call{pushTo(now, call.Push, call.others)}
}

// headRead takes in a head poll and reads what is missing.
func (n *Node) headRead(now, began core.Instant, head core.Revision) []Call {
	n.head = max(n.head, head)
	// The head was current at some time after the poll began.
	n.confirmed = max(n.confirmed, began)
	applied := n.Applier.Revision()
	if head <= applied || n.fetching {
		return nil
	}
	if applied > 0 && head-applied <= maxDelta {
		n.fetching = true
		return []Call{{Kind: CallUpdates, Timeout: storeTimeout, After: applied, Until: head, began: now}}
	}
	// A whole configuration is read from a peer where possible. Without one, an
	// instance loads it from the store when its time has come.
	if n.ahead.revision > applied {
		n.fetching = true
		return []Call{n.pull(now, n.ahead.peer)}
	}
	loadAfter := n.loadAfter
	if !n.IsReader() {
		loadAfter = loadAfter.Add(loadJitter)
	}
	if now < loadAfter && len(n.members.Members()) > 1 {
		n.nextPoll = min(n.nextPoll, loadAfter)
		return nil
	}
	n.fetching = true
	return []Call{{Kind: CallLoad, Timeout: storeTimeout, began: now}}
}

// fetched applies updates that this node read itself. A reader passes them on.
func (n *Node) fetched(now core.Instant, updates []configuration.Update) []Call {
	before := n.Applier.Revision()
	n.apply(updates)
	after := n.Applier.Revision()
	if after == before {
		n.ahead = ahead{}
		return nil
	}
	// A whole configuration is only for this node: the others are as far as they
	// were, and pull what they lack.
	if updates[0].IsFull() || !n.IsReader() && !n.pushNext {
		return nil
	}
	n.pushNext = false
	return n.forward(now, Push{Updates: updates})
}

func (n *Node) loaded(c core.Configuration) {
	n.Applier.ApplyConfiguration(c)
	n.kept = nil
}
