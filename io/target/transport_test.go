package target_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gorseline/io/target"
)

// Guards against a part of an answer that a client of net/http takes for the whole because the write of
// a long request has consumed the reset of the connection, or because its target has ended the
// connection before it had received the request.
func TestTransportTakesNoPartForAnswer(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for name, end := range map[string]func(*net.TCPConn){
		"reset": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"end": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			<-release
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				address := listen(t, 0, func(conn *net.TCPConn) {
					_, _ = io.ReadFull(conn, make([]byte, 64<<10))
					_, _ = io.WriteString(conn, unframedHead+"part")
					time.Sleep(20 * time.Millisecond) // the part must arrive before the end
					end(conn)
				})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, 6<<20)))
				if err != nil {
					t.Fatal(err)
				}
				transport := target.NewTransport(target.TransportOptions{})
				resp, err := transport.Do(&target.Attempt{}, req)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil {
					t.Errorf("%q was taken for a whole answer", body)
				}
			}
		})
	}
}
