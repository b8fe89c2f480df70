package platform

import (
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// Faults of answers that end in ways that must not look complete.
const (
	// EndingUpload answers a request with a long body before it has read it, without Content-Length or
	// chunks, and resets the connection after a part of the answer.
	EndingUpload RequestFault = "EndingUpload"
	// EndingGivenUp does the same but keeps the connection open and reads no more, so that the client's
	// kernel gives the connection up.
	EndingGivenUp RequestFault = "EndingGivenUp"
	// EndingBoundary answers without Content-Length or chunks and resets the connection after a part, a
	// stream between two events.
	EndingBoundary RequestFault = "EndingBoundary"
	// EndingError breaks a stream between two events, and answers a request to go on with an error.
	EndingError RequestFault = "EndingError"
)

// EndingFaults are the faults of answers that end in ways that must not look complete.
var EndingFaults = []RequestFault{EndingUpload, EndingGivenUp, EndingBoundary, EndingError}

const (
	// longBody is the length of a body in bytes from which EndingUpload and EndingGivenUp apply. It is more
	// than the kernel takes for a process that doesn't read.
	longBody = 256 << 10
	// readPart is how much of a long body is read before a part of the answer is sent.
	readPart = 64 << 10
	// arrivalTime is the time that bytes need to arrive before a reset.
	arrivalTime = 20 * time.Millisecond
	// givenUpTime is how long EndingGivenUp keeps the connection open. Clients give up after 3 s.
	givenUpTime = 5 * time.Second
)

// applyEnding returns the fault, or "" if it is one of EndingFaults that doesn't apply to a request.
func (t *Target) applyEnding(r *http.Request, fault RequestFault) RequestFault {
	if !slices.Contains(EndingFaults, fault) {
		return fault
	}
	isStream := t.currentPhase() != ""
	switch {
	case r.Header.Get("X-Phase") == "prefill", fault == EndingError && !isStream, isEarly(fault) && r.ContentLength < longBody:
		return ""
	}
	return fault
}

// isEarly reports whether a fault answers before the body of the request has been read.
func isEarly(fault RequestFault) bool { return fault == EndingUpload || fault == EndingGivenUp }

// respondEarly answers with a part before the body of the request has been read.
func (t *Target) respondEarly(conn net.Conn, r *http.Request, fault RequestFault) bool {
	defer t.recordEnd(t.recordRun(r, "", fault))
	if fault == EndingUpload {
		if _, err := io.CopyN(io.Discard, r.Body, readPart); err != nil {
			return false
		}
	}
	t.writePart(conn, r)
	wait := arrivalTime
	if fault == EndingGivenUp {
		wait = givenUpTime
	}
	select {
	case <-time.After(wait):
	case <-t.closed:
	}
	return resetOnClose(conn)
}

// writePart writes a part of the answer without Content-Length or chunks. The connection has failed if
// that fails, which its client finds too.
func (t *Target) writePart(conn net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	head, part := "HTTP/1.1 200 OK\r\n"+t.stampHeader(id)+t.stateHeader(), "answer to "
	if t.currentPhase() != "" {
		head, part = t.streamHead(id), ""
		count, _ := t.events(r)
		first := firstEvent(r)
		for i := first; i < min(first+2, count-1); i++ {
			part += t.event(i, id)
		}
	}
	_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+part)
}

// respondEnding answers a request with EndingBoundary or EndingError.
func (t *Target) respondEnding(conn net.Conn, r *http.Request, fault RequestFault) bool {
	if fault == EndingError && r.Header.Get("Last-Event-Id") != "" {
		const body = "HTTP/1.1 500 Internal Server Error\r\n\r\nbytes that are no answer\n"
		writeResponse(conn, 500, t.nameHeader(r.Header.Get("X-Request-Id"))+"Content-Type: text/event-stream\r\nConnection: close\r\n", body)
		return false
	}
	t.writePart(conn, r)
	time.Sleep(arrivalTime)
	return resetOnClose(conn)
}
