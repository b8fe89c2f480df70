package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/io/forward"
	"gorseline/standin/platform"
)

// Guards against a relay that changes a request or response, and against callers that set
// headers which only the system may set.
func TestRelayPreservesRequestAndResponse(t *testing.T) {
	f := newFixture(t, "")
	got := f.do(t.Context(), http.MethodPut, "/once/a%2Fb//c?q=1&q=%20", "r1", "the body",
		"X-Deadline-Ms", "2000", "X-Target-Instance", "i-other", "X-Phase", "prefill", "X-Kv-Source", "1.2.3.4:5/x",
		"X-Kv-Hold", "1", "X-Pin-Ms", "5", "X-Kv-Backup", "1.2.3.4:5", "Kv-Fetch", "1.2.3.4:5", "X-Request-Priority", "0", "X-Custom", "kept",
		"Connection", "X-Private", "X-Private", "dropped")
	if got.status != 200 || got.body != "answer to r1" || got.header.Get("X-Upstream-Stamp") != "i-a.r1" {
		t.Fatalf("response %+v", got)
	}
	runs := f.runs("r1")
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	run := runs[0]
	if run.Method != http.MethodPut || run.Path != "/once/a%2Fb//c?q=1&q=%20" || run.Body != "the body" {
		t.Errorf("run %+v", run)
	}
	for _, name := range []string{"X-Phase", "X-Kv-Source", "X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-Fetch", "X-Request-Priority", "X-Private"} {
		if value := run.Header.Get(name); value != "" {
			t.Errorf("%s: %q reached the target", name, value)
		}
	}
	if run.Header.Get("X-Custom") != "kept" || run.Header.Get("X-Target-Instance") != "i-a" {
		t.Errorf("header %v", run.Header)
	}
	remaining, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms"))
	if err != nil || remaining > 2000 || remaining < 500 {
		t.Errorf("deadline %q forwarded", run.Header.Get("X-Deadline-Ms"))
	}
}

// Guards against replacing a target's failure response by one of the relay when no other
// target is left for a retry.
func TestLastTargetFailureReachesCaller(t *testing.T) {
	f := newFixture(t, "")
	f.targets[0].InjectFaults(platform.Fail)
	got := f.do(t.Context(), http.MethodGet, "/safe/x", "r1", "", "X-Deadline-Ms", "2000")
	if got.status != http.StatusInternalServerError || got.header.Get("X-Upstream-Stamp") != "i-a.r1" {
		t.Errorf("response %+v", got)
	}
}

// Guards against retries of a request that must run at most once, against refusals of a
// request that ran, and against responses that are broken or belong to another request.
func TestFaultyTargets(t *testing.T) {
	tests := []struct {
		path   string
		fault  platform.RequestFault
		status int
		runs   int
	}{
		{"/once/x", platform.Shed, 200, 1},
		{"/once/x", platform.Fail, 500, 1},
		{"/once/x", platform.Reset, 502, 1},
		{"/once/x", platform.Torn, 502, 1},
		{"/once/x", platform.Noise, 502, 1},
		{"/once/x", platform.Extra, 200, 1},
		{"/once/x", platform.Unframed, 200, 1},
		{"/once/x", platform.Early, 200, 1},
		{"/once/x", platform.Hang, 504, 1},
		{"/safe/x", platform.Shed, 200, 1},
		{"/safe/x", platform.Fail, 200, 2},
		{"/safe/x", platform.Reset, 200, 2},
		{"/safe/x", platform.Torn, 200, 2},
		{"/safe/x", platform.Noise, 200, 2},
		{"/safe/x", platform.Hang, 200, 2},
	}
	for _, test := range tests {
		t.Run(test.path[1:5]+string(test.fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "", "")
			for _, tg := range f.targets {
				tg.InjectFaults(test.fault)
			}
			// Only the first target is faulty if the second one must serve the request.
			if test.path == "/safe/x" || test.fault == platform.Shed || test.fault == platform.Early {
				f = newFixture(t, "", "")
				f.targets[0].InjectFaults(test.fault)
				f.roster.Replace(0, 2, []core.Registration{localRegistration(f, 0), remoteRegistration(f, 1)})
			}
			began := time.Now()
			got := f.do(t.Context(), http.MethodPost, test.path, "r1", strings.Repeat("b", 100_000))
			if got.status != test.status || got.err != nil {
				t.Fatalf("status %d, error %v, body %.80q, want status %d", got.status, got.err, got.body, test.status)
			}
			if runs := f.runs("r1"); len(runs) != test.runs {
				t.Errorf("%d runs, want %d", len(runs), test.runs)
			}
			if got.status == 200 && got.body != "answer to r1" {
				t.Errorf("body %q", got.body)
			}
			if took := time.Since(began); took > routeTimeout+500*time.Millisecond {
				t.Errorf("answered after %v, the route allows %v", took, routeTimeout)
			}
		})
	}
}

