package propagation

import (
	"gorseline/core"
	"gorseline/core/configuration"
)

// HandleResult processes the outcome of a call and returns follow-up calls.
func (n *Node) HandleResult(now core.Instant, call Call, result Result) []Call {
	calls := n.handleResult(now, call, result)
	if result.Err == nil {
		// The contact is dated to the start of the call. Requests of peers do not count
		// as contacts, and neither does the time at which a reply is read: both may have
		// been queued while this process was paused.
		n.Isolation.RecordContact(call.startedAt, n.head)
	}
	return calls
}

func (n *Node) handleResult(now core.Instant, call Call, result Result) []Call {
	switch call.Kind {
	case CallMember:
		return n.membershipDone(now, call, result)
	case CallPush:
		return n.pushDone(now, call, result)
	case CallPull:
		n.fetching = false
		if result.Err != nil || len(result.Pull.Updates) == 0 {
			n.newer = newerPeer{}
			return nil
		}
		return n.updatesDone(now, result.Pull.Updates)
	case CallHead:
		n.polling = false
		if result.Err == nil {
			return n.headDone(now, call.startedAt, result.Head)
		}
	case CallUpdates:
		n.fetching = false
		if result.Err == nil {
			return n.updatesDone(now, result.Updates)
		}
	case CallLoad:
		n.fetching = false
		if result.Err == nil {
			n.loadDone(result.Configuration)
		}
	}
	return nil
}

func (n *Node) membershipDone(now core.Instant, call Call, result Result) []Call {
	if result.Err != nil {
		return membershipCalls(now, n.members.HandleFailure(now, call.Member))
	}
	result.Message.From.Address, result.Message.From.DataCentre = call.To.Address, call.To.DataCentre
	n.receive(now, result.Message)
	n.members.HandleReply(now, call.Member, result.Message)
	return nil
}

// pushDone retries a failed push with another member of the same subtree.
func (n *Node) pushDone(now core.Instant, call Call, result Result) []Call {
	if result.Err == nil {
		n.appliedBy[call.To.ID] = max(n.appliedBy[call.To.ID], result.Push.Applied)
		return nil
	}
	if len(call.fallbacks) == 0 {
		return nil
	}
	return []Call{pushTo(now, call.Push, call.fallbacks)}
}

// headDone processes the reply to a head poll and requests the missing revisions.
func (n *Node) headDone(now, startedAt core.Instant, head core.Revision) []Call {
	n.head = max(n.head, head)
	// The head was current at some time after the poll began.
	n.headConfirmedAt = max(n.headConfirmedAt, startedAt)
	applied := n.Applier.Revision()
	if head <= applied || n.fetching {
		return nil
	}
	if applied > 0 && head-applied <= maxDelta {
		n.fetching = true
		return []Call{{Kind: CallUpdates, Timeout: storeTimeout, After: applied, Until: head, startedAt: now}}
	}
	// A whole configuration is pulled from a peer if one is known to have it. Otherwise
	// the instance loads it from the store after a random delay.
	if n.newer.revision > applied {
		n.fetching = true
		return []Call{n.pull(now, n.newer.peer)}
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
	return []Call{{Kind: CallLoad, Timeout: storeTimeout, startedAt: now}}
}

// updatesDone applies updates that this node requested. A reader pushes them to the other
// members.
func (n *Node) updatesDone(now core.Instant, updates []configuration.Update) []Call {
	before := n.Applier.Revision()
	n.applyUpdates(updates)
	after := n.Applier.Revision()
	if after == before {
		n.newer = newerPeer{}
		return nil
	}
	// A full update is not pushed: it only brings this node up to date. Other members pull
	// what they lack.
	if updates[0].IsFull() || !n.IsReader() && !n.pushAfterPoll {
		return nil
	}
	n.pushAfterPoll = false
	return n.forward(now, Push{Updates: updates})
}

func (n *Node) loadDone(c core.Configuration) {
	n.Applier.ApplyConfiguration(c)
	n.recentUpdates = nil
}
