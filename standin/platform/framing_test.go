package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendRaw sends bytes on a new connection and returns the statuses of the responses until the
// connection ends or 400 ms have passed.
func (f *fixture) sendRaw(text string) []int {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(400 * time.Millisecond)); err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return nil
	}
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body) // a broken response ends the loop
		_ = resp.Body.Close()                 // the connection is closed on return
		statuses = append(statuses, resp.StatusCode)
	}
}

// requestHead returns the request line and headers of a request, up to the blank line.
func requestHead(id string, lines ...string) string {
	return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n" + strings.Join(append(lines, "", ""), "\r\n")
}

// smuggled is a request that is part of another request's body and must never run on its own.
var smuggled = requestHead("smuggled", "Content-Length: 0")

// Guards against request smuggling by ambiguous framing, such as two lengths, or a length and
// chunks, in one request.
func TestAmbiguousFramingDoesNotSmuggle(t *testing.T) {
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	tests := map[string]string{
		"two lengths":           requestHead("r1", "Content-Length: 0", fmt.Sprintf("Content-Length: %d", len(smuggled))) + smuggled,
		"length and chunks":     requestHead("r1", "Content-Length: 4", "Transfer-Encoding: chunked") + chunked,
		"chunks and length":     requestHead("r1", "Transfer-Encoding: chunked", "Content-Length: 4") + chunked,
		"space before colon":    requestHead("r1", "Content-Length : 0") + smuggled,
		"signed length":         requestHead("r1", "Content-Length: +0") + smuggled,
		"unknown encoding":      requestHead("r1", "Transfer-Encoding: gzip, chunked") + chunked,
		"hidden encoding":       requestHead("r1", "Transfer-Encoding: xchunked", "Content-Length: 0") + smuggled,
		"chunk size with sign":  requestHead("r1", "Transfer-Encoding: chunked") + "-1\r\n" + smuggled,
		"newline in the header": requestHead("r1", "X-A: b\rContent-Length: 0") + smuggled,
	}
	for name, text := range tests {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "")
			f.sendRaw(text)
			for _, run := range f.targets[0].Runs() {
				if run.ID != "r1" || run.Body != "" && run.Body != smuggled {
					t.Errorf("%s with body %.60q ran", run.ID, run.Body)
				}
			}
		})
	}
}

// Guards against pipelined requests that are lost or get another request's body.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t, "")
	var text strings.Builder
	for i := range 5 {
		text.WriteString(requestHead(fmt.Sprintf("p%d", i), "Content-Length: 2") + "ab")
	}
	if got := f.sendRaw(text.String()); len(got) != 5 {
		t.Errorf("responses %v", got)
	}
	for i := range 5 {
		if runs := f.runs(fmt.Sprintf("p%d", i)); len(runs) != 1 || runs[0].Body != "ab" {
			t.Errorf("request %d: runs %+v", i, runs)
		}
	}
}

// Guards against memory exhaustion by oversized headers.
func TestOversizedHeaderIsRefused(t *testing.T) {
	f := newFixture(t, "")
	got := f.sendRaw("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: big\r\nX-Big: " + strings.Repeat("b", 1<<20) + "\r\n\r\n")
	if len(got) > 0 && got[0] != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("responses %v", got)
	}
	if runs := f.runs("big"); len(runs) > 0 {
		t.Error("a request with a huge header ran")
	}
}

// Guards against corrupted requests that run more than once or with a body that differs from
// what was sent. Bytes of valid requests are replaced at random.
func TestCorruptedRequestsRunAsSentOrNotAtAll(t *testing.T) {
	f := newFixture(t, "")
	rng := rand.New(rand.NewPCG(11, 1))
	const sent = "abcdef"
	for i := range 60 {
		id := fmt.Sprintf("d%d", i)
		text := []byte(requestHead(id, "Content-Length: 6") + sent)
		// Other bytes of the ID or of the path would give another valid request.
		start := strings.Index(string(text), "Content-Length")
		for range 1 + rng.IntN(3) {
			text[start+rng.IntN(20)] = byte(rng.IntN(128))
		}
		f.sendRaw(string(text))
		runs := f.runs(id)
		if len(runs) > 1 {
			t.Fatalf("%q ran %d times", text, len(runs))
		}
		if len(runs) == 1 && !strings.HasPrefix(sent, runs[0].Body) {
			t.Fatalf("%q ran with body %q", text, runs[0].Body)
		}
	}
}
