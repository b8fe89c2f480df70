package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// respond answers a request that runs. run is its index in t.runs.
func (t *Target) respond(conn net.Conn, r *http.Request, fault RequestFault, run int) bool {
	if slices.Contains(EndingFaults, fault) {
		return t.respondEnding(conn, r, fault)
	}
	if isMalformed(fault) {
		return t.sendMalformed(conn, r, fault)
	}
	if t.currentPhase() != "" {
		return t.respondStream(conn, r, fault, run)
	}
	return t.respondPlain(conn, r, fault)
}

// respondPlain answers a request to a plain service. It reports whether the connection stays
// open, as do the other methods and functions that answer a request.
func (t *Target) respondPlain(conn net.Conn, r *http.Request, fault RequestFault) bool {
	id := r.Header.Get("X-Request-Id")
	header := t.stampHeader(id) + "X-Server-Load: 1,0,8\r\nKeep-Alive: timeout=5\r\n" + t.stateHeader()
	body := "answer to " + id
	switch fault {
	case Fail:
		return writeResponse(conn, 500, header, "failed")
	case Reset:
		return resetOnClose(conn)
	case Hang:
		return readUntilClosed(conn)
	case Pause:
		if !waitUnlessClosed(conn, PauseTime) {
			return false
		}
	case Noise:
		_, _ = io.WriteString(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case Torn:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body[:4])
		return resetOnClose(conn)
	case Unframed, UnframedReset:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", header, body)
		if fault == UnframedReset {
			time.Sleep(10 * time.Millisecond) // the body must arrive before the reset
			return resetOnClose(conn)
		}
		return false
	case UnframedKill:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", header, body[:4])
		time.Sleep(crashLag) // the part must arrive before the end
		t.Crash()
		return false
	case Extra:
		writeResponse(conn, 200, header, body)
		return writeResponse(conn, 200, "X-Request-Id: other\r\nX-Upstream-Stamp: other\r\n", "answer to another request")
	}
	return writeResponse(conn, 200, header, body)
}

