package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/intake"
)

// waitForUsed waits until a number of bytes is in use.
func waitForUsed(t *testing.T, b *intake.Budget, bytes int64) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); b.Stats().Used != bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes are in use, not %d", b.Stats().Used, bytes)
		}
	}
}

// Guards against headers that hold memory beside the budget, and against memory that isn't given back.
func TestHeadersCountInTheBudget(t *testing.T) {
	const limit = 128 << 10
	b := intake.NewBudget(limit, core.NewProcessClock())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var callers connections
	callers.budget = b
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	callers.watch(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(callerListener{l, b}) }()
	t.Cleanup(func() {
		_ = s.Close() // the error is that of Serve
		<-served
	})
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	waitForUsed(t, b, connectionMemory)
	answers := bufio.NewReader(conn)
	for range 2 {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("h", 16<<10)); err != nil {
			t.Fatal(err)
		}
		for until := time.Now().Add(30 * time.Second); b.Stats().Used < connectionMemory+headerFactor*(12<<10); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d bytes are in use", b.Stats().Used)
			}
		}
		if _, err := io.WriteString(conn, "\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := http.ReadResponse(answers, nil) //nolint:bodyclose // it has no body
		if err != nil || answer.StatusCode != http.StatusNoContent {
			t.Fatalf("%+v, %v", answer, err)
		}
		waitForUsed(t, b, connectionMemory)
	}
	rest := b.NewHold(func() {})
	if !rest.Reserve(60<<10) || !rest.Reserve(40<<10) || !rest.Finish() {
		t.Fatal("the budget is too small")
	}
	// A reset is an end too.
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("h", 16<<10))
	if answer, err := http.ReadResponse(answers, nil); err == nil { //nolint:bodyclose // there is none
		t.Errorf("answered %d without memory", answer.StatusCode)
	}
	rest.Close()
	waitForUsed(t, b, 0)
}
