package platform_test

import (
	"fmt"
	"math/rand/v2"
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
func TestStreamSurvivesPauseOfItsEngine(t *testing.T) { testPause(t, platform.Pause) }

// Guards against the same between the header and the first event.
func TestStreamSurvivesPauseBeforeItsFirstEvent(t *testing.T) { testPause(t, platform.PauseFirst) }

func testPause(t *testing.T, pause platform.RequestFault) {
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
			f.targets[1].InjectFaults(pause)
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

// Guards against a stream of a dead engine that ends, or isn't continued in time, because the first
// engine that is asked refuses, breaks off or is slow.
func TestStreamOfDeadEngineIsContinued(t *testing.T) {
	for _, other := range []platform.RequestFault{"", platform.Shed, platform.Slow, platform.Pause} {
		t.Run("other-"+string(other), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode", "decode")
			f.targets[1].InjectFaults(platform.Stall)
			f.targets[2].InjectFaults(other)
			began := time.Now()
			got := f.sendPrompt(t.Context(), "/resumable/x")
			if got.status != http.StatusOK || got.err != nil || got.body != completeStream() {
				t.Errorf("response %+v", got)
			}
			if took := time.Since(began); other != platform.Pause && took > 2200*time.Millisecond {
				t.Errorf("complete after %v", took)
			}
			f.checkOverlap("r1")
		})
	}
}

// Guards against two engines that work on the same stream after the silent one has gone on.
func TestContinuationEndsWhenEngineGoesOn(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].InjectFaults(platform.Pause)
	f.targets[1].SetEvents(30, 30*time.Millisecond)
	f.targets[2].InjectFaults(platform.Hang)
	got := f.sendPrompt(t.Context(), "/resumable/x")
	if got.status != http.StatusOK || got.err != nil || strings.Count(got.body, "data:") != 30 {
		t.Fatalf("response %+v", got)
	}
	arrivals, runs := f.targets[2].Arrivals(), f.targets[2].Runs()
	if len(runs) != 1 {
		t.Fatalf("%d runs at the other engine", len(runs))
	}
	if took := runs[0].CancelledAt.Sub(arrivals[0].At); !runs[0].Cancelled || took > maxOverlap {
		t.Errorf("cancelled %v, %v after its arrival", runs[0].Cancelled, took)
	}
}

// Guards against a stream that is moved away from an engine that works on other streams.
func TestStreamStaysWithEngineThatIsAlive(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	all := []core.Registration{
		registration(f.targets[0], "prefill"), registration(f.targets[1], "decode"), registration(f.targets[2], "decode"),
	}
	f.roster.Replace(0, 2, all[:2])
	f.targets[1].InjectFaults(platform.Pause)
	paused, other := make(chan response, 1), make(chan response, 1)
	go func() { paused <- f.sendPrompt(t.Context(), "/resumable/x") }()
	time.Sleep(100 * time.Millisecond) // the stream pauses
	f.targets[1].SetEvents(80, 25*time.Millisecond)
	go func() {
		other <- f.do(t.Context(), http.MethodPost, "/resumable/x", "r2", "the prompt", "X-Model", "m", "X-Token-Count", "3000,100",
			"X-Prompt-Prefix", "ab:2500,cd:500")
	}()
	time.Sleep(100 * time.Millisecond) // the other stream has begun
	f.roster.Replace(0, 3, all)
	if got := <-paused; got.status != http.StatusOK || got.err != nil || got.body != completeStream() {
		t.Errorf("response %+v", got)
	}
	if got := <-other; got.status != http.StatusOK || got.err != nil {
		t.Errorf("response %+v", got)
	}
	if got := len(f.targets[2].Arrivals()); got != 0 {
		t.Errorf("%d requests at the other engine", got)
	}
}

