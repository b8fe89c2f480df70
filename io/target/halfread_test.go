package target

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a part of an answer that counts as whole because the kernel has taken the rest of its
// request, of which the target has got only a part when it ends the connection.
func TestEndBeforeTargetHasRequestIsNoEnd(t *testing.T) {
	for _, size := range []int{maxEagerBody, 256 << 10} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		const window = 4 << 10 // bytes; the target's kernel takes about this much of the request
		if err := setReceiveBuffer(listener.(*net.TCPListener), window); err != nil {
			t.Fatal(err)
		}
		isChecked := make(chan struct{})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.ReadFull(conn, make([]byte, 16))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).CloseWrite()
			<-isChecked
		}()
		pool := NewPool(PoolOptions{})
		answer, err := pool.Do(t.Context(), &Request{
			Address: listener.Addr().String(), Method: "POST", URI: "/", Host: "h", Body: make([]byte, size),
			Deadline: time.Now().Add(5 * time.Second),
		})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		if err == nil {
			t.Errorf("%d bytes sent: %q is whole", size, body)
		}
		close(isChecked)
		_ = answer.Close() // the body has failed
	}
}

func setReceiveBuffer(listener *net.TCPListener, size int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	if err != nil {
		return err
	}
	return failure
}
