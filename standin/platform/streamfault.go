package platform

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Faults of one answer, most of them of a stream. Events are numbered from 0.
const (
	// UnframedKill ends the target's process after the first two events of a stream without
	// Content-Length or chunks, or after a part of such a body: its listener closes, then its connections.
	UnframedKill RequestFault = "UnframedKill"
	// UnframedHold sends two events of a stream without Content-Length or chunks, then nothing while the
	// connection stays open.
	UnframedHold RequestFault = "UnframedHold"
	// StepBack sends event 1 again after event 2, and ends the stream properly.
	StepBack RequestFault = "StepBack"
	// Rerun sends the whole stream to a request that names its last event.
	Rerun RequestFault = "Rerun"
	// EmptyStream ends a stream properly before its first event.
	EmptyStream RequestFault = "EmptyStream"
	// CutEnd sends all events and resets the connection before the end of the stream.
	CutEnd RequestFault = "CutEnd"
	// CutEarly sends one event and a part of the next one, then resets the connection.
	CutEarly RequestFault = "CutEarly"
	// CutEvent ends a stream properly in the middle of event 2.
	CutEvent RequestFault = "CutEvent"
	// NotFound answers 404 with a text, OtherType 200 with a text that is no event stream.
	NotFound  RequestFault = "NotFound"
	OtherType RequestFault = "OtherType"
	// CutHead ends the connection in the middle of the header.
	CutHead RequestFault = "CutHead"
)

// errorText is the body of answers that are no stream.
const errorText = "this is an error"

// SetStreamHead sets the status and the media type of streams; 0 and empty stand for 200 and
// text/event-stream.
func (t *Target) SetStreamHead(status int, mediaType string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streamStatus, t.streamType = status, mediaType
}

// streamHead returns the header of a stream up to the lines that tell its framing.
func (t *Target) streamHead(id string) string {
	t.mu.Lock()
	status, mediaType := cmp.Or(t.streamStatus, http.StatusOK), cmp.Or(t.streamType, "text/event-stream")
	t.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Type: %s\r\n",
		status, http.StatusText(status), t.stampHeader(id), t.stateHeader(), mediaType)
}

// respondNoStream answers a request for a stream with something else. ok is false if the fault has no
// such effect.
func (t *Target) respondNoStream(conn net.Conn, id string, fault RequestFault) (isOpen, ok bool) {
	header := t.stampHeader(id) + "Content-Type: text/plain\r\n"
	switch fault {
	case NotFound:
		return writeResponse(conn, http.StatusNotFound, header, errorText), true
	case OtherType:
		return writeResponse(conn, http.StatusOK, header, errorText), true
	case CutHead:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"X-Cut: "+errorText)
		return false, true
	}
	return false, false
}

// eventsUnder returns the events that a stream with a fault sends, and the time between two of them.
func (t *Target) eventsUnder(r *http.Request, fault RequestFault) (first, count int, interval time.Duration) {
	count, interval = t.events(r)
	first = firstEvent(r)
	switch fault {
	case Rerun:
		first = 0
	case EmptyStream:
		count = first
	}
	return first, count, interval
}

// respondUnframedStream answers with a stream that has neither a length nor chunks and ends with its
// connection. UnframedReset resets the connection between two events.
func (t *Target) respondUnframedStream(conn net.Conn, r *http.Request, fault RequestFault) bool {
	id := r.Header.Get("X-Request-Id")
	count, interval := t.events(r)
	_, _ = io.WriteString(conn, t.streamHead(id)+"\r\n")
	for i := firstEvent(r); i < count; i++ {
		time.Sleep(interval)
		event := t.event(i, id)
		switch {
		case fault == UnframedEmpty:
			return false
		case i == 2 && fault == UnframedCut:
			_, _ = io.WriteString(conn, event[:8])
			return false
		case i == 2 && fault == UnframedReset:
			time.Sleep(crashLag) // the events must arrive before the reset
			return resetOnClose(conn)
		case i == 2 && fault == UnframedKill:
			time.Sleep(crashLag)
			t.Crash()
			return false
		case i == 2 && fault == UnframedHold:
			return readUntilClosed(conn)
		}
		_, _ = io.WriteString(conn, event)
	}
	return false
}

// SetLeftover sets bytes that the target sends before its answer to the next request on a connection that
// had others, like a late answer to one of those.
func (t *Target) SetLeftover(answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leftover = answer
}

// takeLeftover returns the bytes and removes them.
func (t *Target) takeLeftover() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := t.leftover
	t.leftover = ""
	return answer
}
