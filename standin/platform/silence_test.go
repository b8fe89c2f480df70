package platform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/standin/platform"
)

// maxOverlap is the longest time for which two engines may run the same stream.
const maxOverlap = 400 * time.Millisecond

// Guards against a stream that is ended because its engine pauses for a second and a half, although
// the engine goes on: the attempt, the retry or the engine for a continuation was missing.
func TestStreamSurvivesPauseOfItsEngine(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		phases  []string
		retries int
		// other is the fault of the engine that could continue the stream.
		other platform.RequestFault
	}{
		{"no other engine", "/resumable/x", []string{"prefill", "decode"}, 9, ""},
		{"no retry left", "/resumable/x", []string{"prefill", "decode", "decode"}, 0, ""},
		{"other engine refuses", "/resumable/x", []string{"prefill", "decode", "decode"}, 9, platform.Shed},
		{"other engine resets", "/resumable/x", []string{"prefill", "decode", "decode"}, 9, platform.Reset},
		{"other engine fails", "/resumable/x", []string{"prefill", "decode", "decode"}, 9, platform.Fail},
		{"other engine is silent", "/resumable/x", []string{"prefill", "decode", "decode"}, 9, platform.Hang},
		{"other engine answers late", "/resumable/x", []string{"prefill", "decode", "decode"}, 9, platform.Slow},
		{"other engine is free", "/resumable/x", []string{"prefill", "decode", "decode"}, 9, ""},
		{"not resumable", "/single/x", []string{"prefill", "decode", "decode"}, 9, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.phases...)
			f.grantRetries(test.retries)
			// The first of two idle engines is chosen.
			f.targets[1].InjectFaults(platform.Pause)
			if test.other != "" {
				f.targets[2].InjectFaults(test.other)
			}
			got := f.sendPrompt(t.Context(), test.path)
			if got.status != http.StatusOK || got.err != nil || got.body != completeStream() {
				t.Errorf("response %+v", got)
			}
			f.checkOverlap("r1")
		})
	}
}

// checkOverlap fails the test if a run of a request was cancelled too late after its next one was
// accepted elsewhere.
func (f *fixture) checkOverlap(id string) {
	f.t.Helper()
	time.Sleep(50 * time.Millisecond) // a target notices at once that its connection was closed
	var accepted []time.Time
	var ended []time.Time
	for _, tg := range f.targets {
		for _, a := range tg.Arrivals() {
			if a.ID == id && !a.Prefill && a.Accepted {
				accepted = append(accepted, a.At)
			}
		}
		for _, run := range tg.Runs() {
			if run.ID == id {
				ended = append(ended, run.CancelledAt) // zero for a run that was not cancelled
			}
		}
	}
	for i, end := range ended {
		for j, next := range accepted {
			if accepted[i].Before(next) && !end.IsZero() && end.Sub(next) > maxOverlap {
				f.t.Errorf("run %d was cancelled %v after run %d was accepted", i, end.Sub(next), j)
			}
		}
	}
}

// Guards against an engine that is avoided after one silence of several streams, and so loses the
// requests of the following seconds, although it has gone on.
func TestEngineIsUsedAfterPause(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	f.targets[1].InjectFaults(platform.Pause, platform.Pause, platform.Pause)
	done := make(chan response, 3)
	for _, id := range []string{"r1", "r2", "r3"} {
		go func() {
			done <- f.do(t.Context(), http.MethodPost, "/resumable/x", id, "the prompt", "X-Model", "m", "X-Token-Count", "3000,8",
				"X-Prompt-Prefix", "ab:2500,cd:500")
		}()
		time.Sleep(20 * time.Millisecond) // one prompt after the other
	}
	for range cap(done) {
		if got := <-done; got.status != http.StatusOK || got.err != nil {
			t.Errorf("response %+v", got)
		}
	}
	if got := f.sendPrompt(t.Context(), "/single/x"); got.status != http.StatusOK {
		t.Errorf("status %d: the engine is avoided after its pause", got.status)
	}
}

// Guards against a safe or unsafe call that is failed because its target pauses for a second and
// a half, although the target answers within the time of the route.
func TestCallSurvivesPauseOfItsTarget(t *testing.T) {
	tests := []struct {
		name, path string
		targets    int
		retries    int
		other      platform.RequestFault
	}{
		{"unsafe", "/once/x", 2, 9, ""},
		{"no other target", "/safe/x", 1, 9, ""},
		{"no retry left", "/safe/x", 2, 0, ""},
		{"other target is free", "/safe/x", 2, 9, ""},
		{"other target pauses too", "/safe/x", 2, 9, platform.Pause},
		{"other target refuses", "/safe/x", 2, 9, platform.Shed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, []string{"", ""}[:test.targets]...)
			list := []core.Registration{localRegistration(f, 0)}
			if test.targets > 1 {
				list = append(list, remoteRegistration(f, 1))
				f.targets[1].InjectFaults(test.other)
			}
			f.roster.Replace(0, 2, list)
			f.grantRetries(test.retries)
			f.targets[0].InjectFaults(platform.Pause)
			got := f.do(t.Context(), http.MethodPost, test.path, "r1", "")
			if got.status != http.StatusOK || got.err != nil || got.body != "answer to r1" {
				t.Errorf("response %+v", got)
			}
		})
	}
}

// Guards against a request that fails because its engine pauses before the header of its answer,
// although it can't be sent to another engine.
func TestPromptSurvivesPauseBeforeItsAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		phases  []string
		retries int
		// fault and processingTime are those of the first engine.
		fault          platform.RequestFault
		processingTime time.Duration
	}{
		{"no other engine", []string{"decode"}, 9, "", platform.PauseTime},
		{"no retry left", []string{"decode", "decode"}, 0, "", platform.PauseTime},
		{"prompt apart, no retry left", []string{"prefill", "decode"}, 0, platform.Slow, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.phases...)
			f.grantRetries(test.retries)
			f.targets[0].InjectFaults(test.fault)
			f.targets[0].SetProcessingTime(test.processingTime)
			got := f.sendPrompt(t.Context(), "/resumable/x")
			if got.status != http.StatusOK || got.err != nil || got.body != completeStream() {
				t.Errorf("response %+v", got)
			}
		})
	}
}

// Guards against a silence that leaves no trace in the log, or too many lines.
func TestSilenceIsLogged(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	f.targets[1].InjectFaults(platform.Pause)
	f.sendPrompt(t.Context(), "/resumable/x")
	f.server.Close()
	var steps []string
	for _, e := range f.logs.Entries {
		if e.Message == "EngineSilent" {
			steps = append(steps, e.Fields["Step"].(string))
		}
	}
	if got := strings.Join(steps, " "); got != "Noticed NotPossible Ended" {
		t.Errorf("steps %q", got)
	}
}
