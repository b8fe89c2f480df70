package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	standin "gorseline/standin/platform"
)

// promptHeader is the header of a prompt whose answer has the given number of events.
func promptHeader(events int) []string {
	return []string{"X-Model", "m", "X-Token-Count", fmt.Sprintf("5000,%d", events), "X-Prompt-Prefix", "ab:4000,cd:1000"}
}

// Guards against streams that are cut in the middle at the end of the grace period, since the
// leaving instance took them although it could not finish them.
func TestLeavingInstanceCutsNoStream(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	i.mu.Lock()
	i.settings.Bounds.StopGrace = 4600 * time.Millisecond
	i.mu.Unlock()
	for _, tg := range s.targets {
		tg.SetEvents(1000, 5*time.Millisecond)
	}
	for n := range 10 {
		if got := i.call(t, "/stream/x", fmt.Sprintf("learn%d", n), promptHeader(17)...); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		i.drain()
	}()
	time.Sleep(600 * time.Millisecond)
	if got := i.call(t, "/stream/x", "short", promptHeader(20)...); got.status != 200 || strings.Count(got.body, "id: ") != 20 {
		t.Errorf("%+v", got)
	}
	// 1.9 s and 1.6 s for a pause; at most 3.3 s are left.
	if got := i.call(t, "/stream/x", "long", promptHeader(380)...); got.status != 503 || !got.close {
		t.Errorf("status %d, %d events", got.status, strings.Count(got.body, "id: "))
	}
	<-drained
	s.eventually(time.Second, "a log line says that all requests ended", func() bool {
		return strings.Contains(i.output.String(), "Event=Left ")
	})
}

// Guards against requests that may run once at most and that a leaving instance takes and cuts at the end
// of the grace period, since they take far longer than those before them.
func TestLeavingInstanceCutsNoCallThatRunsOnce(t *testing.T) {
	s := newSite(t)
	const timeout = `"kind":"unsafe","timeout_ms":`
	s.store.Put("op", "config", []byte(strings.Replace(fmt.Sprintf(siteConfiguration, 1), timeout+"2000", timeout+"6000", 1)))
	i, other := s.start("n1"), s.start("n2")
	for n := range 100 {
		if got := i.call(t, "/once/x", fmt.Sprintf("learn%d", n)); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		i.drain() // 2.3 s are left for requests
	}()
	s.eventually(time.Second, "the instance leaves", func() bool { return strings.Contains(i.output.String(), "Event=DrainStarted") })
	// Its own deadline lies within what is left.
	if got := i.call(t, "/once/x", "short", "X-Deadline-Ms", "1000"); got.status != 200 || !got.close {
		t.Errorf("%+v", got)
	}
	if got := i.call(t, "/repeatable/x", "repeatable"); got.status != 200 {
		t.Errorf("%+v", got)
	}
	for _, tg := range s.targets[:2] {
		tg.SetProcessingTime(3 * time.Second)
	}
	if got := i.call(t, "/once/x", "slow"); got.status != 503 || !got.close {
		t.Errorf("%+v", got)
	}
	if got := other.call(t, "/once/x", "slow elsewhere"); got.status != 200 {
		t.Errorf("%+v", got)
	}
	<-drained
	for _, tg := range s.targets {
		for _, run := range tg.Runs() {
			if run.ID == "slow" {
				t.Error("a request that was refused has run")
			}
		}
	}
	if strings.Contains(i.output.String(), "Event=LeftEarly") {
		t.Error("requests were ended")
	}
}

