package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/retry"
	"gorseline/io/forward"
	"gorseline/standin/platform"
)

// eventInterval is the time between two events of the streams in the tests of leaving.
const eventInterval = 5 * time.Millisecond

// pauseAllowance is the time that a leaving instance adds for a pause of an engine.
var pauseAllowance = retry.NewSilence(pauseObjective).MoveAlive

// sendStream sends a prompt whose answer has the given number of events.
func (f *fixture) sendStream(id, path string, events int, header ...string) response {
	f.t.Helper()
	return f.do(f.t.Context(), http.MethodPost, path, id, "the prompt", append([]string{
		"X-Model", "m",
		"X-Token-Count", fmt.Sprintf("3000,%d", events), "X-Prompt-Prefix", "ab:2500,cd:500",
	}, header...)...)
}

// learnedRequests is the number of requests of a learned fixture.
const learnedRequests = 10

// newLearnedFixture starts a forwarder that knows how long streams take.
func newLearnedFixture(t *testing.T, engines ...string) *fixture {
	f := newFixture(t, engines...)
	for _, tg := range f.targets {
		tg.SetEvents(1000, eventInterval)
	}
	for n := range learnedRequests {
		if got := f.sendStream("learn"+strconv.Itoa(n), "/single/x", 17); got.status != 200 || got.err != nil {
			t.Fatalf("response %+v", got)
		}
	}
	return f
}

// checkRefused checks that a request was refused at once by an instance that leaves.
func (f *fixture) checkRefused(id string, got response) {
	f.t.Helper()
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != 503 || err != nil || after <= 0 || after > 0.1 {
		f.t.Errorf("%s: status %d, error %v, Retry-After %q", id, got.status, got.err, got.header.Get("Retry-After"))
	}
	if runs := f.runs(id); len(runs) != 0 {
		f.t.Errorf("%s ran %d times", id, len(runs))
	}
	f.closeServer() // waits for the requests, which may still write log lines
	decided, ended := false, false
	for _, e := range f.logs.Entries {
		if e.Fields["Request"] != core.RequestID(id) {
			continue
		}
		decided = decided || strings.HasSuffix(e.Message, "WhileLeaving") && e.Fields["Fits"] == false
		ended = ended || e.Message == "RequestEnded" && e.Fields["Reason"] == core.Reason("Leaving")
	}
	if !decided || !ended {
		f.t.Errorf("no log lines say that %s was refused because the instance leaves", id)
	}
}

// Guards against streams that a leaving instance takes although it can't finish them, and against
// refusals of those that it can.
func TestLeavingInstanceRefusesLongStream(t *testing.T) {
	for path, deadline := range map[string]string{"/single/x": "900", "/resumable/x": "2900"} {
		f := newLearnedFixture(t, "prefill", "decode")
		f.forwarder.StartDraining(time.Second + pauseAllowance)
		if got := f.sendStream("short", path, 20, "X-Deadline-Ms", deadline); got.status != 200 || got.err != nil || strings.Count(got.body, "id:") != 20 {
			t.Errorf("status %d, error %v, body %q", got.status, got.err, got.body)
		}
		began := time.Now()
		got := f.sendStream("long", path, 400)
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		f.checkRefused("long", got)
	}
}

// Guards against a stream that may run once at most and is taken because those before it were short.
func TestLeavingInstanceRefusesStreamThatRunsOnce(t *testing.T) {
	f := newLearnedFixture(t, "prefill", "decode")
	f.forwarder.StartDraining(routeTimeout - 200*time.Millisecond)
	f.checkRefused("r1", f.sendStream("r1", "/single/x", 20))
}

