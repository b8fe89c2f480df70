package service_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	client "gorseline/io/service"
	"gorseline/io/target"
	"gorseline/standin/network"
	"gorseline/standin/service"
)

const address = "10.0.1.1:9000"

func inBubble(t *testing.T, o service.Options, body func(t *testing.T, n *network.Network, s *service.Service, c *client.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n, s := network.New(), service.New(o)
		server := &http.Server{Handler: s}
		go server.Serve(n.Listen(address))
		c := client.NewClient(client.Options{Connections: target.TransportOptions{Dial: n.Dial}})
		body(t, n, s, c)
		c.Close()
		server.Close()
	})
}

func posting(body string) core.ServiceCall {
	return core.ServiceCall{Method: http.MethodPost, Path: "/postings", Key: "dues-1", Body: []byte(body)}
}

// Guards against a dues posting that runs twice or is wrongly called not run: a
// reply lost after the effect is unknown and is sent once, although net/http
// repeats requests that carry an Idempotency-Key; a refused dial is not run.
func TestOutcomes(t *testing.T) {
	for _, body := range []string{`{"amount":5}`, ""} {
		inBubble(t, service.Options{}, func(t *testing.T, n *network.Network, s *service.Service, c *client.Client) {
			read := core.ServiceCall{Method: http.MethodGet, Path: "/postings"}
			if got := c.Call(t.Context(), address, read); got.Outcome != core.OutcomeDone {
				t.Fatalf("read: %+v", got)
			}
			s.LoseReplies(1) // on the connection that the read left in the pool
			if got := c.Call(t.Context(), address, posting(body)); got.Outcome != core.OutcomeUnknown {
				t.Errorf("lost reply: %v", got.Outcome)
			}
			if got := s.Effects()["dues-1"]; got != 1 {
				t.Errorf("%d effects, want 1", got)
			}
			n.SetRefusing(address, true)
			if got := c.Call(t.Context(), address, posting(body)); got.Outcome != core.OutcomeNotRun {
				t.Errorf("refused dial: %v", got.Outcome)
			}
			if got := s.Effects()["dues-1"]; got != 1 {
				t.Errorf("%d effects after the refused dial, want 1", got)
			}
		})
	}
}

// Guards against the reuse of a silent connection: the call on it is unknown, and
// the next call goes out on a new connection.
func TestSilentConnection(t *testing.T) {
	inBubble(t, service.Options{}, func(t *testing.T, n *network.Network, s *service.Service, c *client.Client) {
		c.Call(t.Context(), address, posting("{}"))
		n.Blackhole(address)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if got := c.Call(ctx, address, posting("{}")); got.Outcome != core.OutcomeUnknown {
			t.Errorf("silent connection: %v", got.Outcome)
		}
		if got := c.Call(t.Context(), address, posting("{}")); got.Outcome != core.OutcomeDone {
			t.Errorf("after the silence: %v, %v", got.Outcome, got.Err)
		}
		if got := s.Effects()["dues-1"]; got != 2 {
			t.Errorf("%d effects, want 2", got)
		}
	})
}

// Guards against a stand-in that deduplicates without being asked, or not when
// it is asked.
func TestDeduplication(t *testing.T) {
	for _, on := range []bool{false, true} {
		inBubble(t, service.Options{DeduplicatesKeys: on}, func(t *testing.T, _ *network.Network, s *service.Service, c *client.Client) {
			c.Call(t.Context(), address, posting("{}"))
			c.Call(t.Context(), address, posting("{}"))
			want := 2
			if on {
				want = 1
			}
			if got := s.Effects()["dues-1"]; got != want {
				t.Errorf("deduplication %v: %d effects, want %d", on, got, want)
			}
		})
	}
}