// Guards against requests whose connection is closed without an answer or a log line when the
// grace period ends.
func TestEndOfGraceAnswersRequests(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	i.mu.Lock()
	i.settings.Bounds.StopGrace = 1500 * time.Millisecond
	i.mu.Unlock()
	for _, tg := range s.targets {
		tg.SetEvents(1000, 5*time.Millisecond)
	}
	s.targets[0].InjectFaults(standin.Hang)
	s.targets[1].InjectFaults(standin.Hang)
	call, stream, body := make(chan reply, 1), make(chan reply, 1), make(chan reply, 1)
	go func() { call <- i.call(t, "/once/x", "call") }()
	go func() { stream <- i.call(t, "/stream/x", "stream", promptHeader(1000)...) }()
	go func() { body <- i.callWithoutBody(t, "/once/x", "body") }()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	i.stop(t)
	if took := time.Since(began); took > 1400*time.Millisecond {
		t.Errorf("took %v of a grace period of 1.5 s", took)
	}
	// It may have run.
	if got := <-call; got.status != 502 || !got.close {
		t.Errorf("call: %+v", got)
	}
	if got := <-body; got.status != 503 || !got.close {
		t.Errorf("request without its body: %+v", got)
	}
	// An answer that has begun must not look complete.
	if got := <-stream; got.status != 0 {
		t.Errorf("stream: %+v", got)
	}
	s.eventually(time.Second, "log lines of the requests that were cut", func() bool {
		text := i.output.String()
		return strings.Count(text, "Reason=Stopped") == 3 && strings.Contains(text, "Event=LeftEarly") && strings.Contains(text, "Cut=3")
	})
	if strings.Contains(i.output.String(), "Event=Left ") {
		t.Error("a log line says that no request was ended")
	}
}

// Guards against a grace period of which nothing is left for the requests in progress.
func TestShortGraceFinishesRequests(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	i.mu.Lock()
	i.settings.Bounds.StopGrace = 800 * time.Millisecond
	i.mu.Unlock()
	for _, tg := range s.targets {
		tg.SetProcessingTime(250 * time.Millisecond)
	}
	call := make(chan reply, 1)
	go func() { call <- i.call(t, "/once/x", "r1") }()
	time.Sleep(100 * time.Millisecond)
	i.stop(t)
	if got := <-call; got.status != 200 {
		t.Errorf("%+v", got)
	}
}

// Guards against an exit after the grace period because the release of a KV cache isn't answered.
func TestReleasesEndWithGrace(t *testing.T) {
	const grace = 1500 * time.Millisecond
	s := newSite(t)
	i := s.start("n1")
	i.mu.Lock()
	i.settings.Bounds.StopGrace = grace
	i.mu.Unlock()
	s.targets[3].InjectFaults(standin.Hang)
	stream := make(chan reply, 1)
	go func() { stream <- i.call(t, "/stream/x", "r1", promptHeader(50)...) }()
	s.eventually(time.Second, "the prompt has been computed", func() bool {
		return len(s.targets[3].Arrivals()) > 0
	})
	s.targets[2].Freeze(2 * grace)
	began := time.Now()
	i.drain()
	if took := time.Since(began); took > grace-100*time.Millisecond {
		t.Errorf("took %v of a grace period of %v", took, grace)
	}
	if got := <-stream; got.status != 502 {
		t.Errorf("%+v", got)
	}
	s.eventually(time.Second, "a log line for a release that was given up", func() bool {
		return strings.Contains(i.output.String(), "Event=ReleaseFailed")
	})
}

// Guards against an idle instance that waits for a connection without a request, and then reports
// that it ended requests.
func TestUnusedConnectionDoesNotDelayExit(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	conn, err := net.Dial("tcp4", i.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(50 * time.Millisecond) // until the server has accepted it
	began := time.Now()
	i.drain()
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("took %v", took)
	}
	s.eventually(time.Second, "a log line says that the instance has left", func() bool {
		return strings.Contains(i.output.String(), "Event=Left ")
	})
	if strings.Contains(i.output.String(), "Event=LeftEarly") {
		t.Error("a log line says that requests were ended")
	}
}

// stop lets the instance leave and stops it, as after a signal.
func (i *instance) stop(t *testing.T) {
	t.Helper()
	i.drain()
	ctx, cancel := context.WithTimeout(t.Context(), appStopTimeout)
	defer cancel()
	if err := i.app.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// callWithoutBody sends the header of a request and none of its body, and returns the reply.
func (i *instance) callWithoutBody(t *testing.T, path, id string) reply {
	conn, err := net.Dial("tcp4", i.settings.CallerAddress)
	if err != nil {
		t.Error(err)
		return reply{}
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\n", path, id); err != nil {
		t.Error(err)
		return reply{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	return reply{status: resp.StatusCode, close: resp.Close}
}
