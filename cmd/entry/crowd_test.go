package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// startRequest writes the head of a request without its last, empty line.
func startRequest(c net.Conn, path, id string, fields ...string) {
	head := "POST " + path + " HTTP/1.1\r\nHost: " + crowdHost + "\r\nX-Request-Id: " + id + "\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	_, _ = io.WriteString(c, head) // a closed connection shows in the next write
}

// sendUntilClosed writes a piece again and again, up to a number of bytes or the end of the connection.
func sendUntilClosed(c net.Conn, piece []byte, size int) {
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}

// chunks returns a body in chunks of a size, without its end.
func chunks(body, size int) []byte {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("c", size))
	return bytes.Repeat(chunk, body/size)
}

// endlessHead sends a head without end.
func endlessHead(c net.Conn) {
	startRequest(c, "/calls/x", "head")
	sendUntilClosed(c, []byte("X-Long: "+strings.Repeat("h", 4000)+"\r\n"), crowdExcess)
}

// largeHead stops within a line of a head of nearly the largest size that the server reads.
func largeHead(c net.Conn) {
	startRequest(c, "/calls/x", "head")
	sendUntilClosed(c, []byte("X-Long: "+strings.Repeat("h", crowdReadHead-1024)), 1)
}

func emptyLines(c net.Conn) { sendUntilClosed(c, []byte(strings.Repeat("\r\n", 2048)), crowdExcess) }

// unfinishedChunks sends a body in chunks of a size and stops short of its end.
func unfinishedChunks(size int) func(c net.Conn) {
	body := chunks(crowdMaxBody-64<<10, size)
	return func(c net.Conn) {
		startRequest(c, "/calls/x", "chunks", "Transfer-Encoding: chunked", "")
		sendUntilClosed(c, body, 1)
	}
}

// unfinishedLength announces the largest body and stops short of its end.
func unfinishedLength(c net.Conn) {
	startRequest(c, "/calls/x", "length", "Content-Length: "+strconv.Itoa(crowdMaxBody), "")
	sendUntilClosed(c, make([]byte, crowdMaxBody-1), 1)
}

// announcedExcess announces a body far over the limit and sends some of it.
func announcedExcess(c net.Conn) {
	startRequest(c, "/calls/x", "announced", "Content-Length: "+strconv.FormatInt(1<<40, 10), "")
	sendUntilClosed(c, make([]byte, 64<<10), crowdExcess)
}

// sentExcess sends a body far over the limit without announcing it.
func sentExcess(c net.Conn) {
	startRequest(c, "/calls/x", "sent", "Transfer-Encoding: chunked", "")
	sendUntilClosed(c, chunks(64<<10, 64<<10), crowdExcess)
}

// unreadAnswer asks for a large answer and reads nothing of it.
func unreadAnswer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10) // the default would only take more of the answer
	}
	startRequest(c, "/large/x", "unread", "Content-Length: 0", "")
}

// Guards against heads without end that exceed the memory.
func TestCrowdOfEndlessHeads(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, endlessHead)
	b.check()
}

// Guards against unfinished heads that together exceed the memory.
func TestCrowdOfLargeHeads(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(8*crowdSize, b.caller, largeHead)
	b.check()
}

// Guards against empty lines without end before a request that exceed the memory.
func TestCrowdOfEmptyLines(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, emptyLines)
	b.check()
}

// Guards against unfinished bodies in large chunks that together exceed the memory.
func TestCrowdOfLargeChunks(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, unfinishedChunks(64<<10))
	b.check()
}

// Guards against unfinished bodies in chunks of 8 bytes that together exceed the memory.
func TestCrowdOfSmallChunks(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, unfinishedChunks(8))
	b.check()
}

// Guards against bodies of a stated length that stop short of it and together exceed the memory.
func TestCrowdOfUnfinishedLengths(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, unfinishedLength)
	b.check()
}

// Guards against announced bodies far over the limit that exceed the memory.
func TestCrowdOfAnnouncedExcess(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, announcedExcess)
	b.check()
}

// Guards against bodies far over the limit that aren't announced and together exceed the memory.
func TestCrowdOfSentExcess(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, sentExcess)
	b.check()
}

// Guards against unread answers that together exceed the memory.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.caller, unreadAnswer)
	b.check()
}

// Guards against idle connections of callers that leave too few descriptors for targets and the store.
func TestCrowdOfConnections(t *testing.T) {
	b := newCrowdBed(t, crowdFewFiles)
	b.crowd(crowdSize, b.caller, func(net.Conn) {})
	b.check()
}

// Guards against bodies from other instances that together exceed the memory.
func TestCrowdAtPeerAddress(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	hop := []string{"Gorseline-Detour: second", "Gorseline-Configuration: 1", "Gorseline-Runs: 0"}
	b.request(b.peer, "/calls/hop", hop...)
	b.crowd(crowdSize, b.peer, func(c net.Conn) {
		startRequest(c, "/calls/x", "hop", append(hop[:len(hop):len(hop)], "Content-Length: "+strconv.Itoa(crowdMaxBody), "")...)
		sendUntilClosed(c, make([]byte, crowdMaxBody-1), 1)
	})
	b.check()
}

// Guards against bodies at the address for metrics that exceed the memory.
func TestCrowdAtMetricsAddress(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	b.crowd(crowdSize, b.metrics, unfinishedLength)
	b.check()
}

// Guards against requests within the limits that wait for slow targets and together exceed the memory, and
// against refusals of requests that have run.
func TestCrowdOfUploads(t *testing.T) {
	b := newCrowdBed(t, crowdFiles)
	answers := make(chan *http.Response, crowdUploads)
	serial := make(chan int, crowdUploads)
	for i := range crowdUploads {
		serial <- i
	}
	b.crowd(crowdUploads, b.caller, func(c net.Conn) {
		id := fmt.Sprintf("upload-%d", <-serial)
		startRequest(c, "/uploads/x", id, "Content-Length: "+strconv.Itoa(crowdMaxBody), "")
		sendUntilClosed(c, make([]byte, crowdMaxBody), 1)
		response, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // ends with its connection
		if err != nil {
			return
		}
		response.Header.Set("X-Request-Id", id)
		answers <- response
	})
	close(answers)
	b.check()
	runs := map[string]bool{}
	for _, run := range b.slow.Runs() {
		runs[run.ID] = true
	}
	for answer := range answers {
		if id := answer.Header.Get("X-Request-Id"); answer.StatusCode != http.StatusOK && runs[id] {
			t.Errorf("%s has run and was answered %d", id, answer.StatusCode)
		}
	}
	if len(runs) == 0 {
		t.Error("no upload has run")
	}
}

// Guards against all kinds of senders at once.
func TestCrowdOfAllKinds(t *testing.T) {
	b := newCrowdBed(t, crowdFewFiles)
	senders := []func(net.Conn){
		endlessHead, largeHead, emptyLines, unfinishedChunks(64 << 10), unfinishedChunks(8), unfinishedLength,
		announcedExcess, sentExcess, unreadAnswer,
	}
	next := make(chan func(net.Conn), 2*crowdSize)
	for i := range cap(next) {
		next <- senders[i%len(senders)]
	}
	b.crowd(cap(next), b.caller, func(c net.Conn) { (<-next)(c) })
	b.check()
}
