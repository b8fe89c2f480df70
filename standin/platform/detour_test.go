package platform_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/route"
	"gorseline/standin/platform"
)

// newCutFixture returns a fixture whose targets refuse connections. It sends requests through others.
func newCutFixture(t *testing.T, others ...*fixture) *fixture {
	t.Helper()
	f := newFixture(t, "", "", "", "decode", "decode", "decode", "prefill")
	for _, tg := range f.targets {
		tg.Close()
	}
	f.peers.set(others...)
	return f
}

// Guards against a request that is changed on its way through another instance, such as by headers that
// only the system may set or that instances use between them.
func TestDetourKeepsRequest(t *testing.T) {
	other := newFixture(t, "", "decode")
	f := newCutFixture(t, other)
	for _, path := range []string{"/once/a%20b?q=1&r=%2F", "/safe/x"} {
		id := "r" + path[1:3]
		got := f.do(t.Context(), http.MethodPut, path, id, "the body", "X-Own", "v", "X-Phase", "prefill", "X-Deadline-Ms", "1500",
			"Gorseline-Runs", "7", "Gorseline-Detour", "me")
		if got.status != http.StatusOK || got.body != "answer to "+id || !strings.Contains(got.header.Get("X-Upstream-Stamp"), id) {
			t.Fatalf("%s: %+v", path, got)
		}
		runs := other.runs(id)
		if len(runs) != 1 || runs[0].Method != http.MethodPut || runs[0].Path != path || runs[0].Body != "the body" {
			t.Fatalf("%s: runs %+v", path, runs)
		}
		for name := range runs[0].Header {
			if strings.HasPrefix(name, "Gorseline") || name == "X-Phase" {
				t.Errorf("%s: the target got %s", path, name)
			}
		}
		if runs[0].Header.Get("X-Own") != "v" {
			t.Errorf("%s: header %v", path, runs[0].Header)
		}
		for name := range got.header {
			if strings.HasPrefix(name, "Gorseline") {
				t.Errorf("%s: the caller got %s", path, name)
			}
		}
	}
	if got := f.sendPrompt(t.Context(), "/resumable/x"); got.status != http.StatusOK || strings.Count(got.body, "id: ") != 4 {
		t.Errorf("stream: %+v", got)
	}
}

// Guards against the deadline of a request that is renewed by the other instance.
func TestDetourShortensDeadline(t *testing.T) {
	other := newFixture(t, "")
	f := newCutFixture(t, other)
	if got := f.do(t.Context(), http.MethodGet, "/safe/x", "r1", "", "X-Deadline-Ms", "700"); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	for _, a := range other.targets[0].Arrivals() {
		if a.Remaining <= 0 || a.Remaining > 700*time.Millisecond {
			t.Errorf("the target is given %v", a.Remaining)
		}
	}
}

// Guards against callers that use the entrance for other instances.
func TestDetourIsRefusedToOthers(t *testing.T) {
	other := newFixture(t, "")
	other.peers.mu.Lock()
	other.peers.isClosed = true
	other.peers.mu.Unlock()
	f := newCutFixture(t, other)
	if got := f.do(t.Context(), http.MethodGet, "/safe/x", "r1", ""); got.status == http.StatusOK {
		t.Errorf("%+v", got)
	}
	if count := other.arrivals(0); count != 0 {
		t.Errorf("%d requests reached a target", count)
	}
}

// Guards against an answer of an instance that knows no detours, such as one of an earlier version, that
// is taken for that of a target.
func TestInstanceWithoutDetoursIsPassedOver(t *testing.T) {
	earlier := newFixture(t, "")
	earlier.detours.Config.Handler = http.NotFoundHandler()
	other := newFixture(t, "")
	f := newCutFixture(t, earlier, other)
	for i := range 8 {
		id := "r" + string(rune('0'+i))
		if got := f.do(t.Context(), http.MethodPost, "/once/x", id, "b"); got.status != http.StatusOK {
			t.Errorf("%s: %+v", id, got)
		}
	}
}

// Guards against a request that is passed on without end between instances that reach no target.
func TestDetourHasOneHop(t *testing.T) {
	f, other := newCutFixture(t), newCutFixture(t)
	f.peers.set(other)
	other.peers.set(f)
	for i := range 6 {
		began := time.Now()
		got := f.do(t.Context(), http.MethodGet, "/safe/x", "r"+string(rune('0'+i)), "")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%+v", got)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("refused after %v", took)
		}
	}
	if count := len(f.logs.Entries); count > 200 {
		t.Errorf("%d log lines", count)
	}
}

// Guards against an instance with an older configuration that decides on a request.
func TestDetourNeedsNewestConfiguration(t *testing.T) {
	stale, current := newFixture(t, ""), newFixture(t, "")
	f := newCutFixture(t, stale, current)
	for _, each := range []*fixture{f, current} {
		each.forwarder.Configure(route.NewTable(configuration(2)))
	}
	for i := range 8 {
		id := "r" + string(rune('0'+i))
		if got := f.do(t.Context(), http.MethodGet, "/safe/x", id, ""); got.status != http.StatusOK {
			t.Errorf("%s: %+v", id, got)
		}
	}
	if count := stale.arrivals(0); count != 0 {
		t.Errorf("the instance with the older configuration sent %d requests", count)
	}
}

