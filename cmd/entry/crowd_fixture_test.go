package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gorseline/standin/platform"
)

// Limits of the instances under a crowd. They are far below those of a machine, so that a small crowd reaches
// them. Sizes are in bytes.
const (
	crowdMemoryMB      = 64
	crowdMaxBody       = 2 << 20
	crowdMaxHead       = 16 << 10
	crowdReadHead      = 64 << 10 // bytes of a head that the server reads before it refuses the request
	crowdFiles         = 4100
	crowdFewFiles      = 264
	reservedFiles      = 200 // part of max_fds that the platform keeps for files; the rest is for sockets and pipes
	crowdSize          = 96
	crowdUploads       = 30
	crowdHost          = "crowd.example"
	crowdTestTimeout   = 60 * time.Second
	crowdRouteTimeout  = 60 * time.Second
	crowdUploadRunTime = 2 * time.Second
	// crowdExcess is what a sender that doesn't stop sends: more than the limit of its kind of bytes.
	crowdExcess = 8 << 20
	// crowdAnswer is the size of an answer that nobody reads. It doesn't fit into the buffers of the sockets.
	crowdAnswer = 16 << 20
)

// crowdBed is a real instance with limits of its own, a store and targets.
type crowdBed struct {
	t       *testing.T
	caller  string
	peer    string
	metrics string
	maxFDs  int
	logPath string
	process *exec.Cmd
	exited  chan struct{}
	slow    *platform.Target

	mu    sync.Mutex
	conns []net.Conn
}

// newCrowdBed starts the store, the targets and an instance, and a second one for its requests from peers.
func newCrowdBed(t *testing.T, maxFDs int) *crowdBed {
	t.Helper()
	if testing.Short() || isRaceBuild {
		t.Skip("starts processes; one that is built to find races needs a multiple of the memory")
	}
	b := &crowdBed{t: t, maxFDs: maxFDs}
	store := platform.NewStore()
	storeAddress := b.serve(store.Handler())
	b.slow = b.newTarget(store, "i-1", "uploads")
	b.slow.SetProcessingTime(crowdUploadRunTime)
	b.newTarget(store, "i-2", "calls")
	large := b.serve(http.HandlerFunc(answerLarge))
	entry := b.newTarget(store, "i-3", "large")
	store.Put("servers", "i-3", []byte(strings.Replace(string(entry.RegistryEntry("large", "a", "ready")), entry.Address(), large, 1)))
	store.Put("op", "config", b.configuration())
	b.start("second", storeAddress, false)
	b.start("first", storeAddress, true)
	t.Cleanup(b.close)
	b.request(b.caller, "/calls/first") // waits until the instance serves
	return b
}

// serve serves a handler on a loopback address until the end of the test.
func (b *crowdBed) serve(h http.Handler) string {
	b.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(h)
	_ = server.Listener.Close() // replaced
	server.Listener = l
	server.Start()
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return l.Addr().String()
}

func (b *crowdBed) newTarget(store *platform.Store, id, service string) *platform.Target {
	b.t.Helper()
	target, err := platform.NewTarget(id, "")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(target.Close)
	entry := strings.Replace(string(target.RegistryEntry(service, "a", "ready")), `"slots":8`, `"slots":64`, 1)
	store.Put("servers", id, []byte(entry))
	return target
}

// answerLarge answers with a body that is far longer than the buffers of the sockets.
func answerLarge(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(crowdAnswer))
	piece := make([]byte, 64<<10)
	for range crowdAnswer / len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

func (b *crowdBed) configuration() []byte {
	b.t.Helper()
	var routes, services []map[string]any
	for _, name := range []string{"uploads", "calls", "large"} {
		routes = append(routes, map[string]any{
			"name": name, "host": crowdHost, "prefix": "/" + name + "/", "kind": "unsafe", "service": name, "attempts": 1,
			"timeout_ms": crowdRouteTimeout.Milliseconds(), "slo_ms": crowdRouteTimeout.Milliseconds(),
		})
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 630})
	}
	data, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": crowdMaxHead, "max_body_bytes": crowdMaxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	return data
}