// Guards against a stream that fitted when its header arrived, but not after its body had.
func TestLeavingInstanceRefusesStreamWithSlowBody(t *testing.T) {
	f := newLearnedFixture(t, "prefill", "decode")
	f.forwarder.StartDraining(700*time.Millisecond + pauseAllowance)
	body, writer := io.Pipe()
	go func() {
		time.Sleep(250 * time.Millisecond)
		_, _ = io.WriteString(writer, "the prompt")
		_ = writer.Close()
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/single/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"X-Request-Id": "r1", "X-Model": "m", "X-Token-Count": "3000,100", "X-Prompt-Prefix": "ab:2500,cd:500"} {
		req.Header.Set(name, value)
	}
	resp, err := f.server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f.checkRefused("r1", response{status: resp.StatusCode, header: resp.Header})
}

// Guards against a stream that is started although the instance began to leave while its prompt
// was computed, and can't finish it.
func TestLeavingInstanceStartsNoLongStreamAfterPrompt(t *testing.T) {
	f := newLearnedFixture(t, "prefill", "decode")
	for tries := 1; f.arrivals(0) < learnedRequests; tries++ {
		if tries == 5 {
			t.Fatalf("the prompts of only %d of %d requests were computed apart", f.arrivals(0), learnedRequests)
		}
		f = newLearnedFixture(t, "prefill", "decode") // a pause of the machine made the handover look slow
	}
	// The instance waits a little over 250 ms for a prompt before it gives the engine up.
	f.targets[0].SetProcessingTime(100 * time.Millisecond)
	before := f.arrivals(0)
	var drained sync.WaitGroup
	drained.Go(func() {
		for end := time.Now().Add(routeTimeout); f.arrivals(0) == before && time.Now().Before(end); {
			time.Sleep(2 * time.Millisecond) // the prompt is on its way
		}
		f.forwarder.StartDraining(time.Second + pauseAllowance)
	})
	got := f.sendStream("r1", "/single/x", 250)
	drained.Wait()
	f.forwarder.WaitForReleases(t.Context())
	if released := f.targets[0].ReleasedHandles(); released != 1 {
		t.Errorf("%d handles released", released)
	}
	f.checkRefused("r1", got)
}

// Guards against a repeat that a leaving instance can't finish, in place of the failure answer
// that it has.
func TestLeavingInstanceRelaysFailureInsteadOfRepeat(t *testing.T) {
	const processingTime = 300 * time.Millisecond
	f := newFixture(t, "", "")
	for _, tg := range f.targets {
		tg.SetProcessingTime(processingTime)
	}
	var calls sync.WaitGroup
	for n := range 10 {
		calls.Go(func() {
			f.do(t.Context(), http.MethodGet, "/safe/x", "learn"+strconv.Itoa(n), "", "X-Deadline-Ms", "2900")
		})
	}
	calls.Wait()
	for _, tg := range f.targets {
		tg.InjectFaults(platform.Fail)
	}
	time.AfterFunc(processingTime/2, func() { f.forwarder.StartDraining(processingTime) })
	got := f.do(t.Context(), http.MethodGet, "/safe/x", "r1", "", "X-Deadline-Ms", "2900")
	if got.status != 500 || !strings.HasSuffix(got.header.Get("X-Upstream-Stamp"), ".r1") || len(f.runs("r1")) != 1 {
		t.Errorf("response %+v, %d runs", got, len(f.runs("r1")))
	}
}

// Guards against a leaving instance that cuts a stream which it could continue on another engine.
func TestLeavingInstanceResumesStream(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].SetProcessingTime(200 * time.Millisecond)
	f.targets[1].InjectFaults(platform.CutStream)
	time.AfterFunc(100*time.Millisecond, func() { f.forwarder.StartDraining(time.Second) })
	got := f.sendPrompt(t.Context(), "/resumable/x")
	if got.status != 200 || got.err != nil || got.body != completeStream() || len(f.runs("r1")) != 2 {
		t.Errorf("response %+v, %d runs", got, len(f.runs("r1")))
	}
}

