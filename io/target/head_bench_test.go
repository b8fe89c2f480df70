package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gorseline/io/target"
)

// answeringConn answers each write with the same bytes.
type answeringConn struct {
	net.Conn
	answer  string
	pending string
}

func (c *answeringConn) Write(b []byte) (int, error) {
	c.pending = c.answer
	return len(b), nil
}

func (c *answeringConn) Read(b []byte) (int, error) {
	if c.pending == "" {
		return 0, io.EOF
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

func (c *answeringConn) SetDeadline(time.Time) error     { return nil }
func (c *answeringConn) SetReadDeadline(time.Time) error { return nil }
func (c *answeringConn) Close() error                    { return nil }

// BenchmarkExchange measures an exchange on a kept connection without the cost of a socket.
func BenchmarkExchange(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nRequest-Name: 907846d32125250a\r\nX-Answer-Made-By: i-70c.907846d32125250a\r\n" +
		"X-Target-Load: 1,0,8\r\nKeep-Alive: timeout=5\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\nok"
	pool := target.NewPool(target.PoolOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
		return &answeringConn{answer: answer}, nil
	}})
	request := &target.Request{Address: "target:1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		request.Deadline = time.Now().Add(time.Minute)
		got, err := pool.Do(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, got.Body); n != 2 || err != nil {
			b.Fatal(n, err)
		}
		got.Finish()
	}
}
