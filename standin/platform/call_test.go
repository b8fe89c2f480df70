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

// Guards against a relay that changes what the caller or the target sent, and against
// callers that set what only the system may set.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	r := newRig(t, "")
	got := r.do(t.Context(), http.MethodPut, "/once/a%2Fb//c?q=1&q=%20", "r1", "the body",
		"X-Deadline-Ms", "2000", "X-Target-Instance", "i-other", "X-Phase", "prefill", "X-Kv-Source", "1.2.3.4:5/x",
		"X-Kv-Hold", "1", "X-Pin-Ms", "5", "X-Kv-Backup", "1.2.3.4:5", "Kv-Fetch", "1.2.3.4:5", "X-Request-Priority", "0", "X-Custom", "kept",
		"Connection", "X-Private", "X-Private", "dropped")
	if got.status != 200 || got.body != "answer to r1" || got.header.Get("X-Upstream-Stamp") != "i-a.r1" {
		t.Fatalf("answer %+v", got)
	}
	runs := r.runs("r1")
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
	left, err := strconv.Atoi(run.Header.Get("X-Deadline-Ms"))
	if err != nil || left > 2000 || left < 500 {
		t.Errorf("deadline %q handed on", run.Header.Get("X-Deadline-Ms"))
	}
}

// Guards against a failure of a target that the caller gets as a failure of the relay, since
// no other target was left to try.
func TestLastFailureIsTheTargets(t *testing.T) {
	r := newRig(t, "")
	r.targets[0].Misbehave(platform.Fail)
	got := r.do(t.Context(), http.MethodGet, "/safe/x", "r1", "", "X-Deadline-Ms", "2000")
	if got.status != http.StatusInternalServerError || got.header.Get("X-Upstream-Stamp") != "i-a.r1" {
		t.Errorf("answer %+v", got)
	}
}