// resetOnClose makes the connection end with a TCP reset when it is closed. It returns false.
func resetOnClose(conn net.Conn) bool {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// readUntilClosed discards what the client sends until it closes the connection. It returns
// false.
func readUntilClosed(conn net.Conn) bool {
	_, _ = io.Copy(io.Discard, conn)
	return false
}

// waitUnlessClosed waits and reports whether the client has kept the connection open.
func waitUnlessClosed(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// respondPrefill computes a prompt and answers with the handle of its cached tokens.
func (t *Target) respondPrefill(conn net.Conn, r *http.Request, fault RequestFault) bool {
	if isMalformed(fault) {
		return t.sendMalformed(conn, r, fault)
	}
	name := t.nameHeader(r.Header.Get("X-Request-Id"))
	switch fault {
	case Hang:
		return readUntilClosed(conn)
	case Reset:
		return resetOnClose(conn)
	case Fail:
		return writeResponse(conn, 500, name, "failed")
	}
	t.mu.Lock()
	t.lastHandle++
	t.prefills++
	handle := t.id + "-" + strconv.Itoa(t.lastHandle)
	t.handles[handle] = true
	t.mu.Unlock()
	body := fmt.Sprintf(`{"handle":%q,"tokens":100,"version":1}`, handle)
	return writeResponse(conn, 200, name+t.stateHeader()+"Content-Type: application/json\r\n", body)
}

// SetUnnamed sets whether answers leave out the ID of their request.
func (t *Target) SetUnnamed(isUnnamed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isUnnamed = isUnnamed
}

// nameHeader returns the line of the header that names the request of an answer, or "".
func (t *Target) nameHeader(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isUnnamed {
		return ""
	}
	return "X-Request-Id: " + id + "\r\n"
}

// stampHeader returns the lines of the header that name the request of an answer and the target that ran it.
func (t *Target) stampHeader(id string) string {
	return t.nameHeader(id) + "X-Upstream-Stamp: " + t.id + "." + id + "\r\n"
}

// events returns the number of events of a stream and the time between two of them. The request
// may limit the number.
func (t *Target) events(r *http.Request) (count int, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count = t.eventCount
	_, limit, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	if n, err := strconv.Atoi(limit); err == nil {
		count = min(count, n)
	}
	return count, t.eventInterval
}

// VersionNote precedes the software version at the end of an event of an engine with SetVersion.
const VersionNote = " by "

// event returns an event of the stream with an ID.
func (t *Target) event(number int, id string) string {
	by := ""
	if t.version != "" {
		by = VersionNote + t.version
	}
	return fmt.Sprintf("id: %d\ndata: piece %d of %s%s\n\n", number, number, id, by)
}

// firstEvent returns the number of the first event that a request asks for.
func firstEvent(r *http.Request) int {
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		return last + 1
	}
	return 0
}

// respondStream answers with events 0 to t.eventCount-1, or with those after Last-Event-Id.
// run is the index of the request in t.runs.
func (t *Target) respondStream(conn net.Conn, r *http.Request, fault RequestFault, run int) bool {
	id := r.Header.Get("X-Request-Id")
	switch fault {
	case Fail:
		return writeResponse(conn, 500, t.stampHeader(id), "failed")
	case Reset:
		return resetOnClose(conn)
	case Hang:
		_ = readUntilClosed(conn)
		t.markCancelled(run)
		return false
	case Unframed, UnframedReset, UnframedCut, UnframedEmpty, UnframedKill, UnframedHold:
		return t.respondUnframedStream(conn, r, fault)
	}
	if isOpen, ok := t.respondNoStream(conn, id, fault); ok {
		return isOpen
	}
	first, count, interval := t.eventsUnder(r, fault)
	_, _ = io.WriteString(conn, t.streamHead(id)+"Transfer-Encoding: chunked\r\n\r\n")
	for i := first; i < count; i++ {
		time.Sleep(interval)
		event := t.event(i, id)
		if i == 2 && fault == CutEvent {
			_, _ = fmt.Fprintf(conn, "8\r\n%s\r\n", event[:8])
			break
		}
		if i == 3 && fault == StepBack {
			event = t.event(1, id)
		}
		if i == 2 && fault == CutStream || i == 1 && fault == CutEarly {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:8])
			return resetOnClose(conn)
		}
		if i == 2 && fault == Stall {
			// The response never completes, so only the client can close the connection.
			t.markCancelled(run)
			_ = readUntilClosed(conn)
			t.markCancelled(run) // with the time
			return false
		}
		isPause := i == 2 && fault == Pause || i == first && fault == PauseFirst
		if isPause && !waitUnlessClosed(conn, PauseTime) {
			t.markCancelled(run)
			return false
		}
		if !t.waitWhileFrozen(conn) {
			t.markCancelled(run)
			return false
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			t.markCancelled(run)
			return false
		}
	}
	if fault == CutEnd {
		time.Sleep(crashLag) // the events must arrive before the reset
		return resetOnClose(conn)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// markCancelled records that the client closed the connection before the response of a run
// was complete.
func (t *Target) markCancelled(run int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[run].Cancelled, t.runs[run].CancelledAt = true, time.Now()
}

// serveControl serves load reports, role orders and the release of handles.
func (t *Target) serveControl(conn net.Conn, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method == http.MethodDelete && !t.waitWhileFrozen(conn) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.URL.Path == "/-/report":
		report := fmt.Sprintf(`{"phase":%q,"models":[{"name":"m","version":1}],"busy":false,"seq":%d}`, t.phase, t.orderCount)
		return writeResponse(conn, 200, "", report)
	case r.URL.Path == "/-/kv-list" && t.cacheList != "":
		return writeResponse(conn, 200, "Content-Type: application/json\r\n", t.cacheList)
	case r.URL.Path == "/-/order" && r.Method == http.MethodPost:
		var order struct {
			Op, Phase, Holder string
			Fence             *uint64
			IfRevision        *uint64 `json:"if_revision"`
		}
		if err := json.Unmarshal(body, &order); err != nil || order.Op != "phase" || order.Holder == "" || order.Fence == nil {
			return writeResponse(conn, 400, "", "")
		}
		if order.IfRevision != nil && *order.IfRevision != t.orderCount {
			return writeResponse(conn, 409, "", "")
		}
		if order.Phase == t.phase {
			return writeResponse(conn, 200, "", "")
		}
		t.orderCount++
		t.phase = order.Phase
		t.orders = append(t.orders, Order{time.Now(), order.Phase, order.Holder, *order.Fence, order.IfRevision})
		return writeResponse(conn, 202, "", "")
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/") && r.Method == http.MethodDelete:
		delete(t.handles, strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		t.released++
		return writeResponse(conn, 200, "", "")
	}
	return writeResponse(conn, 404, "", "")
}
