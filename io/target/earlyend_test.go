package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gorseline/io/target"
)

const unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

// listen returns a listener on loopback that passes each connection to serve. A positive buffer is the
// size of the receive buffer of its connections, in bytes.
func listen(t *testing.T, buffer int, serve func(*net.TCPConn)) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if buffer <= 0 {
			return nil
		}
		var err error
		return errors.Wrap(firstOf(raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
		}), err), "set the receive buffer")
	}}
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// readAnswer sends a request with a body of a size and returns the body of its answer. Each read has a
// deadline that is extended, as for a silent engine.
func readAnswer(ctx context.Context, address string, size int, dial target.DialFunc) (body []byte, extensions int, err error) {
	pool := target.NewPool(target.PoolOptions{Dial: dial})
	answer, err := pool.Do(ctx, &target.Request{
		Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
		Body: make([]byte, size), Deadline: time.Now().Add(10 * time.Second),
	})
	if err != nil {
		return nil, 0, err
	}
	defer answer.Close()
	answer.OnTimeout(func() (time.Time, bool) {
		extensions++
		return time.Now().Add(100 * time.Millisecond), extensions < 100
	})
	if err := answer.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		return nil, 0, err
	}
	body, err = io.ReadAll(answer.Body)
	return body, extensions, err
}

// Guards against a part of an answer that is taken for the whole because the write of a long request
// has consumed the reset of the connection.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	for range 10 {
		address := listen(t, 0, func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, 64<<10))
			_, _ = io.WriteString(conn, unframedHead+"id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
			time.Sleep(20 * time.Millisecond) // the part must arrive before the reset
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		if body, _, err := readAnswer(t.Context(), address, 6<<20, nil); err == nil {
			t.Errorf("%q was taken for a whole answer", body)
		}
	}
}

// Guards against an answer that is taken for whole although its target has ended the connection
// before it had received the request.
func TestEndDuringUploadIsNoEndOfAnswer(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := listen(t, 0, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 64<<10))
		_, _ = io.WriteString(conn, unframedHead+"id: 0\ndata: a\n\n")
		_ = conn.CloseWrite()
		<-release
		_ = conn.Close()
	})
	if body, _, err := readAnswer(t.Context(), address, 6<<20, nil); err == nil {
		t.Errorf("%q was taken for a whole answer", body)
	}
}

// Guards against a connection that the kernel gives up and that is taken for one whose target is
// silent: its next read would return the end of the connection.
func TestConnectionGivenUpByKernelIsNoEndOfAnswer(t *testing.T) {
	for name, size := range map[string]int{"short request": 16 << 10, "long request": 6 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			defer close(release)
			address := listen(t, 1<<10, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, unframedHead+"id: 0\ndata: a\n\n")
				<-release // the request is never read, so that its bytes stay unacknowledged
				_ = conn.Close()
			})
			body, _, err := readAnswer(t.Context(), address, size, nil)
			if err == nil {
				t.Errorf("%q was taken for a whole answer", body)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %v, want the failure of the connection", err)
			}
		})
	}
}

// failingConn fails a read once, as a socket does, and then returns the end of the connection.
type failingConn struct {
	net.Conn
	reads []func([]byte) (int, error)
}

func (c *failingConn) Read(b []byte) (int, error) {
	if len(c.reads) == 0 {
		return 0, io.EOF
	}
	read := c.reads[0]
	c.reads = c.reads[1:]
	return read(b)
}

// Guards against a failure of the connection that is forgotten after it has been reported once, and
// against one that is answered by waiting longer.
func TestFailureOfConnectionLasts(t *testing.T) {
	failures := map[string]error{"given up": syscall.ETIMEDOUT, "reset": syscall.ECONNRESET, "unreachable": syscall.EHOSTUNREACH}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				t.Cleanup(func() { _ = server.Close() })
				go func() { _, _ = http.ReadRequest(bufio.NewReader(server)) }()
				return &failingConn{Conn: client, reads: []func([]byte) (int, error){
					func(b []byte) (int, error) { return copy(b, unframedHead+"id: 0\ndata: a\n\n"), nil },
					func([]byte) (int, error) {
						return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", failure)}
					},
				}}, nil
			}
			body, extensions, err := readAnswer(t.Context(), "target:1", 0, dial)
			if !errors.Is(err, failure) || extensions > 0 {
				t.Errorf("body %q after %d extensions, %v", body, extensions, err)
			}
		})
	}
}

// Guards against a silent target whose deadline isn't extended any more.
func TestDeadlineOfReadIsExtended(t *testing.T) {
	address := listen(t, 0, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, unframedHead+"id: 0\n")
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(conn, "data: a\n\n")
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 10))
		_ = conn.CloseWrite()
	})
	body, extensions, err := readAnswer(t.Context(), address, 10, nil)
	if err != nil || string(body) != "id: 0\ndata: a\n\n" || extensions == 0 {
		t.Errorf("body %q after %d extensions, %v", body, extensions, err)
	}
}
