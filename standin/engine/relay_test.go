package engine_test

import (
	"context"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/stream"
	"gorseline/standin/engine"
)

// after returns a function that runs fault on its n-th call.
func after(n int, fault func()) func() {
	return func() {
		if n--; n == 0 {
			fault()
		}
	}
}

// Guards against missing, duplicated or wrong text. Whatever fault an engine or a
// connection has before or during a stream, the caller gets the complete answer exactly
// once.
func TestFaultsDuringStream(t *testing.T) {
	tests := []struct {
		name            string
		before          func(c *cluster)
		during          func(c *cluster)
		limit           time.Duration // of the whole answer, 100 tokens of 12.3 ms
		resumes, reruns int
	}{
		{name: "no fault", limit: 1500 * time.Millisecond},
		{name: "half-open engine", before: func(c *cluster) { c.engines[0].SetHalfOpen(true) }, limit: 6 * time.Second, reruns: 1},
		{name: "refused dial", before: func(c *cluster) { c.network.SetRefusing(engineAddress(0), true) }, limit: 2 * time.Second},
		{name: "crashed engine", before: func(c *cluster) { c.engines[0].Crash() }, limit: 2 * time.Second, reruns: 1},
		{name: "crash in the middle", during: func(c *cluster) { c.engines[0].Crash() }, limit: 5 * time.Second, resumes: 3, reruns: 1},
		{name: "crash and restart", during: func(c *cluster) { c.engines[0].CrashAndRestart() }, limit: 3 * time.Second, resumes: 1, reruns: 1},
		{name: "silent connection", during: func(c *cluster) { c.network.Blackhole(engineAddress(0)) }, limit: 6 * time.Second, resumes: 1},
		{name: "pause of the engine", during: func(c *cluster) {
			c.engines[0].SetPaused(true)
			time.AfterFunc(5*time.Second, func() { c.engines[0].SetPaused(false) })
		}, limit: 9 * time.Second, resumes: 1},
		{name: "half-open in the middle", during: func(c *cluster) { c.engines[0].SetHalfOpen(true) }, limit: 9 * time.Second, resumes: 1, reruns: 1},
		{name: "cut three times", before: func(c *cluster) { c.engines[0].CutStreams(3, 10) }, limit: 3 * time.Second, resumes: 3},
		{name: "doubled pieces", before: func(c *cluster) { c.engines[0].SetDuplicatePieces(true) }, limit: 2 * time.Second},
		{name: "reordered pieces", before: func(c *cluster) { c.engines[0].SetReorderPieces(true) }, limit: 2 * time.Second},
		{name: "delayed pieces", before: func(c *cluster) { c.engines[0].SetPieceDelay(50 * time.Millisecond) }, limit: 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 2, 1, func(t *testing.T, c *cluster) {
				if test.before != nil {
					test.before(c)
				}
				during := func() {}
				if test.during != nil {
					during = func() { test.during(c) }
				}
				var a answer
				started := time.Now()
				if err := c.ask(t.Context(), c.instances[0].address, "club", "some prompt", 100, &a, after(40, during)); err != nil {
					t.Fatal(err)
				}
				a.check(t, "some prompt", 100)
				if took := time.Since(started); took > test.limit {
					t.Errorf("took %v, want at most %v", took, test.limit)
				}
				result := <-c.instances[0].results
				if result.Outcome != core.OutcomeDone || result.Resumes != test.resumes || result.Reruns != test.reruns {
					t.Errorf("result %+v", result)
				}
			})
		})
	}
}