// Guards against a call that runs twice though it must not, against a refusal of a call
// that ran, and against an answer that is broken or another request's.
func TestMisbehavingTargets(t *testing.T) {
	tests := []struct {
		path       string
		misbehaves platform.Misbehaviour
		status     int
		runs       int
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
		t.Run(test.path[1:5]+string(test.misbehaves), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, "", "")
			for _, tg := range r.targets {
				tg.Misbehave(test.misbehaves)
			}
			// The second target behaves if the first has used up its misbehaviour.
			if test.path == "/safe/x" || test.misbehaves == platform.Shed || test.misbehaves == platform.Early {
				r = newRig(t, "", "")
				r.targets[0].Misbehave(test.misbehaves)
				r.roster.Replace(0, 2, []core.Registration{near(r, 0), far(r, 1)})
			}
			began := time.Now()
			got := r.do(t.Context(), http.MethodPost, test.path, "r1", strings.Repeat("b", 100_000))
			if got.status != test.status || got.err != nil {
				t.Fatalf("status %d, error %v, body %.80q, want status %d", got.status, got.err, got.body, test.status)
			}
			if runs := r.runs("r1"); len(runs) != test.runs {
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

// near and far make the choice between two targets sure.
func near(r *rig, i int) core.Registration { return registration(r.targets[i], "") }

func far(r *rig, i int) core.Registration {
	reg := registration(r.targets[i], "")
	reg.DataCentre = "there"
	return reg
}

// Guards against an answer that ended in a reset and looks whole, though it has no length.
func TestUnframedAnswerThatIsResetLooksBroken(t *testing.T) {
	r := newRig(t, "")
	r.targets[0].Misbehave(platform.UnframedReset)
	if got := r.do(t.Context(), http.MethodGet, "/once/x", "r1", ""); got.status == 200 && got.err == nil {
		t.Errorf("a broken answer looks whole: %+v", got)
	}
}

// Guards against the second answer of a target reaching the next request on the connection.
func TestExtraAnswerReachesNobody(t *testing.T) {
	r := newRig(t, "")
	for i := range 20 {
		r.targets[0].Misbehave(platform.Extra)
		id := "r" + strconv.Itoa(i)
		if got := r.do(t.Context(), http.MethodGet, "/once/x", id, ""); got.status != 200 || got.body != "answer to "+id {
			t.Fatalf("request %s: %+v", id, got)
		}
	}
}

// Guards against a refusal without a time to come back, and against work on a request
// that was refused.
func TestRefusalIsTrueAndTellsWhen(t *testing.T) {
	r := newRig(t, "", "")
	for _, tg := range r.targets {
		tg.Misbehave(platform.Shed, platform.Shed, platform.Shed, platform.Shed)
	}
	got := r.do(t.Context(), http.MethodPost, "/once/x", "r1", "body")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != 503 || err != nil || seconds <= 0 || seconds > routeTimeout.Seconds()/3 {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if runs := r.runs("r1"); len(runs) != 0 {
		t.Errorf("a refused request ran %d times", len(runs))
	}
}

// Guards against requests that reach a target though they can't be told apart or framed.
func TestMalformedRequestsAreRejected(t *testing.T) {
	r := newRig(t, "")
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
		got := r.do(t.Context(), http.MethodPost, test.path, test.id, body, test.header...)
		// A client that is still sending when it is refused may not see the answer.
		isUnseen := test.status == 413 && got.err != nil
		if got.status != test.status && !isUnseen {
			t.Errorf("%s: status %d, error %v", name, got.status, got.err)
		}
	}
	if runs := r.targets[0].Runs(); len(runs) != 0 {
		t.Errorf("%d malformed requests ran", len(runs))
	}
}

// Guards against a request that runs on a target which has taken over another's address.
func TestReusedAddressRunsNothing(t *testing.T) {
	r := newRig(t, "")
	reg := registration(r.targets[0], "")
	reg.ID = "i-gone"
	r.roster.Replace(0, 2, []core.Registration{reg})
	if got := r.do(t.Context(), http.MethodPost, "/once/x", "r1", ""); got.status != 503 {
		t.Errorf("status %d", got.status)
	}
	if runs := r.runs("r1"); len(runs) != 0 {
		t.Errorf("%d runs", len(runs))
	}
}

// Guards against work that goes on after the caller has left.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	r := newRig(t, "")
	r.targets[0].Misbehave(platform.Hang)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r.do(ctx, http.MethodGet, "/safe/x", "r1", "")
	deadline := time.Now().Add(time.Second)
	for r.forwarder.Active() > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the request is still under way a second after its caller left")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards, over random faults of all targets and many callers at once, against a request
// that runs twice though it must not, a refusal of one that ran, and answers that are
// mixed up.
func TestRandomFaultsKeepTheRules(t *testing.T) {
	faults := []platform.Misbehaviour{
		"", "", "", platform.Shed, platform.Fail, platform.Reset, platform.Torn, platform.Extra, platform.Unframed,
		platform.Early, platform.Noise,
	}
	for seed := range uint64(5) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, "", "", "")
			rng := rand.New(rand.NewPCG(seed, 1))
			for _, tg := range r.targets {
				for range 200 {
					tg.Misbehave(faults[rng.IntN(len(faults))])
				}
			}
			var callers sync.WaitGroup
			for c := range 8 {
				callers.Go(func() {
					for i := range 25 {
						id := fmt.Sprintf("r%d-%d", c, i)
						path := [...]string{"/once/x", "/safe/x"}[i%2]
						checkRules(t, r, path, id, r.do(t.Context(), http.MethodPost, path, id, strings.Repeat("b", i*3000)))
					}
				})
			}
			callers.Wait()
		})
	}
}

func checkRules(t *testing.T, r *rig, path, id string, got answer) {
	t.Helper()
	runs := r.runs(id)
	if path == "/once/x" && len(runs) > 1 {
		t.Errorf("%s ran %d times", id, len(runs))
	}
	if path == "/safe/x" && len(runs) > 2 {
		t.Errorf("%s ran on %d targets, the route allows 2", id, len(runs))
	}
	if got.status == 503 && path == "/once/x" && len(runs) > 0 {
		t.Errorf("%s ran and was refused", id)
	}
	if got.status == 200 && got.err == nil && got.body != "answer to "+id {
		t.Errorf("%s got %q", id, got.body)
	}
	stamp := got.header.Get("X-Upstream-Stamp")
	if stamp != "" && !strings.HasSuffix(stamp, "."+id) {
		t.Errorf("%s got the stamp %q", id, stamp)
	}
}

// Guards against an instance that answers 404 before it knows a configuration.
func TestNoConfigurationIsNoMissingRoute(t *testing.T) {
	r := newRig(t, "")
	unconfigured := forward.New(r.forwarder.Options)
	r.server.Config.Handler = unconfigured
	if got := r.do(t.Context(), http.MethodGet, "/once/x", "r1", ""); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("answer %+v", got)
	}
}
