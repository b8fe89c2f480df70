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

// network is a transport in memory. An address that is absent or cut is silent.
type network struct {
	mu      sync.Mutex
	servers map[string]peer.Server
	cut     map[string]bool
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// transport is the network as seen from one address.
type transport struct {
	*network
	from string
}

var _ peer.Transport = transport{}

func send[Reply any](ctx context.Context, t transport, to string, serve func(peer.Server) (Reply, error)) (Reply, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	server, silent := t.servers[to], t.cut[to] || t.cut[t.from]
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

// rig is a set of running members over one table.
type rig struct {
	network *network
	table   *rows
	members []*peer.Member
	events  *recorder
	stop    context.CancelFunc
}

func startRig(t *testing.T, count int) *rig {
	ctx, stop := context.WithCancel(t.Context())
	r := &rig{network: &network{servers: map[string]peer.Server{}, cut: map[string]bool{}}, table: newRows(), events: &recorder{counts: map[core.EventKind]int{}}, stop: stop}
	var listed lister
	for i := range count {
		listed = append(listed, core.ListedInstance{
			ID: core.InstanceID(fmt.Sprintf("i%d", i)), Address: fmt.Sprintf("a%d", i), DataCentre: core.DataCentre(fmt.Sprintf("dc%d", i%3)),
		})
	}
	first := storeOf(r.table, "first").Propose(ctx, 0, configuration.Change{Operation: configuration.Replace{Configuration: sample()}, Operator: "first"})
	if first.Kind != configuration.ProposalAccepted {
		t.Fatalf("%+v", first)
	}
	for i, l := range listed {
		applier := configuration.NewApplier()
		m := peer.NewMember(peer.MemberOptions{
			Self:      membership.Record{ID: l.ID, Address: l.Address, DataCentre: l.DataCentre},
			Transport: transport{r.network, l.Address}, Store: storeOf(r.table, l.Address), Lister: listed,
			Clock: core.NewProcessClock(), Applier: applier, Seed: uint64(i + 1), Log: &log.Logger{Handler: discard.Default}, Recorder: r.events,
		})
		r.network.servers[l.Address] = m
		r.members = append(r.members, m)
	}
	for _, m := range r.members {
		go m.Run(ctx)
	}
	return r
}

func (r *rig) end() {
	r.stop()
	for _, m := range r.members {
		<-m.Done()
	}
}

func (r *rig) propose(by int, seen core.Revision, o configuration.Operation) configuration.Proposal {
	return r.members[by].Propose(context.Background(), seen, configuration.Change{Operation: o, Operator: fmt.Sprintf("i%d", by)})
}

// Guards against loops that do not drive the state machines, a change that needs
// more than 2 s on 9 instances, a wrong "in force on" answer, and an instance that
// takes new work 9 s after it was cut off.
func TestMembersPutChangesInForceAndIsolate(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		r := startRig(t, 9)
		defer r.end()
		time.Sleep(15 * time.Second)
		p := r.propose(0, 1, configuration.SwitchPreset{Name: "Peak"})
		if p.Kind != configuration.ProposalAccepted {
			t.Fatalf("%+v", p)
		}
		time.Sleep(2 * time.Second)
		for i, m := range r.members {
			if got := m.Configuration().Revision; got != p.Revision || !m.Ready().Ready {
				t.Errorf("member %d: revision %d, %+v", i, got, m.Ready())
			}
		}
		time.Sleep(3 * time.Second)
		if on := r.members[4].InForceOn(t.Context(), p.Revision); on.Applied != 9 || on.Total != 9 {
			t.Errorf("in force on %+v", on)
		}
		r.network.setCut("a3", true)
		r.table.cut("a3", true)
		time.Sleep(10 * time.Second)
		if r.members[3].Ready().Ready {
			t.Error("ready 10 s after it was cut off")
		}
		if got := len(r.members[0].Members()); got != 8 {
			t.Errorf("%d members without the one that was cut off", got)
		}
		p = r.propose(1, p.Revision, configuration.SwitchPreset{Name: "Ordinary"})
		time.Sleep(3 * time.Second)
		if on := r.members[1].InForceOn(t.Context(), p.Revision); on.Applied != 8 {
			t.Errorf("in force on %+v", on)
		}
		r.network.setCut("a3", false)
		r.table.cut("a3", false)
		time.Sleep(15 * time.Second)
		if got := r.members[3].Configuration().Revision; got != p.Revision || !r.members[3].Ready().Ready {
			t.Errorf("after the cut: revision %d, %+v", got, r.members[3].Ready())
		}
		r.members[5].Leave()
		time.Sleep(4 * time.Second)
		for _, address := range r.members[0].Addresses("dc2").Addresses {
			if address == "a5" {
				t.Error("a leaving member is in the answers")
			}
		}
		for kind, least := range map[core.EventKind]int{peer.EventRevisionApplied: 9, peer.EventMemberChanged: 9, peer.EventReadinessChanged: 9 + 2} {
			if got := r.events.counts[kind]; got < least {
				t.Errorf("%d events %s, expected at least %d", got, kind, least)
			}
		}
	})
}

// step is an operation on the head register: a proposal that saw a revision.
type step struct {
	seen     core.Revision
	accepted bool
	// revision is the accepted one, or the one that a conflict showed.
	revision core.Revision
}

// headModel is a register that a proposal advances by one if it saw its value.
var headModel = porcupine.Model{
	Init: func() any { return core.Revision(1) },
	Step: func(state, input, output any) (bool, any) {
		head, seen, out := state.(core.Revision), input.(core.Revision), output.(step)
		if out.accepted {
			return head == seen && out.revision == head+1, out.revision
		}
		return head != seen && out.revision <= head, head
	},
}

// Guards against an order of accepted changes that no single register could have
// produced, such as two winners for one revision.
func TestHeadHistoryIsLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRig(t, 6)
		defer r.end()
		r.table.slow(20 * time.Millisecond)
		time.Sleep(10 * time.Second)
		var mu sync.Mutex
		var history []porcupine.Operation
		var operators sync.WaitGroup
		start := time.Now()
		for client := range 6 {
			operators.Go(func() {
				for n := range 20 {
					time.Sleep(time.Duration(client*7+n*3) * time.Millisecond)
					seen := r.members[client].Configuration().Revision
					began := time.Since(start)
					p := r.propose(client, seen, configuration.PutPolicy{Policy: core.PolicyDocument{Name: fmt.Sprintf("p%d", client), Type: fmt.Sprint(n)}})
					out := step{seen: seen, accepted: p.Kind == configuration.ProposalAccepted, revision: max(p.Revision, p.Head.Revision)}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: client, Input: seen, Output: out, Call: int64(began), Return: int64(time.Since(start))})
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
			if o.Output.(step).accepted {
				accepted++
			}
		}
		if accepted == 0 || accepted == len(history) {
			t.Errorf("%d of %d proposals accepted, so nothing raced", accepted, len(history))
		}
	})
}