// Guards against a second run of a request that is not repeatable: if its engine
// crashes during the stream, the caller gets a refusal instead.
func TestCrashDuringNonRepeatableRequest(t *testing.T) {
	runCluster(t, 2, 1, func(t *testing.T, c *cluster) {
		c.instances[0].repeatable = false
		c.instances[0].deadline = 5 * time.Second
		var a answer
		crash := after(10, func() { c.engines[0].Crash() })
		if err := c.ask(t.Context(), c.instances[0].address, "club", "p", 50, &a, crash); err != nil {
			t.Fatal(err)
		}
		if a.refusal == nil || a.refusal.NotRun || a.done {
			t.Errorf("refusal %+v", a.refusal)
		}
		if got := c.engines[1].Counters().Started; got != 0 {
			t.Errorf("ran %d times on the other engine", got)
		}
		if result := <-c.instances[0].results; result.Outcome != core.OutcomeCut {
			t.Errorf("result %+v", result)
		}
	})
}

// Guards against completions that continue after their caller has disconnected, while
// the prompt is computed or while the answer is streamed.
func TestCallerDisconnects(t *testing.T) {
	for _, prompt := range []string{"short", engine.Prompt("long", 0, 50_000, 1)} {
		runCluster(t, 1, 1, func(t *testing.T, c *cluster) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var a answer
			if err := c.ask(ctx, c.instances[0].address, "club", prompt, 1000, &a, nil); err == nil {
				t.Fatal("the answer ended early")
			}
			if result := <-c.instances[0].results; result.Reason != stream.EndCallerLeft {
				t.Errorf("result %+v", result)
			}
			if got := c.engines[0].Counters(); got.Cancelled != 1 {
				t.Errorf("counters %+v", got)
			}
		})
	}
}

// Guards against a caller that stops reading and thereby keeps its stream open
// forever or delays other streams. The caller can resume its stream later.
func TestCallerStalls(t *testing.T) {
	runCluster(t, 1, 1, func(t *testing.T, c *cluster) {
		ctx, release := context.WithCancel(t.Context())
		slowDone := make(chan error)
		var slow answer
		go func() {
			slowDone <- c.ask(ctx, c.instances[0].address, "club", "slow", 1000, &slow, after(5, func() { <-ctx.Done() }))
		}()
		time.Sleep(time.Second)
		var quick answer
		started := time.Now()
		if err := c.ask(t.Context(), c.instances[0].address, "club", "quick", 100, &quick, nil); err != nil {
			t.Fatal(err)
		}
		quick.check(t, "quick", 100)
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("the other stream took %v", took)
		}
		<-c.instances[0].results
		if result := <-c.instances[0].results; result.Reason != stream.EndCallerStalled {
			t.Errorf("result %+v", result)
		}
		release()
		<-slowDone
		if err := c.ask(t.Context(), c.instances[0].address, "club", "slow", 1000, &slow, nil); err != nil {
			t.Fatal(err)
		}
		slow.check(t, "slow", 1000)
	})
}

// Guards against a stream that is lost with its instance: another instance resumes it
// after the last event. It refuses the resume token to other organisations.
func TestResumeOnAnotherInstance(t *testing.T) {
	runCluster(t, 1, 2, func(t *testing.T, c *cluster) {
		var a answer
		leave := after(20, func() { c.instances[0].relay.HandOver() })
		if err := c.ask(t.Context(), c.instances[0].address, "club", "p", 100, &a, leave); err != nil {
			t.Fatal(err)
		}
		if a.refusal == nil || a.refusal.Kind != "StreamMoved" {
			t.Fatalf("refusal %v", a.refusal)
		}
		foreign := a
		if err := c.ask(t.Context(), c.instances[1].address, "rival", "p", 100, &foreign, nil); err != nil {
			t.Fatal(err)
		}
		if foreign.refusal == nil || foreign.refusal.Kind != "ForeignResumeToken" || foreign.text != a.text {
			t.Errorf("another organisation got %+v", foreign)
		}
		if err := c.ask(t.Context(), c.instances[1].address, "club", "p", 100, &a, nil); err != nil {
			t.Fatal(err)
		}
		a.check(t, "p", 100)
		if got := c.engines[0].Counters(); got.Started != 1 || got.Resumed != 1 {
			t.Errorf("counters %+v", got)
		}
	})
}
