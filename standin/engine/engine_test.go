package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	client "gorseline/io/engine"
	"gorseline/io/target"
	"gorseline/standin/engine"
	"gorseline/standin/network"
	"gorseline/standin/weights"
)

const address = "10.0.0.1:8000"

// fixture is an engine and its client in virtual time.
type fixture struct {
	network *network.Network
	engine  *engine.Engine
	client  *client.Client
}

// runEngine runs body against an engine and a client in virtual time, and stops both.
func runEngine(t *testing.T, options engine.Options, body func(t *testing.T, f fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := fixture{network: network.New(), engine: engine.New(options)}
		server := &http.Server{Handler: f.engine}
		go server.Serve(f.network.Listen(address))
		go f.engine.Run(ctx)
		f.client = client.NewClient(client.Options{Connections: target.TransportOptions{Dial: f.network.Dial}, Name: "test"})
		go f.client.Run(ctx)
		body(t, f)
		stop()
		<-f.engine.Done()
		<-f.client.Done()
		f.client.Close()
		server.Close()
	})
}

func completion(prompt string, tokens int) core.CompletionRequest {
	return core.CompletionRequest{Request: "r1", Attempt: "a1", Model: "ledger-7b", Prompt: prompt, MaxTokens: tokens}
}

// readAll reads a stream to its end and returns its text. It fails the test if a piece
// is out of order, starting at token offset from, or if the total is wrong.
func readAll(ctx context.Context, t *testing.T, pieces core.PieceReader, from int) (string, error) {
	t.Helper()
	var text strings.Builder
	next := from
	for {
		piece, err := pieces.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if piece.Heartbeat {
			continue
		}
		if piece.Offset != next {
			t.Fatalf("piece at %d, want %d", piece.Offset, next)
		}
		next += piece.Tokens
		text.WriteString(piece.Text)
		if piece.Final && piece.Total != next {
			t.Fatalf("total %d after %d tokens", piece.Total, next)
		}
	}
}

// Guards against streamed text that differs from Answer, which clients verify it
// against, also when a connection is cut and the stream resumed.
func TestCompleteAndResume(t *testing.T) {
	runEngine(t, engine.Options{}, func(t *testing.T, f fixture) {
		ctx := t.Context()
		prompt := engine.Prompt("shared", 64, 200, 1)
		want, _ := engine.Answer("ledger-7b", prompt, 40)
		f.engine.CutStreams(1, 10)
		pieces, err := f.client.Complete(ctx, address, completion(prompt, 40))
		if err != nil {
			t.Fatal(err)
		}
		first, err := readAll(ctx, t, pieces, 0)
		if !errors.Is(err, core.ErrStreamCut) || len(strings.Fields(first)) != 10 {
			t.Fatalf("got %d tokens and %v, want a cut after 10", len(strings.Fields(first)), err)
		}
		pieces.Close()
		pieces, err = f.client.Resume(ctx, address, "engine-0-1", 10)
		if err != nil {
			t.Fatal(err)
		}
		second, err := readAll(ctx, t, pieces, 10)
		pieces.Close()
		if err != nil || first+second != want {
			t.Fatalf("%v: got %q, want %q", err, first+second, want)
		}
		if c := f.engine.Counters(); c.Started != 1 || c.Finished != 1 || c.Resumed != 1 {
			t.Errorf("counters %+v", c)
		}
	})
}

// Guards against an order with an outdated fencing token that takes effect. An engine
// that checks fencing tokens refuses it; others accept and count it.
func TestStaleOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runEngine(t, engine.Options{ChecksFence: checks}, func(t *testing.T, f fixture) {
			ctx := t.Context()
			order := core.Order{Role: core.RoleDecode, Model: "ledger-7b", WeightsVersion: "v1", Fence: 7, Sequence: 1}
			if got := f.client.Order(ctx, address, order); got != core.OrderAccepted {
				t.Fatalf("order: %v", got)
			}
			_, err := f.client.Complete(ctx, address, completion("p", 4))
			if !errors.Is(err, core.ErrNotRun) {
				t.Errorf("during a role change: %v, want not run", err)
			}
			time.Sleep(6 * time.Second)
			report, err := f.client.Load(ctx, address)
			if err != nil || report.Role != core.RoleDecode || report.Changing || report.AppliedFence != 7 {
				t.Errorf("after the change: %+v, %v", report, err)
			}
			stale := core.Order{Role: core.RolePrefill, Model: "ledger-7b", WeightsVersion: "v1", Fence: 6, Sequence: 9}
			want := core.OrderStale
			if !checks {
				want = core.OrderAccepted
			}
			if got := f.client.Order(ctx, address, stale); got != want {
				t.Errorf("stale order: %v, want %v", got, want)
			}
			if accepted := f.engine.Counters().StaleOrdersAccepted; (accepted == 1) == checks {
				t.Errorf("%d stale orders accepted, checks fence: %v", accepted, checks)
			}
		})
	}
}