// localRegistration and remoteRegistration make the choice between two targets deterministic:
// the local data centre is preferred.
func localRegistration(f *fixture, i int) core.Registration { return registration(f.targets[i], "") }

func remoteRegistration(f *fixture, i int) core.Registration {
	reg := registration(f.targets[i], "")
	reg.DataCentre = "there"
	return reg
}

// Guards against an upstream reset that the caller sees as the normal end of a response without
// a length.
func TestUnframedResponseWithResetIsBroken(t *testing.T) {
	f := newFixture(t, "")
	f.targets[0].InjectFaults(platform.UnframedReset)
	if got := f.do(t.Context(), http.MethodGet, "/once/x", "r1", ""); got.status == 200 && got.err == nil {
		t.Errorf("a broken response looks complete: %+v", got)
	}
}

// Guards against response desynchronisation: an extra response of a target must not answer the
// next request on the connection.
func TestExtraResponseIsDiscarded(t *testing.T) {
	f := newFixture(t, "")
	for i := range 20 {
		f.targets[0].InjectFaults(platform.Extra)
		id := "r" + strconv.Itoa(i)
		if got := f.do(t.Context(), http.MethodGet, "/once/x", id, ""); got.status != 200 || got.body != "answer to "+id {
			t.Fatalf("request %s: response %+v", id, got)
		}
	}
}