// Guards against a stream that a leaving instance starts again on another engine and can't finish,
// in place of the failure answer that it has.
func TestLeavingInstanceRelaysEngineFailure(t *testing.T) {
	const processingTime = 200 * time.Millisecond
	f := newFixture(t, "prefill", "decode", "decode")
	for _, tg := range f.targets[1:] {
		tg.SetProcessingTime(processingTime)
		tg.InjectFaults(platform.Fail)
	}
	time.AfterFunc(processingTime/2, func() { f.forwarder.StartDraining(processingTime) })
	got := f.sendPrompt(t.Context(), "/resumable/x")
	if got.status != 500 || !strings.HasSuffix(got.header.Get("X-Upstream-Stamp"), ".r1") || len(f.runs("r1")) != 1 {
		t.Errorf("response %+v, %d runs", got, len(f.runs("r1")))
	}
}

// Guards against retries taken, and sends logged, for continuations that a leaving instance doesn't
// send.
func TestLeavingInstanceAsksNoEngineInVain(t *testing.T) {
	f := newLearnedFixture(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	for _, tg := range f.targets[1:] {
		tg.InjectFaults(platform.PauseFirst)
	}
	time.AfterFunc(300*time.Millisecond, func() { f.forwarder.StartDraining(1200 * time.Millisecond) })
	if got := f.sendStream("r1", "/resumable/x", 40); got.status != http.StatusOK || got.err != nil {
		t.Errorf("response %+v", got)
	}
	f.closeServer()
	obstacles := 0
	for _, e := range f.logs.Entries {
		if e.Fields["Request"] != core.RequestID("r1") {
			continue
		}
		switch step, _ := e.Fields["Step"].(string); {
		case step == "NotPossible":
			obstacles++
			if e.Fields["Reason"] != forward.ReasonLeaving {
				t.Errorf("obstacle %v", e.Fields["Reason"])
			}
		case step == "Asked", step == "Refused", e.Message == "RetryTaken", e.Message == "StreamResumed":
			t.Errorf("%s %s", e.Message, step)
		}
	}
	if obstacles != 1 {
		t.Errorf("%d obstacles", obstacles)
	}
}

// Guards against a stream without a limit on its answer that a leaving instance takes because
// earlier, shorter ones would have fitted.
func TestLeavingInstanceRefusesStreamWithoutLimit(t *testing.T) {
	for _, count := range []string{"3000,0", ""} {
		f := newFixture(t, "prefill", "decode")
		for _, tg := range f.targets {
			tg.SetEvents(20, eventInterval)
		}
		send := func(id string) response {
			header := []string{"X-Model", "m", "X-Prompt-Prefix", "ab:2500,cd:500"}
			if count != "" {
				header = append(header, "X-Token-Count", count)
			}
			return f.do(t.Context(), http.MethodPost, "/single/x", id, "the prompt", header...)
		}
		for n := range 10 {
			if got := send("learn" + strconv.Itoa(n)); got.status != 200 || got.err != nil {
				t.Fatalf("%q: %+v", count, got)
			}
		}
		f.forwarder.StartDraining(800 * time.Millisecond)
		f.checkRefused("long", send("long"))
	}
}

// Guards against a stream that a leaving instance takes since it fits at the usual pace, and cuts
// since its sound engine pauses.
func TestLeavingInstanceAllowsForPause(t *testing.T) {
	const events = 40
	for left, taken := range map[time.Duration]bool{1500 * time.Millisecond: false, 2400 * time.Millisecond: true} {
		f := newLearnedFixture(t, "prefill", "decode")
		f.targets[1].InjectFaults(platform.Pause)
		f.forwarder.StartDraining(left)
		time.AfterFunc(left, func() { f.forwarder.EndRequests() })
		got := f.sendStream("r1", "/resumable/x", events)
		if !taken {
			f.checkRefused("r1", got)
			continue
		}
		if n := strings.Count(got.body, "id:"); got.status != 200 || got.err != nil || n != events {
			t.Errorf("%v left: status %d, %d events: %v", left, got.status, n, got.err)
		}
	}
}
