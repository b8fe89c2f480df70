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

// raw sends bytes on a connection of its own and returns the statuses of the answers until
// the connection ends or nothing more comes.
func (r *rig) raw(text string) []int {
	r.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.server.URL, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(400 * time.Millisecond)); err != nil {
		r.t.Fatal(err)
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
		_, _ = io.Copy(io.Discard, resp.Body) // an answer that breaks off ends the loop
		_ = resp.Body.Close()                 // the connection is closed with the test
		statuses = append(statuses, resp.StatusCode)
	}
}

// head returns the head of a request with an ID.
func head(id string, lines ...string) string {
	return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n" + strings.Join(append(lines, "", ""), "\r\n")
}

// smuggled is a request that must never run on its own: it is part of another's body.
var smuggled = head("smuggled", "Content-Length: 0")

// Guards against requests smuggled inside others by lengths that can be read in two ways.
func TestAmbiguousFramingSmugglesNothing(t *testing.T) {
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	tests := map[string]string{
		"two lengths":           head("r1", "Content-Length: 0", fmt.Sprintf("Content-Length: %d", len(smuggled))) + smuggled,
		"length and chunks":     head("r1", "Content-Length: 4", "Transfer-Encoding: chunked") + chunked,
		"chunks and length":     head("r1", "Transfer-Encoding: chunked", "Content-Length: 4") + chunked,
		"space before colon":    head("r1", "Content-Length : 0") + smuggled,
		"signed length":         head("r1", "Content-Length: +0") + smuggled,
		"unknown encoding":      head("r1", "Transfer-Encoding: gzip, chunked") + chunked,
		"hidden encoding":       head("r1", "Transfer-Encoding: xchunked", "Content-Length: 0") + smuggled,
		"chunk size with sign":  head("r1", "Transfer-Encoding: chunked") + "-1\r\n" + smuggled,
		"newline in the header": head("r1", "X-A: b\rContent-Length: 0") + smuggled,
	}
	for name, text := range tests {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, "")
			r.raw(text)
			for _, run := range r.targets[0].Runs() {
				if run.ID != "r1" || run.Body != "" && run.Body != smuggled {
					t.Errorf("%s with body %.60q ran", run.ID, run.Body)
				}
			}
		})
	}
}

// Guards against pipelined requests that are mixed up or lost.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	r := newRig(t, "")
	var text strings.Builder
	for i := range 5 {
		text.WriteString(head(fmt.Sprintf("p%d", i), "Content-Length: 2") + "ab")
	}
	if got := r.raw(text.String()); len(got) != 5 {
		t.Errorf("answers %v", got)
	}
	for i := range 5 {
		if runs := r.runs(fmt.Sprintf("p%d", i)); len(runs) != 1 || runs[0].Body != "ab" {
			t.Errorf("request %d: runs %+v", i, runs)
		}
	}
}

// Guards against headers without end that hold memory, and slow ones that hold a process.
func TestHugeAndBrokenHeadersAreRefused(t *testing.T) {
	r := newRig(t, "")
	got := r.raw("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: big\r\nX-Big: " + strings.Repeat("b", 1<<20) + "\r\n\r\n")
	if len(got) > 0 && got[0] != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("answers %v", got)
	}
	if runs := r.runs("big"); len(runs) > 0 {
		t.Error("a request with a huge header ran")
	}
}

// Guards, over random damage of proper requests, against bodies that differ from what was
// sent and against more runs than requests.
func TestDamagedRequestsRunAsSentOrNotAtAll(t *testing.T) {
	r := newRig(t, "")
	rng := rand.New(rand.NewPCG(11, 1))
	const sent = "abcdef"
	for i := range 60 {
		id := fmt.Sprintf("d%d", i)
		text := []byte(head(id, "Content-Length: 6") + sent)
		// Damage of the ID or of the path would make another proper request.
		start := strings.Index(string(text), "Content-Length")
		for range 1 + rng.IntN(3) {
			text[start+rng.IntN(20)] = byte(rng.IntN(128))
		}
		r.raw(string(text))
		runs := r.runs(id)
		if len(runs) > 1 {
			t.Fatalf("%q ran %d times", text, len(runs))
		}
		if len(runs) == 1 && !strings.HasPrefix(sent, runs[0].Body) {
			t.Fatalf("%q ran with body %q", text, runs[0].Body)
		}
	}
}
