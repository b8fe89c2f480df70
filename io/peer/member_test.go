package peer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
	"gorseline/io/peer"
)

// network is an in-memory network. Calls from or to a partitioned address, or to an unknown
// one, get no reply.
type network struct {
	mu          sync.Mutex
	servers     map[string]peer.Server
	partitioned map[string]bool
}

func (n *network) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

// transport sends calls over the network from one address.
type transport struct {
	*network
	from string
}

var _ peer.Transport = transport{}

func send[Reply any](ctx context.Context, t transport, to string, serve func(peer.Server) (Reply, error)) (Reply, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	server, silent := t.servers[to], t.partitioned[to] || t.partitioned[t.from]
	t.mu.Unlock()
	if silent || server == nil {
		<-ctx.Done()
		var none Reply
		return none, core.ErrUnavailable
	}
	return serve(server)
}

func (t transport) Probe(ctx context.Context, to string, m membership.Message) (membership.Message, error) {
	return send(ctx, t, to, func(s peer.Server) (membership.Message, error) { return s.Probe(ctx, m) })
}

func (t transport) IndirectProbe(ctx context.Context, to string, m membership.Message) (membership.Message, error) {
	return send(ctx, t, to, func(s peer.Server) (membership.Message, error) { return s.IndirectProbe(ctx, m) })
}

func (t transport) Digest(ctx context.Context, to string, m membership.Message) (membership.Message, error) {
	return send(ctx, t, to, func(s peer.Server) (membership.Message, error) { return s.Digest(ctx, m) })
}

func (t transport) Push(ctx context.Context, to string, p propagation.Push) (propagation.PushReply, error) {
	return send(ctx, t, to, func(s peer.Server) (propagation.PushReply, error) { return s.Push(ctx, p) })
}

func (t transport) Pull(ctx context.Context, to string, p propagation.Pull) (propagation.PullReply, error) {
	return send(ctx, t, to, func(s peer.Server) (propagation.PullReply, error) { return s.Pull(ctx, p) })
}

func (t transport) Status(ctx context.Context, to string, r propagation.StatusRequest) (propagation.StatusReply, error) {
	return send(ctx, t, to, func(s peer.Server) (propagation.StatusReply, error) { return s.Status(ctx, r) })
}

type lister []core.ListedInstance

func (l lister) Instances(context.Context) ([]core.ListedInstance, error) { return l, nil }

// recorder counts events by kind.
type recorder struct {
	mu     sync.Mutex
	counts map[core.EventKind]int
}

func (r *recorder) Record(e core.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[e.Kind]++
}

// cluster is a set of running members that share one table.
type cluster struct {
	network *network
	table   *fakeTable
	members []*peer.Member
	events  *recorder
	stop    context.CancelFunc
}

// startCluster starts count members in three data centres.
func startCluster(t *testing.T, count int) *cluster {
	ctx, stop := context.WithCancel(t.Context())
	c := &cluster{network: &network{servers: map[string]peer.Server{}, partitioned: map[string]bool{}}, table: newFakeTable(), events: &recorder{counts: map[core.EventKind]int{}}, stop: stop}
	var instances lister
	for i := range count {
		instances = append(instances, core.ListedInstance{
			ID: core.InstanceID(fmt.Sprintf("i%d", i)), Address: fmt.Sprintf("a%d", i), DataCentre: core.DataCentre(fmt.Sprintf("dc%d", i%3)),
		})
	}
	initial := newStore(c.table, "first").Propose(ctx, 0, configuration.Change{Operation: configuration.Replace{Configuration: initialConfiguration()}, Operator: "first"})
	if initial.Kind != configuration.ProposalAccepted {
		t.Fatalf("%+v", initial)
	}
	for i, l := range instances {
		applier := configuration.NewApplier()
		m := peer.NewMember(peer.MemberOptions{
			Self:      membership.Record{ID: l.ID, Address: l.Address, DataCentre: l.DataCentre},
			Transport: transport{c.network, l.Address}, Store: newStore(c.table, l.Address), Lister: instances,
			Clock: core.NewProcessClock(), Applier: applier, Seed: uint64(i + 1), Log: &log.Logger{Handler: discard.Default}, Recorder: c.events,
		})
		c.network.servers[l.Address] = m
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		go m.Run(ctx)
	}
	return c
}

// close stops the members and waits for them.
func (c *cluster) close() {
	c.stop()
	for _, m := range c.members {
		<-m.Done()
	}
}

func (c *cluster) propose(by int, seen core.Revision, o configuration.Operation) configuration.Proposal {
	return c.members[by].Propose(context.Background(), seen, configuration.Change{Operation: o, Operator: fmt.Sprintf("i%d", by)})
}

