package target

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a part of an answer that counts as whole because the kernel has taken the rest of its
// request, of which the target has got only a part when it ends the connection.
func TestEndBeforeTargetHasRequestIsNoEnd(t *testing.T) {
	clients := map[string]func(address string, body []byte) (io.Reader, error){
		"pool": func(address string, body []byte) (io.Reader, error) {
			answer, err := NewPool(PoolOptions{}).Do(t.Context(), &Request{
				Address: address, Method: http.MethodPost, URI: "/", Host: "h", Body: body, Deadline: time.Now().Add(5 * time.Second),
			})
			if err != nil {
				return nil, err
			}
			return answer.Body, nil
		},
		"net/http": func(address string, body []byte) (io.Reader, error) {
			transport := NewTransport(TransportOptions{})
			t.Cleanup(transport.Close)
			client := http.Client{Transport: transport, Timeout: 5 * time.Second}
			resp, err := client.Post("http://"+address+"/", "", bytes.NewReader(body))
			if err != nil {
				return nil, err
			}
			t.Cleanup(func() { _ = resp.Body.Close() })
			return resp.Body, nil
		},
	}
	for name, send := range clients {
		for _, size := range []int{maxEagerBody, 256 << 10} {
			answer, err := send(halfReader(t), make([]byte, size))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(answer); err == nil {
				t.Errorf("%s, %d bytes sent: %q is whole", name, size, got)
			}
		}
	}
}

// halfReader starts a target that reads a few bytes of a request, answers with a part and ends its side of the
// connection. It returns its address.
func halfReader(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	const window = 4 << 10 // bytes; the target's kernel takes about this much of the request
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
	})
	if err != nil || failure != nil {
		t.Fatal(err, failure)
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		// Failures show in the answer.
		_, _ = io.ReadFull(conn, make([]byte, 16))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	}()
	return listener.Addr().String()
}
