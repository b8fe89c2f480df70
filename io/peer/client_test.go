package peer_test

import (
	"context"
	"flag"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
	"gorseline/io/peer"
)

// echo replies to each call with content that proves that the request arrived complete.
type echo struct{ unblockDigest chan struct{} }

var _ peer.Server = echo{}

func (e echo) Probe(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

func (e echo) IndirectProbe(_ context.Context, m membership.Message) (membership.Message, error) {
	m.Reached = true
	return m, nil
}

func (e echo) Digest(ctx context.Context, m membership.Message) (membership.Message, error) {
	select {
	case <-e.unblockDigest:
	case <-ctx.Done():
	}
	return m, ctx.Err()
}

func (e echo) Push(_ context.Context, p propagation.Push) (propagation.PushReply, error) {
	return propagation.PushReply{Applied: p.Updates[0].Revision}, nil
}

func (e echo) Pull(_ context.Context, p propagation.Pull) (propagation.PullReply, error) {
	return propagation.PullReply{Updates: []configuration.Update{{From: p.Applied, Revision: p.Applied + 1}}}, nil
}

func (e echo) Status(context.Context, propagation.StatusRequest) (propagation.StatusReply, error) {
	return propagation.StatusReply{Applied: map[core.InstanceID]core.Revision{"i": 4}}, nil
}

// Guards against messages that change when they pass through Connect and the codec, and
// against a call to a silent peer that does not return by its deadline.
func TestCallsOverLoopback(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := echo{unblockDigest: make(chan struct{})}
	server := peer.NewHTTPServer(peer.NewHandler(e))
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client, err := peer.NewClient(peer.ClientOptions{})
	if err != nil {
		t.Fatal(err)
	}
	address, ctx := listener.Addr().String(), t.Context()
	sent := membership.Message{
		From: membership.Record{ID: "i", Address: "a", DataCentre: "d", Status: membership.StatusLeaving, Incarnation: 3}, Applied: 9,
		Updates: []membership.Record{{DataCentre: "x", Status: membership.StatusDead}}, Hashes: map[core.DataCentre]uint64{"d": 1 << 63},
	}
	got, err := client.Probe(ctx, address, sent)
	if diff := cmp.Diff(sent, got); err != nil || diff != "" {
		t.Errorf("probe: %v %s", err, diff)
	}
	if got, err = client.IndirectProbe(ctx, address, sent); err != nil || !got.Reached {
		t.Errorf("indirect probe: %+v, %v", got, err)
	}
	push, err := client.Push(ctx, address, propagation.Push{Updates: []configuration.Update{{Revision: 5}}})
	if err != nil || push.Applied != 5 {
		t.Errorf("push: %+v, %v", push, err)
	}
	pull, err := client.Pull(ctx, address, propagation.Pull{Applied: 6})
	if err != nil || len(pull.Updates) != 1 || pull.Updates[0].Revision != 7 {
		t.Errorf("pull: %+v, %v", pull, err)
	}
	if status, err := client.Status(ctx, address, propagation.StatusRequest{}); err != nil || status.Applied["i"] != 4 {
		t.Errorf("status: %+v, %v", status, err)
	}
	bounded, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	if _, err := client.Digest(bounded, address, sent); err == nil {
		t.Error("a call to a silent peer returned no error")
	}
	close(e.unblockDigest)
}

// silentProxy forwards connections to an address. Once silence is closed, it discards the data
// of all connections that were opened before.
type silentProxy struct {
	net.Listener
	silence chan struct{}
}

func (p *silentProxy) serve(to string) {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			in.Close()
			continue
		}
		silence := p.silence
		select {
		case <-silence:
			silence = nil
		default:
		}
		go forward(in, out, silence)
		go forward(out, in, silence)
	}
}

func forward(from, to net.Conn, silence chan struct{}) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silence:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against a peer that stays unreachable because the client keeps using a silent
// connection although new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewHTTPServer(peer.NewHandler(echo{}))
	go func() { _ = server.Serve(target) }()
	defer server.Close()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer front.Close()
	silence := make(chan struct{})
	proxy := &silentProxy{front, silence}
	go proxy.serve(target.Addr().String())
	client, err := peer.NewClient(peer.ClientOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	probe := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := client.Probe(ctx, front.Addr().String(), membership.Message{})
		return err
	}
	if err := probe(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	close(silence)
	if err := probe(50 * time.Millisecond); err == nil {
		t.Fatal("a call over a silent connection returned no error")
	}
	if err := probe(5 * time.Second); err != nil {
		t.Errorf("call after the silent connection was replaced: %v", err)
	}
}

// Guards against a codec that changes updates, which would put different configurations in
// force under the same revision.
func TestCodecRoundTrip(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.Custom(func(t *rapid.T) configuration.Document {
			return configuration.Document{
				Section: configuration.SectionPolicies, Name: rapid.String().Draw(t, "name"),
				Value: []byte(rapid.StringMatching(`\{"[a-z]+":[0-9]{1,5}\}`).Draw(t, "value")),
			}
		})
		sent := propagation.Push{Before: rapid.Uint64().Draw(t, "before"), Updates: []configuration.Update{{
			From: 1, Revision: 2, PresetInForce: rapid.String().Draw(t, "preset"),
			Documents: rapid.SliceOfN(document, 1, 5).Draw(t, "documents"),
		}}}
		data, err := peer.Codec{}.Marshal(&sent)
		if err != nil {
			t.Fatal(err)
		}
		var got propagation.Push
		if err := (peer.Codec{}).Unmarshal(data, &got); err != nil || !cmp.Equal(sent, got) {
			t.Fatalf("%v: %s", err, cmp.Diff(sent, got))
		}
	})
}

// orderLog records the orders that an instance is asked to deliver.
type orderLog struct{ orders []core.Order }

func (l *orderLog) Order(_ context.Context, _ string, o core.Order) core.OrderResult {
	l.orders = append(l.orders, o)
	return core.OrderStale
}

// Guards against an order that loses its fencing token or shard when it is forwarded, and
// against a missing reply that is taken for a delivery.
func TestForwardKeepsAllOrderFields(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	orders := &orderLog{}
	server := peer.NewHTTPServer(peer.NewForwardHandler(orders))
	go func() { _ = server.Serve(listener) }()
	client, err := peer.NewClient(peer.ClientOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	order := core.Order{
		Target: "e1", Shard: 3, Role: core.RoleDecode, Model: "m", WeightsVersion: "v7", Fence: 9, Sequence: 4, Attempt: "a",
	}
	address := listener.Addr().String()
	if got := client.Forward(t.Context(), address, "10.0.0.1:1", order); got != core.OrderStale {
		t.Errorf("result %v", got)
	}
	if diff := cmp.Diff([]core.Order{order}, orders.orders); diff != "" {
		t.Error(diff)
	}
	_ = server.Close()
	if got := client.Forward(t.Context(), address, "10.0.0.1:1", order); got != core.OrderUnknown {
		t.Errorf("result without a reply: %v", got)
	}
}
