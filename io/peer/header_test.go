package peer_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gorseline/core/membership"
	"gorseline/io/peer"
)

// Guards against a head of a peer that is kept without a bound.
func TestHeadsOfPeersAreBounded(t *testing.T) {
	handler := peer.NewHandler(echo{})
	for size, isTaken := range map[int]bool{16 << 10: true, 256 << 10: false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for i := range size >> 10 {
				w.Header().Set("X-Noise-"+strconv.Itoa(i), strings.Repeat("a", 1<<10))
			}
			handler.ServeHTTP(w, r)
		}))
		go func() { _ = server.Serve(listener) }()
		client, err := peer.NewClient(peer.ClientOptions{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Probe(t.Context(), listener.Addr().String(), membership.Message{}); isTaken != (err == nil) {
			t.Errorf("head of %d bytes: %v", size, err)
		}
		client.Close()
		_ = server.Close() // the client has its answer
	}
}