// Guards against a request that may have run at another instance and is sent to a third one.
func TestLostDetourRunsOnce(t *testing.T) {
	one, two := newFixture(t, ""), newFixture(t, "")
	f := newCutFixture(t, one, two)
	for _, other := range []*fixture{one, two} {
		other.targets[0].SetProcessingTime(200 * time.Millisecond)
	}
	done := make(chan response, 1)
	go func() { done <- f.do(t.Context(), http.MethodPost, "/once/x", "r1", "b") }()
	time.Sleep(100 * time.Millisecond) // the request runs
	one.detours.CloseClientConnections()
	two.detours.CloseClientConnections()
	if got := <-done; got.status != http.StatusBadGateway {
		t.Errorf("%+v", got)
	}
	if runs := len(one.runs("r1")) + len(two.runs("r1")); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// Guards against a broken answer that looks complete after it was relayed twice.
func TestBrokenAnswerStaysBrokenOverDetour(t *testing.T) {
	for _, fault := range []platform.RequestFault{platform.Torn, platform.UnframedReset} {
		other := newFixture(t, "")
		f := newCutFixture(t, other)
		other.targets[0].InjectFaults(fault)
		if got := f.do(t.Context(), http.MethodPost, "/once/x", "r1", ""); got.status == http.StatusOK && got.err == nil {
			t.Errorf("%s: %+v", fault, got)
		}
	}
}

// Guards against work that goes on at a target after the caller has left, behind two instances.
func TestCallerThatLeavesEndsDetour(t *testing.T) {
	other := newFixture(t, "decode")
	other.targets[0].SetEvents(100, 30*time.Millisecond)
	f := newCutFixture(t, other)
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	f.sendPrompt(ctx, "/resumable/x")
	time.Sleep(300 * time.Millisecond)
	runs := other.runs("r1")
	if len(runs) != 1 || !runs[0].Cancelled {
		t.Errorf("runs %+v", runs)
	}
}

// Guards against refusals of another instance that lose the time at which the caller may come back, or
// that are taken for runs.
func TestRefusalOverDetourIsRelayed(t *testing.T) {
	other := newFixture(t, "")
	other.targets[0].SetLastingFault(platform.Shed, 1)
	f := newCutFixture(t, other)
	got := f.do(t.Context(), http.MethodPost, "/once/x", "r1", "b")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get("X-Upstream-Stamp") != "" {
		t.Errorf("%+v", got)
	}
}

// Guards against sends of two instances for one request that are not counted as retries.
func TestRetriesAreCountedOverDetour(t *testing.T) {
	other := newFixture(t, "", "")
	f := newCutFixture(t, other)
	for _, tg := range other.targets {
		tg.SetLastingFault(platform.Fail, 1)
	}
	before := f.budgets.State("calls").Left + other.budgets.State("calls").Left
	f.do(t.Context(), http.MethodGet, "/safe/x", "r1", "")
	arrivals := other.arrivals(0, 1)
	after := f.budgets.State("calls").Left + other.budgets.State("calls").Left
	// The request itself adds one retry at most to a share.
	if arrivals < 2 || before+1-after < float64(arrivals-1) {
		t.Errorf("%d arrivals cost %.1f retries", arrivals, before+1-after)
	}
}

// Guards against requests that go through another instance although a target can be reached.
func TestReachableTargetIsUsedDirectly(t *testing.T) {
	other := newFixture(t, "")
	f := newFixture(t, "", "", "", "")
	f.peers.set(other)
	for _, tg := range f.targets[2:] {
		tg.Close()
	}
	for i := range 12 {
		id := "r" + string(rune('a'+i))
		if got := f.do(t.Context(), http.MethodGet, "/safe/x", id, ""); got.status != http.StatusOK {
			t.Errorf("%s: %+v", id, got)
		}
	}
	if detoured := other.arrivals(0); detoured > 0 {
		t.Errorf("%d of 12 requests went through the other instance", detoured)
	}
}

// Guards against a hanging instance that keeps all requests from those that could serve them.
func TestInstanceThatHangsIsAvoided(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	other := newFixture(t, "")
	f := newCutFixture(t, other)
	f.peers.mu.Lock()
	f.peers.list = append(f.peers.list, core.DetourPeer{Address: listener.Addr().String(), DataCentre: "here"})
	f.peers.mu.Unlock()
	served := 0
	for i := range 10 {
		got := f.do(t.Context(), http.MethodGet, "/safe/x", "r"+string(rune('a'+i)), "", "X-Deadline-Ms", "500")
		if got.status == http.StatusOK {
			served++
		}
	}
	if served < 7 {
		t.Errorf("%d of 10 requests served", served)
	}
}

// Guards against a sound instance that is avoided because the time of a request ran out there.
func TestShortRequestsLeaveInstanceInUse(t *testing.T) {
	other := newFixture(t, "")
	other.targets[0].SetProcessingTime(60 * time.Millisecond)
	f := newCutFixture(t, other)
	for i := range 5 {
		id := string(rune('a' + i))
		f.do(t.Context(), http.MethodGet, "/safe/x", "short"+id, "", "X-Deadline-Ms", "30")
		if got := f.do(t.Context(), http.MethodGet, "/safe/x", "long"+id, "", "X-Deadline-Ms", "2000"); got.status != http.StatusOK {
			t.Errorf("%s: %+v", id, got)
		}
	}
}
