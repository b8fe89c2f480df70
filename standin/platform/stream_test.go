package platform_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/standin/platform"
)

// wholeStream is a complete answer of a stand-in.
func wholeStream(id string) string {
	var b strings.Builder
	for i := range 4 {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
	}
	return b.String()
}

// Guards against a prompt that isn't computed apart, and against an import that names
// another request's cache.
func TestPromptIsComputedApart(t *testing.T) {
	r := newRig(t, "prefill", "decode")
	got := r.prompt(t.Context(), "/single/x")
	if got.status != 200 || got.err != nil || got.body != wholeStream("r1") {
		t.Fatalf("answer %+v", got)
	}
	reads, _ := r.targets[0].Prefills()
	runs := r.targets[1].Runs()
	if reads != 1 || len(runs) != 1 {
		t.Fatalf("%d prompts computed, %d runs", reads, len(runs))
	}
	if source := runs[0].Header.Get("X-Kv-Source"); source != r.targets[0].Address()+"/i-a-1" {
		t.Errorf("imported from %q", source)
	}
}

// Guards against an engine that is avoided for its failures without a log line that says so.
func TestAvoidedEngineIsLogged(t *testing.T) {
	r := newRig(t, "prefill", "decode")
	const failures = 8 // the samples that a judgement needs
	for range failures {
		r.targets[0].Misbehave(platform.Fail)
		r.prompt(t.Context(), "/resumable/x")
	}
	r.server.Close() // ends the requests, which log until then
	for _, e := range r.logs.Entries {
		if e.Message == "TargetAvoided" && e.Fields["Target"] == core.TargetID("i-a") && e.Fields["Reason"] == core.Reason("Failures") {
			return
		}
	}
	t.Error("no log line says that the engine is avoided")
}

// Guards against streams that miss a piece, have one twice or end early, whatever the
// engines do.
func TestStreamsOfMisbehavingEngines(t *testing.T) {
	tests := []struct {
		path       string
		prefill    platform.Misbehaviour
		generate   platform.Misbehaviour
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
			r := newRig(t, "prefill", "prefill", "decode", "decode")
			for _, tg := range r.targets[:2] {
				if test.prefill != "" {
					tg.Misbehave(test.prefill)
				}
			}
			if test.generate != "" {
				// Of two idle engines the first one generates.
				r.targets[2].Misbehave(test.generate)
			}
			got := r.prompt(t.Context(), test.path)
			isComplete := got.status == 200 && got.err == nil
			if isComplete && got.body != wholeStream("r1") {
				t.Fatalf("a stream that looks complete is %q", got.body)
			}
			if test.isComplete != isComplete {
				t.Errorf("status %d, error %v, body %q", got.status, got.err, got.body)
			}
			if runs := r.runs("r1"); len(runs) != test.runs {
				t.Errorf("%d runs, want %d", len(runs), test.runs)
			}
		})
	}
}

// Guards against a resumable stream that is not continued where it broke.
func TestStreamIsResumedAfterItsLastEvent(t *testing.T) {
	for _, fault := range []platform.Misbehaviour{platform.CutStream, platform.Stall} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, "prefill", "decode", "decode")
			r.targets[1].Misbehave(fault)
			// The other generating engine is chosen second: it has work.
			r.targets[2].SetProcessingTime(time.Millisecond)
			got := r.prompt(t.Context(), "/resumable/x")
			if got.status != 200 || got.err != nil || got.body != wholeStream("r1") {
				t.Fatalf("answer %+v", got)
			}
		})
	}
}

// Guards against a computed prompt that stays in an engine's memory for nobody.
func TestUnusedPromptIsReleased(t *testing.T) {
	r := newRig(t, "prefill", "decode")
	r.targets[1].Misbehave(platform.Shed)
	got := r.prompt(t.Context(), "/single/x")
	if got.status != 503 {
		t.Fatalf("status %d", got.status)
	}
	r.forwarder.WaitForReleases()
	if released := r.targets[0].ReleasedHandles(); released != 1 {
		t.Errorf("%d handles released", released)
	}
	if runs := r.runs("r1"); len(runs) != 0 {
		t.Errorf("a refused request ran %d times", len(runs))
	}
}

// Guards against an engine that goes on generating for a caller that has left.
func TestLeavingCallerEndsTheStream(t *testing.T) {
	r := newRig(t, "decode")
	r.targets[0].Misbehave(platform.Stall)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if got := r.prompt(ctx, "/single/x"); got.err == nil {
		t.Fatalf("answer %+v", got)
	}
	deadline := time.Now().Add(time.Second)
	for r.forwarder.Active() > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the stream is still relayed a second after its caller left")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
