package peer

import (
	"context"
	"sync"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
)

// Probe answers a probe.
func (m *Member) Probe(_ context.Context, message membership.Message) (membership.Message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandleProbe(m.options.Clock.Now(), message), nil
}

// Digest answers a digest.
func (m *Member) Digest(_ context.Context, message membership.Message) (membership.Message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandleDigest(m.options.Clock.Now(), message), nil
}

// IndirectProbe probes another member for a peer.
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
	m.node.Done(now, call, result)
	return m.node.AnswerIndirectProbe(now, message, result.Err == nil), nil
}

// Push applies pushed updates and passes them on.
func (m *Member) Push(_ context.Context, p propagation.Push) (propagation.PushReply, error) {
	var reply propagation.PushReply
	m.act(func(n *propagation.Node, now core.Instant) (calls []propagation.Call) {
		reply, calls = n.HandlePush(now, p)
		return calls
	})
	return reply, nil
}

// Pull answers with the updates that a peer lacks.
func (m *Member) Pull(_ context.Context, p propagation.Pull) (propagation.PullReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.HandlePull(p), nil
}

// Status answers which revisions are in force here or in this data centre.
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

// Ready reports whether new work may be taken, and why not.
func (m *Member) Ready() configuration.Readiness { return m.isolation.Ready(m.options.Clock.Now()) }

// RefusedCalls returns how many calls failed because too many were under way.
func (m *Member) RefusedCalls() uint64 { return m.refused.Load() }

// Addresses returns addresses for a caller in a data centre.
func (m *Member) Addresses(caller core.DataCentre) membership.Addresses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members().Addresses(m.rng, caller)
}

// Members returns the members that are not dropped.
func (m *Member) Members() []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members().Members()
}

// Leave announces that this instance leaves. It goes on answering peers.
func (m *Member) Leave() {
	m.act((*propagation.Node).Leave)
}

// Propose proposes a change and spreads it at once when it is accepted.
func (m *Member) Propose(ctx context.Context, seen core.Revision, change configuration.Change) configuration.Proposal {
	p := m.options.Store.Propose(ctx, seen, change)
	if p.Kind == configuration.ProposalAccepted {
		m.act((*propagation.Node).Accepted)
	}
	return p
}

// InForceOn tells where a revision is in force. It asks the readers of all data
// centres, and then directly the members that those have not heard from yet.
// Members that do not answer count as missing.
func (m *Member) InForceOn(ctx context.Context, revision core.Revision) propagation.InForceOn {
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
	return m.node.InForceOn(revision, replies)
}

// statuses asks members at the same time, a bounded number at once.
func (m *Member) statuses(ctx context.Context, members []membership.Record, request propagation.StatusRequest) []propagation.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	replies := make([]propagation.StatusReply, len(members))
	slots := make(chan struct{}, statusCalls)
	var calls sync.WaitGroup
	for i, r := range members {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			reply, err := m.options.Transport.Status(ctx, r.Address, request)
			if err != nil {
				m.options.Log.WithError(err).WithField("instance", r.ID).Warn("propagation: status not read")
				return
			}
			replies[i] = reply
		})
	}
	calls.Wait()
	return replies
}
