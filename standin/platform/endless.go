package platform

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// isEndless reports whether a fault sends bytes until the client closes the connection.
func isEndless(fault RequestFault) bool {
	switch fault {
	case EndlessHead, EndlessInterim, EndlessBody, EndlessRefusal, DrippingBody, DrippingRefusal:
		return true
	}
	return false
}

// drip is the pause between two bytes of a body that comes slowly.
const drip = 20 * time.Millisecond

// sendEndless sends bytes without end. It returns false when the client has closed the connection.
func (t *Target) sendEndless(conn net.Conn, r *http.Request, fault RequestFault) bool {
	header := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
	begin, repeated, pause := "", "", time.Duration(0)
	switch fault {
	case EndlessHead:
		begin, repeated = "HTTP/1.1 200 OK\r\nX-Noise: ", "abcdefgh"
	case EndlessInterim:
		repeated = "HTTP/1.1 100 Continue\r\n\r\n"
	case EndlessBody:
		kind := "text/plain"
		if t.currentPhase() != "" {
			kind = "text/event-stream"
		}
		begin, repeated = "HTTP/1.1 200 OK\r\n"+header+"Content-Type: "+kind+"\r\n\r\n", "no answer "
	case EndlessRefusal:
		begin, repeated = "HTTP/1.1 503 Service Unavailable\r\n"+header+"X-Not-Executed: 1\r\n\r\n", "no answer "
	case DrippingBody:
		begin, repeated = "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nContent-Length: 5000\r\n\r\n", "a"
		pause = drip
	case DrippingRefusal:
		begin, repeated = "HTTP/1.1 503 Service Unavailable\r\n"+header+"X-Not-Executed: 1\r\nContent-Length: 5000\r\n\r\n", "a"
		pause = drip
	}
	if _, err := fmt.Fprint(conn, begin); err != nil {
		return false
	}
	chunk := []byte(repeated)
	if pause == 0 {
		chunk = bytes.Repeat(chunk, 1000)
	}
	for {
		n, err := conn.Write(chunk)
		t.mu.Lock()
		t.endlessBytes += n
		if err != nil {
			t.endlessEnds = append(t.endlessEnds, time.Now())
		}
		t.mu.Unlock()
		if err != nil {
			return false
		}
		time.Sleep(pause)
	}
}

// EndlessEnds returns the times at which clients closed connections with bytes without end.
func (t *Target) EndlessEnds() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.endlessEnds...)
}

// EndlessBytes returns how many bytes without end the target has sent.
func (t *Target) EndlessBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endlessBytes
}