// Guards against loops that do not drive the state machines, a change that takes more than
// 2 s to reach 9 instances, a wrong result of RolloutStatus, and an instance that accepts new
// work more than 9 s, the isolation limit, after it was partitioned.
func TestMembersApplyChangesAndDetectIsolation(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 9)
		defer c.close()
		time.Sleep(15 * time.Second)
		p := c.propose(0, 1, configuration.SwitchPreset{Name: "Peak"})
		if p.Kind != configuration.ProposalAccepted {
			t.Fatalf("%+v", p)
		}
		time.Sleep(2 * time.Second)
		for i, m := range c.members {
			if got := m.Configuration().Revision; got != p.Revision || !m.Ready().Ready {
				t.Errorf("member %d: revision %d, %+v", i, got, m.Ready())
			}
		}
		time.Sleep(3 * time.Second)
		if status := c.members[4].RolloutStatus(t.Context(), p.Revision); status.Applied != 9 || status.Total != 9 {
			t.Errorf("rollout status %+v", status)
		}
		c.network.setPartitioned("a3", true)
		c.table.setPartitioned("a3", true)
		time.Sleep(10 * time.Second)
		if c.members[3].Ready().Ready {
			t.Error("ready 10 s after the partition began")
		}
		if got := len(c.members[0].Members()); got != 8 {
			t.Errorf("%d members while one of 9 is partitioned, want 8", got)
		}
		p = c.propose(1, p.Revision, configuration.SwitchPreset{Name: "Ordinary"})
		time.Sleep(3 * time.Second)
		if status := c.members[1].RolloutStatus(t.Context(), p.Revision); status.Applied != 8 {
			t.Errorf("rollout status %+v", status)
		}
		c.network.setPartitioned("a3", false)
		c.table.setPartitioned("a3", false)
		time.Sleep(15 * time.Second)
		if got := c.members[3].Configuration().Revision; got != p.Revision || !c.members[3].Ready().Ready {
			t.Errorf("after the partition: revision %d, %+v", got, c.members[3].Ready())
		}
		c.members[5].Leave()
		time.Sleep(4 * time.Second)
		for _, address := range c.members[0].Addresses("dc2").Addresses {
			if address == "a5" {
				t.Error("Addresses returns a leaving member")
			}
		}
		for kind, minimum := range map[core.EventKind]int{peer.EventRevisionApplied: 9, peer.EventMemberChanged: 9, peer.EventReadinessChanged: 9 + 2} {
			if got := c.events.counts[kind]; got < minimum {
				t.Errorf("%d events %s, want at least %d", got, kind, minimum)
			}
		}
	})
}

// outcome is the result of a proposal that was based on the revision seen.
type outcome struct {
	seen     core.Revision
	accepted bool
	// revision is the accepted revision, or the head returned with a conflict.
	revision core.Revision
}

// headModel is a compare-and-set register: a proposal increments the head if it is based on
// the current one.
var headModel = porcupine.Model{
	Init: func() any { return core.Revision(1) },
	Step: func(state, input, output any) (bool, any) {
		head, seen, out := state.(core.Revision), input.(core.Revision), output.(outcome)
		if out.accepted {
			return head == seen && out.revision == head+1, out.revision
		}
		return head != seen && out.revision <= head, head
	},
}

// Guards against a history of changes that is not linearizable, such as two accepted
// proposals for one revision.
func TestHeadHistoryIsLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 6)
		defer c.close()
		c.table.setLatency(20 * time.Millisecond)
		time.Sleep(10 * time.Second)
		var mu sync.Mutex
		var history []porcupine.Operation
		var operators sync.WaitGroup
		start := time.Now()
		for client := range 6 {
			operators.Go(func() {
				for n := range 20 {
					time.Sleep(time.Duration(client*7+n*3) * time.Millisecond)
					seen := c.members[client].Configuration().Revision
					calledAt := time.Since(start)
					p := c.propose(client, seen, configuration.PutPolicy{Policy: core.PolicyDocument{Name: fmt.Sprintf("p%d", client), Type: fmt.Sprint(n)}})
					out := outcome{seen: seen, accepted: p.Kind == configuration.ProposalAccepted, revision: max(p.Revision, p.Head.Revision)}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: client, Input: seen, Output: out, Call: int64(calledAt), Return: int64(time.Since(start))})
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		if !porcupine.CheckOperations(headModel, history) {
			t.Error("the history of the head is not linearizable")
		}
		accepted := 0
		for _, o := range history {
			if o.Output.(outcome).accepted {
				accepted++
			}
		}
		if accepted == 0 || accepted == len(history) {
			t.Errorf("%d of %d proposals accepted, want some conflicts and some accepted", accepted, len(history))
		}
	})
}
