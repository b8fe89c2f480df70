package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/standin/platform"
)

// completeStream returns the body of a fake engine's complete stream for the request r1.
func completeStream() string {
	var b strings.Builder
	for i := range 4 {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of r1\n\n", i, i)
	}
	return b.String()
}

// Guards against a prompt that isn't computed on the prefill engine, and against an import from
// another request's cache.
func TestPromptIsComputedOnPrefillEngine(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	got := f.sendPrompt(t.Context(), "/single/x")
	if got.status != 200 || got.err != nil || got.body != completeStream() {
		t.Fatalf("response %+v", got)
	}
	prefills, _ := f.targets[0].Prefills()
	runs := f.targets[1].Runs()
	if prefills != 1 || len(runs) != 1 {
		t.Fatalf("%d prompts computed, %d runs", prefills, len(runs))
	}
	if source := runs[0].Header.Get("X-Kv-Source"); source != f.targets[0].Address()+"/i-a-1" {
		t.Errorf("imported from %q", source)
	}
}

// Guards against an engine that is avoided for its failures without a log line.
func TestAvoidedEngineIsLogged(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	const failures = 8 // the number of samples before a target can be avoided
	for range failures {
		f.targets[0].InjectFaults(platform.Fail)
		f.sendPrompt(t.Context(), "/resumable/x")
	}
	f.closeServer() // waits for the requests, which may still write log lines
	for _, e := range f.logs.Entries {
		if e.Message == "TargetAvoided" && e.Fields["Target"] == core.TargetID("i-a") && e.Fields["Reason"] == core.Reason("Failures") {
			return
		}
	}
	t.Error("no log line says that the engine is avoided")
}

// Guards against streams with missing or repeated events or an early end that look complete,
// under each fault of the engines.
func TestStreamsOfFaultyEngines(t *testing.T) {
	tests := []struct {
		path       string
		prefill    platform.RequestFault
		generate   platform.RequestFault
		isComplete bool
		runs       int
	}{
		{"/single/x", "", platform.CutStream, false, 1},
		{"/single/x", "", platform.Shed, true, 1},
		{"/single/x", platform.Shed, "", true, 1},
		{"/single/x", platform.Reset, "", true, 1},
		{"/single/x", platform.Fail, "", true, 1},
		{"/resumable/x", "", platform.CutStream, true, 2},
		{"/resumable/x", "", platform.Stall, true, 2},
		{"/resumable/x", "", platform.Reset, true, 2},
	}
	for _, test := range tests {
		t.Run(test.path[1:7]+string(test.prefill)+"-"+string(test.generate), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "prefill", "decode", "decode")
			for _, tg := range f.targets[:2] {
				if test.prefill != "" {
					tg.InjectFaults(test.prefill)
				}
			}
			if test.generate != "" {
				// The first of two idle engines is chosen for generation.
				f.targets[2].InjectFaults(test.generate)
			}
			got := f.sendPrompt(t.Context(), test.path)
			isComplete := got.status == 200 && got.err == nil
			if isComplete && got.body != completeStream() {
				t.Fatalf("a stream that looks complete is %q", got.body)
			}
			if test.isComplete != isComplete {
				t.Errorf("status %d, error %v, body %q", got.status, got.err, got.body)
			}
			if runs := f.runs("r1"); len(runs) != test.runs {
				t.Errorf("%d runs, want %d", len(runs), test.runs)
			}
		})
	}
}

// Guards against a resumable stream that doesn't continue after the last event that the
// forwarder received.
func TestStreamIsResumedAfterItsLastEvent(t *testing.T) {
	for _, fault := range []platform.RequestFault{platform.CutStream, platform.Stall} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode")
			f.targets[1].InjectFaults(fault)
			// The first of two idle engines is chosen. The stream resumes on the second one.
			f.targets[2].SetProcessingTime(time.Millisecond)
			got := f.sendPrompt(t.Context(), "/resumable/x")
			if got.status != 200 || got.err != nil || got.body != completeStream() {
				t.Fatalf("response %+v", got)
			}
		})
	}
}

// Guards against a computed prompt that stays in an engine's cache although no engine imports
// it.
func TestUnusedPrefillHandleIsReleased(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	f.targets[1].InjectFaults(platform.Shed)
	got := f.sendPrompt(t.Context(), "/single/x")
	if got.status != 503 {
		t.Fatalf("status %d", got.status)
	}
	f.forwarder.WaitForReleases(t.Context())
	if released := f.targets[0].ReleasedHandles(); released != 1 {
		t.Errorf("%d handles released", released)
	}
	if runs := f.runs("r1"); len(runs) != 0 {
		t.Errorf("a refused request ran %d times", len(runs))
	}
}