// start starts an instance. The crowd is at the main one.
func (b *crowdBed) start(name, storeAddress string, isMain bool) {
	b.t.Helper()
	ports, err := platform.FreePorts(4)
	if err != nil {
		b.t.Fatal(err)
	}
	address := func(i int) string { return "127.0.0.1:" + strconv.Itoa(ports[i]) }
	dir := b.t.TempDir()
	settings := filepath.Join(dir, "node.toml")
	text := fmt.Sprintf(`node_name = %q
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [%d, %d]
[listen]
front = %q
ready = %q
[limits]
memory_mb = %d
max_fds = %d
[platform]
address = %q
form = "table"
`, name, ports[0], ports[0], address(1), address(2), crowdMemoryMB, b.maxFDs, storeAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		b.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--settings", settings, "--metrics-port", strconv.Itoa(ports[3]))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "GORSELINE_SOAK_CHILD=1")
	if err := cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	exited := make(chan struct{})
	go runWait(cmd, exited)
	b.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		<-exited
		_ = logFile.Close() // nothing writes to it any more
	})
	if isMain {
		b.process, b.exited, b.logPath = cmd, exited, logFile.Name()
		b.caller, b.peer, b.metrics = address(1), address(0), address(3)
	}
}

// runWait waits until a process has exited.
func runWait(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // it is killed at the end
	close(exited)
}

// close closes the connections of the crowd.
func (b *crowdBed) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close() // the instance may have closed it
	}
}

// dial opens a connection that stays open until the end of the test, and returns nil if it is refused.
func (b *crowdBed) dial(address string) net.Conn {
	c, err := net.DialTimeout("tcp4", address, crowdTestTimeout)
	if err != nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(crowdTestTimeout)) // fails only after a close
	b.conns = append(b.conns, c)
	return c
}

// crowd opens connections at once and waits until each has sent what it sends, or
// can't send more.
func (b *crowdBed) crowd(n int, address string, send func(c net.Conn)) {
	b.t.Helper()
	var sent sync.WaitGroup
	for range n {
		sent.Go(func() {
			if c := b.dial(address); c != nil {
				send(c)
			}
		})
	}
	sent.Wait()
}

// request sends a small request and repeats it while it is refused or its connection is closed.
func (b *crowdBed) request(address, path string, fields ...string) {
	b.t.Helper()
	var last error
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdTestTimeout}
	for until := time.Now().Add(crowdTestTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader("small"))
		if err != nil {
			b.t.Fatal(err)
		}
		request.Host = crowdHost
		request.Header.Set("X-Request-Id", "ordinary")
		for _, field := range fields {
			name, value, _ := strings.Cut(field, ": ")
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			last = err
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // it has been read
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Errorf("status %d, %w", response.StatusCode, err)
	}
	b.t.Errorf("an ordinary request is not answered: %v", last)
}

// settle waits until the process has read what it reads: until its memory and its sockets stay as they are.
func (b *crowdBed) settle() (sockets int) {
	b.t.Helper()
	const enough = 10
	peak := 0
	for same, until := 0, time.Now().Add(crowdTestTimeout); same < enough && time.Now().Before(until); same++ {
		select {
		case <-b.exited:
			return sockets
		case <-time.After(100 * time.Millisecond):
		}
		p, s := b.peakKB(), b.sockets()
		if p != peak || s != sockets {
			peak, sockets, same = p, s, 0
		}
	}
	return sockets
}

// check reports whether the process lives within its memory and its descriptors and answers.
func (b *crowdBed) check() {
	b.t.Helper()
	sockets := b.settle()
	b.request(b.caller, "/calls/after")
	select {
	case <-b.exited:
		text, _ := os.ReadFile(b.logPath) // an unreadable log is an empty one here
		b.t.Fatalf("the process has ended: %.2000s", text)
	default:
	}
	peak := b.peakKB()
	b.t.Logf("peak %d KB of %d, sockets and pipes %d of %d", peak, crowdMemoryMB<<10, sockets, b.maxFDs-reservedFiles)
	if peak > crowdMemoryMB<<10 {
		b.t.Errorf("resident memory had a peak of %d KB, the machine has %d", peak, crowdMemoryMB<<10)
	}
	if limit := b.maxFDs - reservedFiles; sockets > limit {
		b.t.Errorf("the process holds %d sockets and pipes, it may have %d", sockets, limit)
	}
}

// peakKB returns the peak of the resident memory in KB.
func (b *crowdBed) peakKB() int {
	b.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.process.Process.Pid))
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	var kb int
	if err == nil {
		_, err = fmt.Sscan(rest, &kb)
	}
	if err != nil {
		b.t.Fatalf("the process has ended: %v", err)
	}
	return kb
}

// sockets returns the number of open sockets and pipes.
func (b *crowdBed) sockets() int {
	b.t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", b.process.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		b.t.Fatal(err)
	}
	n := 0
	for _, entry := range entries {
		link, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && (strings.HasPrefix(link, "socket:") || strings.HasPrefix(link, "pipe:")) {
			n++
		}
	}
	return n
}
