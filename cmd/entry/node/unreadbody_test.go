package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against connections that stay open for a body which stops short and which no handler reads.
func TestUnreadBodyEndsItsConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(http.NotFoundHandler())
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close() // the error is that of Serve
		<-served
	})
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the server has closed it
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 404 ") {
		t.Errorf("%q, %v", answer, err)
	}
}
