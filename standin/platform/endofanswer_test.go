package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gorseline/standin/platform"
)

// rawAnswer is an answer as the bytes that arrive at the caller's socket.
type rawAnswer struct {
	head, body string
	// err is how the connection ended: nil is a proper end.
	err error
}

// isStated reports whether the header tells how the end of the body is marked.
func (a *rawAnswer) isStated() bool {
	return strings.Contains(a.head, "Transfer-Encoding: chunked") || strings.Contains(a.head, "Content-Length:")
}

// isWhole reports whether a caller takes the answer for complete.
func (a *rawAnswer) isWhole() bool {
	if strings.Contains(a.head, "Transfer-Encoding: chunked") {
		return strings.HasSuffix(a.body, "\r\n0\r\n\r\n")
	}
	return strings.HasPrefix(a.head, "HTTP/1.1 200") && a.err == nil
}

// dialRaw sends a request on a connection of its own, which the caller wants to be closed after the answer.
func (f *fixture) dialRaw(path, protocol string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(2 * routeTimeout)); err != nil {
		f.t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: r1\r\nX-Model: m\r\n"+
		"X-Token-Count: 3000,100\r\nX-Prompt-Prefix: ab:2500,cd:500\r\nContent-Length: 0\r\n\r\n", path, protocol)
	if err != nil {
		f.t.Fatal(err)
	}
	return conn
}

func readRaw(conn net.Conn) *rawAnswer {
	data, err := io.ReadAll(conn)
	head, body, _ := strings.Cut(string(data), "\r\n\r\n")
	return &rawAnswer{head, body, err}
}

// exchangeRaw sends a request and reads the answer to the end of the connection.
func (f *fixture) exchangeRaw(path string) *rawAnswer {
	f.t.Helper()
	return readRaw(f.dialRaw(path, "HTTP/1.1"))
}

// newEndFixture returns a fixture with one target of each kind, and the one with faults that generates or
// answers. If isDetour is set, its requests come through another instance.
func newEndFixture(t *testing.T, isDetour bool) (f *fixture, generator, plain *platform.Target) {
	t.Helper()
	f = newFixture(t, "prefill", "decode", "")
	generator, plain = f.targets[1], f.targets[2]
	for _, tg := range f.targets {
		tg.SetDownTime(time.Minute)
	}
	if isDetour {
		f = newCutFixture(t, f)
	}
	return f, generator, plain
}

// eachWay runs a test for streams and other answers, directly and through another instance.
func eachWay(t *testing.T, run func(t *testing.T, f *fixture, tg *platform.Target, path string)) {
	t.Helper()
	for _, isDetour := range []bool{false, true} {
		for _, path := range []string{"/single/x", "/once/x"} {
			t.Run(fmt.Sprintf("detour-%v%s", isDetour, strings.ReplaceAll(path, "/", "-")), func(t *testing.T) {
				t.Parallel()
				f, generator, plain := newEndFixture(t, isDetour)
				tg := plain
				if path == "/single/x" {
					tg = generator
				}
				run(t, f, tg, path)
			})
		}
	}
}

// Guards against an end of an answer that its target hasn't stated and that the caller is told as stated.
func TestUnstatedEndIsRelayedUnstated(t *testing.T) {
	eachWay(t, func(t *testing.T, f *fixture, tg *platform.Target, path string) {
		tg.InjectFaults(platform.Unframed)
		got := f.exchangeRaw(path)
		if got.isStated() || !strings.Contains(got.head, "Connection: close") {
			t.Errorf("head %q", got.head)
		}
		if got.body != completeStream() && got.body != "answer to r1" || got.err != nil {
			t.Errorf("body %q, %v", got.body, got.err)
		}
	})
}

