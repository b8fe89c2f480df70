package peer_test

import (
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"

	"gorseline/core/membership"
	"gorseline/core/timeline"
	"gorseline/io/peer"
)

// Guards against timelines that list an effect before its cause because the wall clock of
// the instance with the effect is behind. The next event of the receiver must order after the
// events before the call, and the next event of the sender after those before the reply.
func TestCallsPropagateClock(t *testing.T) {
	ahead := timeline.NewClock(func() time.Duration { return 100 * time.Second })
	behind := timeline.NewClock(func() time.Duration { return 90 * time.Second })
	for _, c := range []struct{ caller, callee *timeline.Clock }{{ahead, behind}, {behind, ahead}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewHTTPServer(peer.NewHandler(echo{}, connect.WithInterceptors(peer.NewClockInterceptor(c.callee))))
		go func() { _ = server.Serve(listener) }()
		client, err := peer.NewClient(peer.ClientOptions{
			Options: []connect.ClientOption{connect.WithInterceptors(peer.NewClockInterceptor(c.caller))},
		})
		if err != nil {
			t.Fatal(err)
		}
		before, reached := c.caller.Now(), c.callee.Now()
		if _, err := client.Probe(t.Context(), listener.Addr().String(), membership.Message{}); err != nil {
			t.Fatal(err)
		}
		if after := c.callee.Now(); !before.Before(after) {
			t.Errorf("the effect %v on the callee orders before its cause %v", after, before)
		}
		if after := c.caller.Now(); !reached.Before(after) {
			t.Errorf("the effect %v on the caller orders before its cause %v", after, reached)
		}
		client.Close()
		_ = server.Close()
	}
}
