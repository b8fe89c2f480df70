package platform

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// CrashPart makes the target crash when it begins to generate for a prompt with a part whose name
// begins so, unless that is the last part. The target starts again after the given time.
func (t *Target) CrashPart(name string, downTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashPart, t.downTime = name, downTime
}

// SetDownTime sets how long the target is down after a crash.
func (t *Target) SetDownTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downTime = d
}

// CrashPath makes the target crash when it has begun to run a request whose path contains text. The
// target starts again after the given time.
func (t *Target) CrashPath(text string, downTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashPath, t.downTime = text, downTime
}

// CrashAfter makes the target answer in part before it crashes under a request: an engine sends a number
// of events, a plain server a part of its body.
func (t *Target) CrashAfter(events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashAfter = events
}

// Crashes returns the times at which the target has crashed.
func (t *Target) Crashes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.crashes...)
}

// CausedCrash is a crash of a target that a request has caused.
type CausedCrash struct {
	At      time.Time
	Request string
}

// CausedCrashes returns the crashes that requests have caused by CrashPart or CrashPath.
func (t *Target) CausedCrashes() []CausedCrash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]CausedCrash(nil), t.causedCrashes...)
}

// crashesTarget reports whether a request crashes the target.
func (t *Target) crashesTarget(r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hasPart := t.phase != "" && t.crashPart != "" && HasSharedPart(r.Header, t.crashPart)
	return hasPart || t.crashPath != "" && strings.Contains(r.URL.Path, t.crashPath)
}

// HasSharedPart reports whether the prompt of a request has a part whose name begins so before its
// last one.
func HasSharedPart(header http.Header, name string) bool {
	parts := strings.Split(header.Get("X-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if strings.HasPrefix(part, name) {
			return true
		}
	}
	return false
}

// crashUnder crashes the target because of a request. It sends a part of the answer before, an engine at
// least the header and a part of an event.
func (t *Target) crashUnder(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	t.beginAnswer(conn, r)
	if t.Crash() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.causedCrashes = append(t.causedCrashes, CausedCrash{time.Now(), id})
	}
	return false
}

// crashLag is the time between the part of an answer and the crash. The part must arrive before.
const crashLag = 5 * time.Millisecond

func (t *Target) beginAnswer(conn net.Conn, r *http.Request) {
	t.mu.Lock()
	phase, events := t.phase, t.crashAfter
	t.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	header := "HTTP/1.1 200 OK\r\n" + t.stampHeader(id)
	if phase == "" {
		if events > 0 {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: 20\r\n\r\nanswer to", header)
			time.Sleep(crashLag)
		}
		return
	}
	count, interval := t.events(r)
	_, _ = fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", header)
	first := firstEvent(r)
	for i := first; i < min(first+events, count); i++ {
		time.Sleep(interval)
		event := t.event(i, id)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if events > 0 {
		time.Sleep(crashLag)
	}
	if first+events < count {
		_, _ = fmt.Fprintf(conn, "20\r\nid: %d\n", first+events)
	}
}

// OnDown sets a function that is called when the target crashes, and before it accepts connections
// again. It must be set before the first crash.
func (t *Target) OnDown(changed func(isDown bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDown = changed
}

// Crash closes the listener and all connections. The target listens again at the same address
// after the time that was given to CrashPart or CrashPath. Further calls until then do nothing and return false.
func (t *Target) Crash() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDown || t.isClosed {
		return false
	}
	t.isDown = true
	t.crashes = append(t.crashes, time.Now())
	_ = t.listener.Close()
	for i := range t.runs {
		if t.runs[i].EndedAt.IsZero() {
			t.runs[i].Fault = CrashedUnder
		}
	}
	if t.onDown != nil {
		t.onDown(true)
	}
	for c := range t.conns {
		_ = c.Close()
	}
	t.goroutines.Go(t.runRestart)
	return true
}

// runRestart listens again after the downtime.
func (t *Target) runRestart() {
	t.mu.Lock()
	address, downTime := t.listener.Addr().String(), t.downTime
	t.mu.Unlock()
	for wait := downTime; ; wait = time.Millisecond {
		select {
		case <-t.closed:
			return
		case <-time.After(wait):
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue // the address is still in use
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.isClosed {
			_ = listener.Close()
			return
		}
		if t.onDown != nil {
			t.onDown(false)
		}
		t.listener, t.isDown, t.statesLeaving = listener, false, false
		clear(t.handles)
		t.orderCount = 0
		t.born++
		t.goroutines.Go(func() { t.runAccept(listener) })
		return
	}
}