// Guards against a refusal without a proper Retry-After, and against running a request that
// was refused.
func TestRefusedRequestGetsRetryAfterAndDoesNotRun(t *testing.T) {
	f := newFixture(t, "", "")
	for _, tg := range f.targets {
		tg.InjectFaults(platform.Shed, platform.Shed, platform.Shed, platform.Shed)
	}
	got := f.do(t.Context(), http.MethodPost, "/once/x", "r1", "body")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != 503 || err != nil || seconds <= 0 || seconds > routeTimeout.Seconds()/3 {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if runs := f.runs("r1"); len(runs) != 0 {
		t.Errorf("a refused request ran %d times", len(runs))
	}
}

// Guards against malformed requests that reach a target, such as those without an ID or with an
// oversized body.
func TestMalformedRequestsAreRejected(t *testing.T) {
	f := newFixture(t, "")
	tests := map[string]struct {
		path   string
		header []string
		id     string
		status int
	}{
		"no ID":        {"/once/x", nil, "", 400},
		"bad deadline": {"/once/x", []string{"X-Deadline-Ms", "soon"}, "r1", 400},
		"bad prompt":   {"/single/x", []string{"X-Token-Count", "1,2", "X-Prompt-Prefix", "ab"}, "r1", 400},
		"no route":     {"/other/x", nil, "r1", 404},
		"large body":   {"/once/x", nil, "r1", 413},
	}
	for name, test := range tests {
		body := "b"
		if test.status == 413 {
			body = strings.Repeat("b", 2<<20)
		}
		got := f.do(t.Context(), http.MethodPost, test.path, test.id, body, test.header...)
		// A client that is still sending the body when it is refused may not see the response.
		isResponseMissed := test.status == 413 && got.err != nil
		if got.status != test.status && !isResponseMissed {
			t.Errorf("%s: status %d, error %v", name, got.status, got.err)
		}
	}
	if runs := f.targets[0].Runs(); len(runs) != 0 {
		t.Errorf("%d malformed requests ran", len(runs))
	}
}

// Guards against running a request on another target that has reused the address of the
// registered one.
func TestReusedAddressDoesNotRunRequest(t *testing.T) {
	f := newFixture(t, "")
	reg := registration(f.targets[0], "")
	reg.ID = "i-gone"
	f.roster.Replace(0, 2, []core.Registration{reg})
	if got := f.do(t.Context(), http.MethodPost, "/once/x", "r1", ""); got.status != 503 {
		t.Errorf("status %d", got.status)
	}
	if runs := f.runs("r1"); len(runs) != 0 {
		t.Errorf("%d runs", len(runs))
	}
}

// Guards against a request that stays active after its caller has disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFixture(t, "")
	f.targets[0].InjectFaults(platform.Hang)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	f.do(ctx, http.MethodGet, "/safe/x", "r1", "")
	deadline := time.Now().Add(time.Second)
	for f.forwarder.Active() > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the request is still active a second after its caller disconnected")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against requests that run too often, refusals of requests that ran, and responses of
// other requests. All targets have random faults, and several callers send concurrently.
func TestRandomFaultsPreserveGuarantees(t *testing.T) {
	faults := []platform.RequestFault{
		"", "", "", platform.Shed, platform.Fail, platform.Reset, platform.Torn, platform.Extra, platform.Unframed,
		platform.Early, platform.Noise,
	}
	for seed := range uint64(5) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "", "", "")
			rng := rand.New(rand.NewPCG(seed, 1))
			for _, tg := range f.targets {
				for range 200 {
					tg.InjectFaults(faults[rng.IntN(len(faults))])
				}
			}
			var callers sync.WaitGroup
			for c := range 8 {
				callers.Go(func() {
					for i := range 25 {
						id := fmt.Sprintf("r%d-%d", c, i)
						path := [...]string{"/once/x", "/safe/x"}[i%2]
						checkGuarantees(t, f, path, id, f.do(t.Context(), http.MethodPost, path, id, strings.Repeat("b", i*3000)))
					}
				})
			}
			callers.Wait()
		})
	}
}

// checkGuarantees checks the response to a request and its runs on all targets.
func checkGuarantees(t *testing.T, f *fixture, path, id string, got response) {
	t.Helper()
	runs := f.runs(id)
	if path == "/once/x" && len(runs) > 1 {
		t.Errorf("%s ran %d times", id, len(runs))
	}
	if path == "/safe/x" && len(runs) > 2 {
		t.Errorf("%s ran on %d targets, the route allows 2", id, len(runs))
	}
	if got.status == 503 && path == "/once/x" && len(runs) > 0 {
		t.Errorf("%s ran but was refused", id)
	}
	if got.status == 200 && got.err == nil && got.body != "answer to "+id {
		t.Errorf("%s got %q", id, got.body)
	}
	stamp := got.header.Get("X-Upstream-Stamp")
	if stamp != "" && !strings.HasSuffix(stamp, "."+id) {
		t.Errorf("%s got the stamp %q of another request", id, stamp)
	}
}

// Guards against status 404 for all routes before the first configuration has arrived.
func TestUnconfiguredForwarderIsUnavailable(t *testing.T) {
	f := newFixture(t, "")
	unconfigured := forward.New(f.forwarder.Options)
	f.server.Config.Handler = unconfigured
	if got := f.do(t.Context(), http.MethodGet, "/once/x", "r1", ""); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("response %+v", got)
	}
}
