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

// withService runs a test in virtual time with a service, its network and a client.
func withService(t *testing.T, o service.Options, body func(t *testing.T, n *network.Network, s *service.Service, c *client.Client)) {
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

// posting returns a call that has an effect.
func posting(body string) core.ServiceCall {
	return core.ServiceCall{Method: http.MethodPost, Path: "/postings", Key: "dues-1", Body: []byte(body)}
}

// Guards against a posting that runs twice, or that is reported as not run although it may
// have run. net/http retries requests that carry an Idempotency-Key, so a reply that is
// lost after the effect could cause a second one; the client must send the request once
// and report an unknown outcome. A refused dial must be reported as not run.
func TestOutcomesOfFailedCalls(t *testing.T) {
	for _, body := range []string{`{"amount":5}`, ""} {
		withService(t, service.Options{}, func(t *testing.T, n *network.Network, s *service.Service, c *client.Client) {
			read := core.ServiceCall{Method: http.MethodGet, Path: "/postings"}
			if got := c.Call(t.Context(), address, read); got.Outcome != core.OutcomeDone {
				t.Fatalf("read: %+v", got)
			}
			s.LoseReplies(1) // on the pooled connection of the read
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

// Guards against the reuse of a connection that silently discards data. The outcome of
// the call on it must be unknown, and the next call must use a new connection.
func TestBlackholedConnectionIsNotReused(t *testing.T) {
	withService(t, service.Options{}, func(t *testing.T, n *network.Network, s *service.Service, c *client.Client) {
		c.Call(t.Context(), address, posting("{}"))
		n.Blackhole(address)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if got := c.Call(ctx, address, posting("{}")); got.Outcome != core.OutcomeUnknown {
			t.Errorf("blackholed connection: %v", got.Outcome)
		}
		if got := c.Call(t.Context(), address, posting("{}")); got.Outcome != core.OutcomeDone {
			t.Errorf("on a new connection: %v, %v", got.Outcome, got.Err)
		}
		if got := s.Effects()["dues-1"]; got != 2 {
			t.Errorf("%d effects, want 2", got)
		}
	})
}

// Guards against a stand-in that deduplicates although the option is off, or doesn't
// although it is on.
func TestDeduplication(t *testing.T) {
	for _, on := range []bool{false, true} {
		withService(t, service.Options{DeduplicatesKeys: on}, func(t *testing.T, _ *network.Network, s *service.Service, c *client.Client) {
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