// Guards against answers of which only a part has arrived and whose connection to the caller ends like
// that of a whole one.
func TestBrokenUnstatedAnswerEndsWithReset(t *testing.T) {
	for _, fault := range []platform.RequestFault{platform.UnframedReset, platform.UnframedKill, platform.UnframedCut} {
		t.Run(string(fault), func(t *testing.T) {
			eachWay(t, func(t *testing.T, f *fixture, tg *platform.Target, path string) {
				tg.InjectFaults(fault)
				got := f.exchangeRaw(path)
				isBroken := fault != platform.UnframedCut || path == "/single/x" // only streams have events
				if got.isWhole() == isBroken || isBroken && !got.isStated() && !errors.Is(got.err, syscall.ECONNRESET) {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// Guards against a part of a stream that callers without chunks take for the whole: to them all streams
// end with their connection.
func TestBrokenStreamIsResetForCallersWithoutChunks(t *testing.T) {
	f, generator, _ := newEndFixture(t, false)
	if got := readRaw(f.dialRaw("/single/x", "HTTP/1.0")); got.body != completeStream() || got.err != nil {
		t.Errorf("whole stream: %+v", got)
	}
	generator.InjectFaults(platform.CutStream)
	if got := readRaw(f.dialRaw("/single/x", "HTTP/1.0")); got.err == nil {
		t.Errorf("broken stream: %+v", got)
	}
}

// Guards against a stream that ends like a whole one because the instance ends it, or ends itself.
func TestStreamEndedByInstanceIsReset(t *testing.T) {
	ends := map[string]func(f *fixture){
		"requests are ended":     func(f *fixture) { f.forwarder.EndRequests() },
		"connections are closed": func(f *fixture) { f.server.CloseClientConnections() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, generator, _ := newEndFixture(t, false)
			generator.InjectFaults(platform.UnframedHold)
			conn := f.dialRaw("/single/x", "HTTP/1.1")
			readEvents(t, conn, "piece 1")
			end(f)
			if rest := readRaw(conn); !errors.Is(rest.err, syscall.ECONNRESET) {
				t.Errorf("%+v", rest)
			}
		})
	}
}

// readEvents reads from a connection until an event has arrived.
func readEvents(t *testing.T, conn net.Conn, event string) {
	t.Helper()
	var got []byte
	for part := make([]byte, 1<<10); !strings.Contains(string(got), event); {
		n, err := conn.Read(part)
		if err != nil {
			t.Fatalf("%v after %q", err, got)
		}
		got = append(got, part[:n]...)
	}
}

// killedInstance names the variable with which a test starts its own binary as an instance that it kills.
const killedInstance = "GORSELINE_KILLED_INSTANCE"

// Guards against a stream that ends like a whole one because the process of the instance is killed.
func TestStreamOfKilledInstanceIsReset(t *testing.T) {
	if os.Getenv(killedInstance) != "" {
		f, generator, _ := newEndFixture(t, false)
		generator.InjectFaults(platform.UnframedHold)
		fmt.Println(f.server.URL)
		time.Sleep(time.Minute) // the process is killed before
		return
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+t.Name()+"$")
	command.Env = append(os.Environ(), killedInstance+"=1")
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	url, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, server: &httptest.Server{URL: strings.TrimSpace(url)}}
	conn := f.dialRaw("/single/x", "HTTP/1.1")
	readEvents(t, conn, "piece 1")
	if err := command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if rest := readRaw(conn); !errors.Is(rest.err, syscall.ECONNRESET) {
		t.Errorf("%+v", rest)
	}
	_ = command.Wait() // it was killed
}

// Guards against a stream whose engine was killed between two events and that isn't continued, or that
// ends as complete.
func TestStreamOfKilledEngineIsContinued(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].SetDownTime(time.Minute)
	f.targets[1].InjectFaults(platform.UnframedKill)
	got := f.exchangeRaw("/resumable/x")
	if got.body != completeStream() || got.err != nil {
		t.Errorf("%+v", got)
	}
	if runs := f.runs("r1"); len(runs) != 2 {
		t.Errorf("%d runs, want 2", len(runs))
	}
}

// Guards against an end that counts on the evidence of a connection that isn't used: each new connection to
// a target has a price.
func TestProbeOfTargetIsUsedByNextRequest(t *testing.T) {
	f := newFixture(t, "")
	f.targets[0].InjectFaults(platform.Unframed)
	for _, id := range []string{"r1", "r2"} {
		if got := f.do(t.Context(), http.MethodPost, "/once/x", id, "b"); got.status != http.StatusOK || got.err != nil {
			t.Fatalf("%+v", got)
		}
	}
	if count := f.targets[0].ConnectionCount(); count != 2 {
		t.Errorf("%d connections, want that of the first answer and that of the probe", count)
	}
}

// Guards against streams that end inside an event and look complete because their media type is written
// otherwise, their status is another success, or another instance relays them.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	heads := []struct {
		status    int
		mediaType string
	}{
		{200, "text/event-stream"}, {200, "Text/Event-Stream; charset=utf-8"}, {206, "text/event-stream"}, {201, " text/event-stream ;x"},
	}
	for _, head := range heads {
		for _, fault := range []platform.RequestFault{platform.CutEvent, platform.UnframedCut, platform.UnframedEmpty, ""} {
			for _, isDetour := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d-%.4s-%s-%v", head.status, head.mediaType, fault, isDetour), func(t *testing.T) {
					t.Parallel()
					f, generator, _ := newEndFixture(t, isDetour)
					generator.SetStreamHead(head.status, head.mediaType)
					generator.InjectFaults(fault)
					got := f.sendPrompt(t.Context(), "/single/x")
					isWhole := got.status == head.status && got.err == nil
					if isWhole != (fault == "") || isWhole && got.body != completeStream() {
						t.Errorf("%+v", got)
					}
				})
			}
		}
	}
}

// Guards against a stream that ends inside an event and looks complete because an instance of an earlier
// version has relayed it so.
func TestStreamOfOtherInstanceIsChecked(t *testing.T) {
	for body, want := range map[string]bool{"id: 0\ndata: a\n\n": true, "id: 0\r\ndata: a\r\n\r\n": true, "id: 0\ndata: a\n\nid: 1\n": false} {
		other := newFixture(t, "decode")
		other.detours.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Gorseline-Detour", "other")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, body)
			_ = http.NewResponseController(w).Flush() // the stream has no length then
		})
		if got := newCutFixture(t, other).sendPrompt(t.Context(), "/single/x"); (got.err == nil) != want {
			t.Errorf("%q: %+v", body, got)
		}
	}
}
