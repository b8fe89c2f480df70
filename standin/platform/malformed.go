package platform

import (
	"fmt"
	"net"
	"net/http"
)

// Faults of answers that run the request and send bytes that look like an answer and are none.
const (
	// BadStatus has a status below 100, BadInterim a final status below 200.
	BadStatus  RequestFault = "BadStatus"
	BadInterim RequestFault = "BadInterim"
	// BadName has a field whose name has a blank. BadLength and BadChunks have a blank before the colon of
	// the length and of the transfer encoding.
	BadName   RequestFault = "BadName"
	BadLength RequestFault = "BadLength"
	BadChunks RequestFault = "BadChunks"
	// FoldedLine has a line that continues the one before.
	FoldedLine RequestFault = "FoldedLine"
)

// MalformedMark is part of the bytes that a target sends with a malformed answer. Callers mustn't get it.
const MalformedMark = "malformed-mark"

// isMalformed reports whether a fault sends bytes that are no answer, although they look like one.
func isMalformed(fault RequestFault) bool {
	switch fault {
	case BadStatus, BadInterim, BadName, BadLength, BadChunks, FoldedLine:
		return true
	}
	return false
}

// sendMalformed sends a malformed answer. It reports whether the connection stays open.
func (t *Target) sendMalformed(conn net.Conn, r *http.Request, fault RequestFault) bool {
	const mark = "X-Upstream-Stamp: " + MalformedMark + "\r\n"
	header := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n" + mark + t.stateHeader()
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(MalformedMark), MalformedMark)
	text := ""
	switch fault {
	case BadStatus:
		text = "HTTP/1.1 000 \r\n" + header + "\r\nHTTP/1.1 200 OK\r\n" + header + body
	case BadInterim: // a refusal of which the caller could be told that the request hasn't run
		text = "HTTP/1.1 199 \r\n\r\nHTTP/1.1 503 Service Unavailable\r\n" + header + "X-Not-Executed: 1\r\n" + body
	case BadName:
		text = "HTTP/1.1 200 OK\r\n" + header + "X Bad Name: " + MalformedMark + "\r\n" + body
	case BadLength:
		text = "HTTP/1.1 200 OK\r\n" + header + "Content-Length : 4\r\nConnection: close\r\n\r\n" + MalformedMark
	case BadChunks:
		text = "HTTP/1.1 200 OK\r\n" + header + fmt.Sprintf("Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(MalformedMark), MalformedMark)
	case FoldedLine:
		text = "HTTP/1.1 200 OK\r\n" + header + " folded\r\n" + body
	}
	_, err := fmt.Fprint(conn, text)
	return err == nil && fault != BadLength && fault != BadChunks
}
