package engine_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	client "gorseline/io/engine"
	"gorseline/io/target"
	"gorseline/standin/engine"
	"gorseline/standin/network"
)

// Guards against the reuse of connections that no longer deliver data. When a call
// fails on one, the client discards the idle connections to the same target, and the
// next call succeeds at once.
func TestSilentConnectionsAreDiscarded(t *testing.T) {
	runEngine(t, engine.Options{}, func(t *testing.T, f fixture) {
		ctx := t.Context()
		var open []core.PieceReader
		for range 4 {
			pieces, err := f.client.Complete(ctx, address, completion("p", 4))
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, pieces)
		}
		for _, pieces := range open {
			if _, err := readAll(ctx, t, pieces, 0); err != nil {
				t.Fatal(err)
			}
			pieces.Close()
		}
		f.network.Blackhole(address)
		if _, err := f.client.Load(ctx, address); err == nil {
			t.Fatal("a silent connection answered")
		}
		started := time.Now()
		if _, err := f.client.Load(ctx, address); err != nil || time.Since(started) > 100*time.Millisecond {
			t.Errorf("after the silent connection: %v in %v", err, time.Since(started))
		}
	})
}

// Guards against a second run of a completion that was sent on a silent connection,
// and against a refusal that claims it was not run: the engine may have received it.
func TestSilentCompletionIsNotRepeated(t *testing.T) {
	runCluster(t, 1, 1, func(t *testing.T, c *cluster) {
		c.instances[0].repeatable = false
		var a answer
		if err := c.ask(t.Context(), c.instances[0].address, "club", "p", 4, &a, nil); err != nil {
			t.Fatal(err)
		}
		a.check(t, "p", 4)
		<-c.instances[0].results
		c.network.Blackhole(engineAddress(0))
		var b answer
		if err := c.ask(t.Context(), c.instances[0].address, "club", "q", 4, &b, nil); err != nil {
			t.Fatal(err)
		}
		if b.refusal == nil || b.refusal.NotRun {
			t.Errorf("refusal %+v", b.refusal)
		}
		if got := c.engines[0].Counters().Started; got != 1 {
			t.Errorf("%d completions started, want 1", got)
		}
	})
}

// Guards against an order that a paused or slow process sends after its deadline,
// here because the dial outlasts it: the client must not write it.
func TestOrderIsNotWrittenAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		n, e := network.New(), engine.New(engine.Options{})
		server := &http.Server{Handler: e}
		go server.Serve(n.Listen(address))
		go e.Run(ctx)
		var dialPause atomic.Int64 // in nanoseconds, after each dial
		c := client.NewClient(client.Options{Connections: target.TransportOptions{
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := n.Dial(ctx, network, address)
				time.Sleep(time.Duration(dialPause.Load()))
				return conn, err
			},
		}})
		order := core.Order{Role: core.RoleDecode, Model: "ledger-7b", WeightsVersion: "v1", Fence: 1}
		for _, pause := range []time.Duration{time.Second, 0} {
			dialPause.Store(int64(pause))
			orderCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			got := c.Order(orderCtx, address, order)
			cancel()
			time.Sleep(2 * time.Second)
			want, orders := core.OrderUnknown, 0
			if pause == 0 {
				want, orders = core.OrderAccepted, 1
			}
			if got != want || e.Counters().OrdersAccepted != orders {
				t.Errorf("dial pause %v: %v, %d orders accepted", pause, got, e.Counters().OrdersAccepted)
			}
		}
		stop()
		<-e.Done()
		c.Close()
		server.Close()
	})
}

// Guards against prompt tokens that are computed again although another engine can
// export their KV cache.
func TestKVCacheImport(t *testing.T) {
	runCluster(t, 2, 0, func(t *testing.T, c *cluster) {
		engines := client.NewClient(client.Options{Connections: target.TransportOptions{Dial: c.network.Dial}})
		prompt := engine.Prompt("shared", 640, 640, 1)
		first := completion(prompt, 1)
		first.PrefillOnly = true
		for i, from := range []string{"", engineAddress(0)} {
			first.ImportFrom = from
			pieces, err := engines.Complete(t.Context(), engineAddress(i), first)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAll(t.Context(), t, pieces, 0); err != nil {
				t.Fatal(err)
			}
			pieces.Close()
		}
		if got := c.engines[1].Counters(); got.ImportedTokens != 640 || got.PromptTokens != 1 {
			t.Errorf("imported %d, computed %d", got.ImportedTokens, got.PromptTokens)
		}
		if _, err := engines.Resume(t.Context(), engineAddress(0), "unknown", 0); !errors.Is(err, core.ErrUnknownStream) {
			t.Errorf("resume of an unknown stream: %v", err)
		}
		engines.Close()
	})
}
