package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gorseline/io/target"
)

// Guards against bytes after an answer that are taken for the answer to the next request on the
// connection.
func TestBytesAfterAnAnswerAreNoAnswer(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	address := listen(t, 0, func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n"+extra); err != nil {
				return
			}
		}
	})
	transport := target.NewTransport(target.TransportOptions{})
	defer transport.Close()
	for range 500 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.Do(new(target.Attempt).AllowRetry(), req)
		if err != nil {
			continue
		}
		if resp.StatusCode != http.StatusNoContent {
			t.Errorf("got status %d", resp.StatusCode)
		}
		_ = resp.Body.Close() // without a body
	}
}

// Guards against a part of a long answer to an earlier request that is taken for the answer to a later
// one on the connection.
func TestBodyOfAnAnswerToAnotherRequestIsNoAnswer(t *testing.T) {
	const skipped = 1 << 20 // bytes of a body that are skipped at most
	hidden := "HTTP/1.1 200 OK\r\nX-Name: r\r\nContent-Length: 2\r\n\r\nok"
	raw := "HTTP/1.1 200 OK\r\nX-Name: earlier\r\nContent-Length: " + strconv.Itoa(skipped+len(hidden)) + "\r\n\r\n" +
		strings.Repeat("a", skipped) + hidden
	address := serveRaw(t, raw)
	answer, err := target.NewPool(target.PoolOptions{}).Do(t.Context(), &target.Request{
		Address: address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(10 * time.Second),
		Name: "r", NameIn: func(h http.Header) string { return h.Get("X-Name") },
	})
	if err == nil {
		_ = answer.Close() // it is no answer
		t.Errorf("got the answer %d %v", answer.Status, answer.Header)
	}
}