// Guards against streams with missing or repeated events, sends beyond the retry budget and runs
// beyond the attempts of the route, whatever the engines do while others are silent.
func TestRandomSilencesPreserveGuarantees(t *testing.T) {
	faults := []platform.RequestFault{
		"", "", platform.Pause, platform.PauseFirst, platform.Stall, platform.Shed, platform.Slow, platform.Fail, platform.Reset,
		platform.CutStream, platform.Hang,
	}
	rng := rand.New(rand.NewPCG(30, 1))
	for i := range 48 {
		f := newFixture(t, "prefill", "decode", "decode", "decode")
		retries := rng.IntN(4)
		f.grantRetries(retries)
		mayLose := false
		var injected []platform.RequestFault
		for _, tg := range f.targets[1:] {
			fault := faults[rng.IntN(len(faults))]
			injected = append(injected, fault)
			tg.InjectFaults(fault)
			switch fault {
			case "", platform.Pause, platform.PauseFirst, platform.Slow:
			default:
				mayLose = true
			}
		}
		t.Run(fmt.Sprintf("%d%v", retries, injected), func(t *testing.T) {
			t.Parallel()
			id := fmt.Sprintf("r%d", i)
			got := f.do(t.Context(), http.MethodPost, "/resumable/x", id, "the prompt", "X-Model", "m", "X-Token-Count", "3000,100",
				"X-Prompt-Prefix", "ab:2500,cd:500")
			whole := strings.ReplaceAll(completeStream(), "r1", id)
			isComplete := got.status == http.StatusOK && got.err == nil
			if got.status == http.StatusOK && !strings.HasPrefix(whole, got.body) || isComplete && got.body != whole || !isComplete && !mayLose {
				t.Errorf("response %+v", got)
			}
			if extra := f.extraArrivals(id); extra > retries {
				t.Errorf("%d arrivals beyond the first", extra)
			}
			if runs := f.runs(id); len(runs) > 2 {
				t.Errorf("%d runs", len(runs))
			}
			f.checkOverlap(id)
		})
	}
}

// checkOverlap fails the test if a run of a request was cancelled too late after its next one was
// accepted elsewhere.
func (f *fixture) checkOverlap(id string) {
	f.t.Helper()
	time.Sleep(50 * time.Millisecond) // a target notices at once that its connection was closed
	var accepted, ended []time.Time
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
			done <- f.do(t.Context(), http.MethodPost, "/resumable/x", id, "the prompt", "X-Model", "m", "X-Token-Count", "3000,100",
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
		// other is the fault of the last engine.
		other platform.RequestFault
	}{
		{"no other engine", []string{"decode"}, 9, "", platform.PauseTime, ""},
		{"no retry left", []string{"decode", "decode"}, 0, "", platform.PauseTime, ""},
		{"prompt apart, no retry left", []string{"prefill", "decode"}, 0, platform.Slow, 0, ""},
		{"other engine refuses", []string{"decode", "decode"}, 9, "", platform.PauseTime, platform.Shed},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.phases...)
			f.grantRetries(test.retries)
			f.targets[0].InjectFaults(test.fault)
			if test.other != "" {
				f.targets[len(f.targets)-1].InjectFaults(test.other, test.other, test.other, test.other)
			}
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
	f.closeServer()
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

// Guards against a stream that is cut because its engine's entry lapses during a pause.
func TestStreamSurvivesPauseOfUnlistedEngine(t *testing.T) {
	for _, other := range []platform.RequestFault{platform.Hang, platform.Fail, platform.Reset, platform.Shed} {
		t.Run(string(other), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode")
			f.targets[1].InjectFaults(platform.Pause)
			f.targets[2].InjectFaults(other)
			time.AfterFunc(200*time.Millisecond, func() {
				f.roster.Replace(0, 2, []core.Registration{registration(f.targets[0], "prefill"), registration(f.targets[2], "decode")})
			})
			got := f.sendPrompt(t.Context(), "/resumable/x")
			if got.status != http.StatusOK || got.err != nil || got.body != completeStream() {
				t.Errorf("response %+v", got)
			}
			f.checkOverlap("r1")
		})
	}
}

// Guards against an entry of a request that names the engine that was asked in vain.
func TestSilenceEndedNamesServingEngine(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].InjectFaults(platform.Pause)
	f.targets[2].InjectFaults(platform.Hang)
	if got := f.sendPrompt(t.Context(), "/resumable/x"); got.status != http.StatusOK || got.err != nil {
		t.Fatalf("response %+v", got)
	}
	f.closeServer()
	ended := 0
	for _, e := range f.logs.Entries {
		if e.Message != "RequestEnded" {
			continue
		}
		ended++
		if want := core.TargetID(f.targets[1].ID()); e.Fields["Target"] != want {
			t.Errorf("target %v, served by %v", e.Fields["Target"], want)
		}
	}
	if ended != 1 {
		t.Errorf("%d entries", ended)
	}
}

// Guards against a request that waits for a hung engine until its deadline while another is free.
func TestPromptLeavesHungEngineBeforeItsAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		phases []string
		hung   int
	}{
		{"whole", []string{"decode", "decode"}, 0},
		{"generation", []string{"prefill", "decode", "decode"}, 1},
		{"computation", []string{"prefill", "prefill", "decode"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.phases...)
			f.targets[test.hung].InjectFaults(platform.Hang)
			began := time.Now()
			got := f.sendPrompt(t.Context(), "/resumable/x")
			if got.status != http.StatusOK || got.err != nil || got.body != completeStream() {
				t.Errorf("response %+v", got)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("complete after %v", took)
			}
		})
	}
}
