package peer

import (
	"context"
	"sync"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
)

// Probe replies to a probe.
func (m *Member) Probe(_ context.Context, message membership.Message) (membership.Message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandleProbe(m.options.Clock.Now(), message), nil
}

// Digest replies to a digest.
func (m *Member) Digest(_ context.Context, message membership.Message) (membership.Message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandleDigest(m.options.Clock.Now(), message), nil
}

// IndirectProbe probes another member on behalf of a peer.
func (m *Member) IndirectProbe(ctx context.Context, message membership.Message) (membership.Message, error) {
	m.mu.Lock()
	call := m.node.HandleIndirectProbe(m.options.Clock.Now(), message)
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	result := m.execute(bounded, call)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	m.node.HandleResult(now, call, result)
	return m.node.AnswerIndirectProbe(now, message, result.Err == nil), nil
}

// Push applies pushed updates and forwards them to further peers.
func (m *Member) Push(_ context.Context, p propagation.Push) (propagation.PushReply, error) {
	var reply propagation.PushReply
	m.advance(func(n *propagation.Node, now core.Instant) (calls []propagation.Call) {
		reply, calls = n.HandlePush(now, p)
		return calls
	})
	return reply, nil
}

// Pull returns the updates that a peer lacks.
func (m *Member) Pull(_ context.Context, p propagation.Pull) (propagation.PullReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandlePull(p), nil
}

// Status returns the revision in force on this instance if r.Own is set, and otherwise the
// revisions in force on the members of this data centre.
func (m *Member) Status(_ context.Context, r propagation.StatusRequest) (propagation.StatusReply, error) {
	if r.Own {
		own := map[core.InstanceID]core.Revision{m.options.Self.ID: m.options.Applier.Revision()}
		return propagation.StatusReply{Applied: own}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandleStatus(), nil
}

// Configuration returns the configuration in force.
func (m *Member) Configuration() core.Configuration { return m.options.Applier.Configuration() }

// Ready reports whether this instance may accept new work, and the reason if it may not.
func (m *Member) Ready() configuration.Readiness { return m.isolation.Ready(m.options.Clock.Now()) }

// RefusedCalls returns the number of calls that failed because maxCalls were in flight.
func (m *Member) RefusedCalls() uint64 { return m.refused.Load() }

// Addresses returns addresses of instances for a caller in a data centre.
func (m *Member) Addresses(caller core.DataCentre) membership.Addresses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members().Addresses(m.rng, caller)
}

// Members returns the members that are not removed, including this instance.
func (m *Member) Members() []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members().Members()
}

// Leave announces that this instance leaves. The instance still replies to peers.
func (m *Member) Leave() {
	m.advance((*propagation.Node).Leave)
}

// Propose proposes a change that is based on the revision seen. An accepted change is
// propagated to peers at once.
func (m *Member) Propose(ctx context.Context, seen core.Revision, change configuration.Change) configuration.Proposal {
	p := m.options.Store.Propose(ctx, seen, change)
	if p.Kind == configuration.ProposalAccepted {
		m.advance((*propagation.Node).HandleAcceptedChange)
	}
	return p
}

// RolloutStatus returns on how many members a revision is in force, and which ones lack it. It
// asks the readers of all data centres first, and then the members for which the readers have
// not confirmed the revision. Members that do not reply count as missing.
func (m *Member) RolloutStatus(ctx context.Context, revision core.Revision) propagation.RolloutStatus {
	m.mu.Lock()
	readers := m.node.Readers()
	m.mu.Unlock()
	replies := m.statuses(ctx, readers, propagation.StatusRequest{})
	m.mu.Lock()
	unconfirmed, _ := m.node.Unconfirmed(revision, replies)
	m.mu.Unlock()
	replies = append(replies, m.statuses(ctx, unconfirmed, propagation.StatusRequest{Own: true})...)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.RolloutStatus(revision, replies)
}

// statuses requests the status of members, with at most maxStatusCalls calls at a time. The
// reply of a member that fails to respond is empty.
func (m *Member) statuses(ctx context.Context, members []membership.Record, request propagation.StatusRequest) []propagation.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	replies := make([]propagation.StatusReply, len(members))
	slots := make(chan struct{}, maxStatusCalls)
	var calls sync.WaitGroup
	for i, r := range members {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			reply, err := m.options.Transport.Status(ctx, r.Address, request)
			if err != nil {
				m.options.Log.WithError(err).WithField("instance", r.ID).Warn("propagation: failed to read the status")
				return
			}
			replies[i] = reply
		})
	}
	calls.Wait()
	return replies
}