// Guards against a prefix that is computed twice: the second prompt with the same
// prefix skips the cached blocks. Cache events appear only after their delay.
func TestPrefixCacheAndEvents(t *testing.T) {
	runEngine(t, engine.Options{}, func(t *testing.T, f fixture) {
		ctx := t.Context()
		for variant := range uint64(2) {
			prompt := engine.Prompt("shared", 640, 650, variant)
			pieces, err := f.client.Complete(ctx, address, completion(prompt, 4))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAll(ctx, t, pieces, 0); err != nil {
				t.Fatal(err)
			}
			pieces.Close()
		}
		if got := f.engine.Counters().PromptTokens; got != 650+10 {
			t.Errorf("computed %d prompt tokens, want 660", got)
		}
		if events, err := f.client.CacheEvents(ctx, address, 0); err != nil || len(events) != 0 {
			t.Errorf("%d events before their delay, %v", len(events), err)
		}
		time.Sleep(time.Second)
		if events, err := f.client.CacheEvents(ctx, address, 2); err != nil || len(events) != 8 {
			t.Errorf("%d events after 1 s, %v; want 8", len(events), err)
		}
	})
}

// Guards against streams that continue without a reader: both an explicit cancel and
// a reader that disconnects end a stream.
func TestCancelAndOrphan(t *testing.T) {
	runEngine(t, engine.Options{OrphanTimeout: 5 * time.Second}, func(t *testing.T, f fixture) {
		ctx := t.Context()
		first, err := f.client.Complete(ctx, address, completion("one", 10_000))
		if err != nil {
			t.Fatal(err)
		}
		if err := f.client.Cancel(ctx, address, "engine-0-1"); err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(ctx, t, first, 0); !errors.Is(err, core.ErrUnknownStream) {
			t.Errorf("cancelled stream: %v", err)
		}
		first.Close()
		second, err := f.client.Complete(ctx, address, completion("two", 10_000))
		if err != nil {
			t.Fatal(err)
		}
		second.Close()
		time.Sleep(10 * time.Second)
		if c := f.engine.Counters(); c.Cancelled != 1 || c.Orphaned != 1 {
			t.Errorf("counters %+v", c)
		}
	})
}

// Guards against streams that are cancelled although they have a reader. This happens
// if an outdated heartbeat counts: that of a client that had no stream here for long,
// or that of a killed client whose stream another client resumes.
func TestStreamsWithActiveReadersContinue(t *testing.T) {
	runEngine(t, engine.Options{OrphanTimeout: 5 * time.Second}, func(t *testing.T, f fixture) {
		ctx := t.Context()
		first, err := f.client.Complete(ctx, address, completion("one", 200))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(ctx, t, first, 0); err != nil {
			t.Fatal(err)
		}
		first.Close()
		time.Sleep(time.Minute)
		second, err := f.client.Complete(ctx, address, completion("two", 1000))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(ctx, t, second, 0); err != nil {
			t.Errorf("after a minute without streams: %v", err)
		}
		second.Close()
		killed := client.NewClient(client.Options{Connections: target.TransportOptions{Dial: f.network.Dial}, Name: "killed"})
		defer killed.Close()
		killedCtx, kill := context.WithCancel(ctx)
		go killed.Run(killedCtx)
		third, err := killed.Complete(ctx, address, completion("three", 2000))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		kill() // ends its heartbeats; its stream stays open
		<-killed.Done()
		other := client.NewClient(client.Options{Connections: target.TransportOptions{Dial: f.network.Dial}, Name: "other"})
		defer other.Close()
		resumed, err := other.Resume(t.Context(), address, "engine-0-3", 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(t.Context(), t, resumed, 0); err != nil {
			t.Errorf("resumed by another client: %v", err)
		}
		resumed.Close()
		third.Close()
	})
}

// Guards against model loads that ignore the weight store's rate limit or outage: a
// load waits for the interval after the previous fetch, and starts only after an
// outage has ended.
func TestModelLoadsWaitForTheWeightStore(t *testing.T) {
	store := weights.New(10 * time.Second)
	options := engine.Options{ModelLoadTime: time.Second, RoleChangeTime: time.Second, Weights: store}
	runEngine(t, options, func(t *testing.T, f fixture) {
		order := core.Order{Role: core.RoleMixed, Model: "ledger-7b", WeightsVersion: "v2", Fence: 1, Sequence: 1}
		if _, ok := store.ReserveFetch(time.Now()); !ok {
			t.Fatal("the store refused the first fetch")
		}
		store.SetOutage(true)
		if got := f.client.Order(t.Context(), address, order); got != core.OrderAccepted {
			t.Fatalf("order: %v", got)
		}
		time.Sleep(5 * time.Second)
		if version := f.engine.Load().WeightsVersion; version != "v1" {
			t.Errorf("version %s during the outage", version)
		}
		store.SetOutage(false)
		time.Sleep(4 * time.Second)
		if version := f.engine.Load().WeightsVersion; version != "v1" {
			t.Errorf("version %s before the store allowed the fetch", version)
		}
		time.Sleep(5 * time.Second)
		if version := f.engine.Load().WeightsVersion; version != "v2" || store.Fetches() != 2 {
			t.Errorf("version %s after %d fetches", version, store.Fetches())
		}
	})
}