// Guards against a prompt that is computed again because the first engine that should import
// its cache refuses.
func TestRefusedImportMovesToAnotherEngine(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].InjectFaults(platform.Shed)
	got := f.sendPrompt(t.Context(), "/single/x")
	if got.status != 200 || got.err != nil || got.body != completeStream() {
		t.Fatalf("response %+v", got)
	}
	if computed, _ := f.targets[0].Prefills(); computed != 1 {
		t.Errorf("the prompt was computed %d times", computed)
	}
	if released := f.targets[0].ReleasedHandles(); released != 0 {
		t.Errorf("a handle that an engine imported was released")
	}
}

// Guards against sends beyond the retry budget. It was found on a day with an engine that
// refused nearly half of its requests: a prompt that was computed a second time counted as one
// send with the import that followed it, while the platform counts both.
func TestSecondComputationUsesTheRetryBudget(t *testing.T) {
	tests := []struct {
		retries int
		status  int
	}{
		// The second import, then the second computation and its import.
		{3, http.StatusOK}, {2, http.StatusServiceUnavailable}, {1, http.StatusServiceUnavailable}, {0, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		f := newFixture(t, "prefill", "prefill", "decode", "decode", "decode")
		f.grantRetries(test.retries)
		f.targets[2].InjectFaults(platform.Shed)
		f.targets[3].InjectFaults(platform.Shed)
		if got := f.sendPrompt(t.Context(), "/single/x"); got.status != test.status {
			t.Errorf("%d retries left: status %d, want %d", test.retries, got.status, test.status)
		}
	}
}

// Guards against prompts that are cancelled in an overload, when they take much longer than
// expected although their engine completes others all the time. It was found on days on which all
// instances lost power: the prompts went from one busy engine to the next and were computed in
// vain.
func TestPromptOnBusyEngineIsWaitedFor(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	f.targets[0].InjectFaults(platform.Slow)
	slow := make(chan response, 1)
	go func() { slow <- f.sendPrompt(t.Context(), "/single/x") }()
	for others := 0; ; others++ {
		select {
		case got := <-slow:
			if got.status != http.StatusOK || got.err != nil {
				t.Fatalf("response %+v", got)
			}
			if computed, _ := f.targets[0].Prefills(); computed != others+1 {
				t.Errorf("%d prompts computed for %d requests", computed, others+1)
			}
			return
		case <-time.After(20 * time.Millisecond):
			f.sendPrompt(t.Context(), "/single/x")
		}
	}
}

// Guards against waiting for an engine that completes nothing while another could compute the
// prompt.
func TestPromptOnSilentEngineMovesOn(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	f.targets[0].InjectFaults(platform.Hang)
	began := time.Now()
	got := f.sendPrompt(t.Context(), "/single/x")
	if took := time.Since(began); got.status != http.StatusOK || took > routeTimeout/2 {
		t.Errorf("status %d after %v", got.status, took)
	}
}

// Guards against a stream that is still relayed after its caller has disconnected.
func TestCallerDisconnectEndsStream(t *testing.T) {
	f := newFixture(t, "decode")
	f.targets[0].InjectFaults(platform.Stall)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if got := f.sendPrompt(ctx, "/single/x"); got.err == nil {
		t.Fatalf("response %+v", got)
	}
	deadline := time.Now().Add(time.Second)
	for f.forwarder.Active() > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the stream is still relayed a second after its caller disconnected")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against streams without a length or chunks that look complete although their connection
// ended before the first event, in the middle of an event, or with a reset.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	tests := []struct {
		path       string
		fault      platform.RequestFault
		isComplete bool
	}{
		{"/single/x", platform.Unframed, true},
		{"/single/x", platform.UnframedCut, false},
		{"/single/x", platform.UnframedReset, false},
		{"/single/x", platform.UnframedEmpty, false},
		{"/resumable/x", platform.Unframed, true},
		{"/resumable/x", platform.UnframedCut, true},
		{"/resumable/x", platform.UnframedReset, true},
		{"/resumable/x", platform.UnframedEmpty, true},
	}
	for _, test := range tests {
		t.Run(test.path[1:7]+"-"+string(test.fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode")
			f.targets[1].InjectFaults(test.fault)
			got := f.sendPrompt(t.Context(), test.path)
			isWhole := got.status == http.StatusOK && got.err == nil
			if isWhole != test.isComplete || isWhole && got.body != completeStream() {
				t.Errorf("response %+v", got)
			}
		})
	}
}
