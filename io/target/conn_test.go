package target

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// lingerConn records the arguments of SetLinger.
type lingerConn struct {
	net.Conn
	linger []int
}

func (c *lingerConn) SetLinger(seconds int) error {
	c.linger = append(c.linger, seconds)
	return nil
}

// Guards against an order that stays in the socket's send buffer during a partition and
// arrives after its deadline, when a new lease holder may have sent another order.
func TestCloseAfterDeadlineDiscardsSendBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name    string
			wait    time.Duration
			discard bool
		}{
			{"answered in time", 0, false},
			{"deadline over", 2 * time.Second, true},
		} {
			local, remote := net.Pipe()
			raw := &lingerConn{Conn: local}
			connection := &conn{Conn: raw, transport: NewTransport(TransportOptions{SingleUse: true})}
			connection.begin(time.Now().Add(time.Second), nil)
			time.Sleep(c.wait)
			_ = connection.Close()
			_ = remote.Close()
			if discarded := len(raw.linger) == 1 && raw.linger[0] == 0; discarded != c.discard {
				t.Errorf("%s: linger %v", c.name, raw.linger)
			}
		}
	})
}
