package bench

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/policy"
)

// stepByStep decodes a batch one token at a time and returns when each answer ends.
// All sequences start at once and no prompt is computed.
func stepByStep(m *EngineModel, outputs []int) []float64 {
	ends := make([]float64, len(outputs))
	now := 0.0
	for token := 1; ; token++ {
		running := 0
		for _, n := range outputs {
			if n >= token {
				running++
			}
		}
		if running == 0 {
			return ends
		}
		now += m.stepTime(running)
		for i, n := range outputs {
			if n == token {
				ends[i] = now
			}
		}
	}
}

// The engine advances many tokens at once; its answers must end when a simulation of
// every single step says so, or the fake is faster or slower than its model.
func TestEngineAgreesWithSingleSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := engineModel()
		outputs := rapid.SliceOfN(rapid.IntRange(1, 200), 1, 30).Draw(t, "outputs")
		e := newEngine(0, core.Target{Role: core.RoleDecode}, &m)
		got := make([]float64, len(outputs))
		for i, n := range outputs {
			e.waiting.push(&job{call: &call{output: n}, number: i, seq: uint64(i), kv: n, stage: stageWaiting})
		}
		e.join(func(*job) {})
		for now, busy := e.next(); busy; now, busy = e.next() {
			e.advance(now)
			e.answersDone(func(j *job) { got[j.number] = time.Duration(now).Seconds() })
		}
		for i, want := range stepByStep(&m, outputs) {
			if math.Abs(got[i]-want) > 1e-3 {
				t.Fatalf("answer %d of %v ends at %v s, want %v s", i, outputs, got[i], want)
			}
		}
		if e.kvUsed != 0 {
			t.Fatalf("%d tokens of KV memory are not released", e.kvUsed)
		}
	})
}

// A prompt on a busy mixed engine must take as long as its chunks and the decode steps
// between them; that interference is why roles matter at all.
func TestPromptSlowsTokensOnMixedEngine(t *testing.T) {
	m := engineModel()
	e := newEngine(0, core.Target{Role: core.RoleMixed}, &m)
	e.waiting.push(&job{call: &call{output: 1000}, kv: 1, stage: stageWaiting})
	e.join(func(*job) {})
	e.prompts.push(&job{call: &call{}, remaining: 10 * float64(m.ChunkTokens), stage: stagePrompt})
	when, _ := e.next()
	want := 10 * (m.stepTime(1) + float64(m.ChunkTokens)/m.PrefillRate*m.MixedOverhead)
	if got := time.Duration(when).Seconds(); math.Abs(got-want) > 1e-6 {
		t.Fatalf("prompt of 10 chunks takes %v s, want %v s", got, want)
	}
	e.advance(when)
	if math.Abs(e.counter-10) > 1e-3 {
		t.Fatalf("%v tokens beside 10 chunks, want 10", e.counter)
	}
}

// The cache must keep within its memory, drop the least recently used segment first and
// tell about each dropped one.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(100)
	var gone []uint64
	evicted := func(id uint64) { gone = append(gone, id) }
	c.add(1, 40, evicted)
	c.add(2, 40, evicted)
	c.tokens(1)
	c.add(3, 40, evicted)
	if c.used != 80 || len(gone) != 1 || gone[0] != 2 || c.tokens(1) != 40 || c.tokens(2) != 0 {
		t.Fatalf("used %d, evicted %v", c.used, gone)
	}
}

// quick returns a scenario shortened to the given duration.
func quick(t *testing.T, name string, duration time.Duration) *Scenario {
	t.Helper()
	scenarios, err := ScenariosByName([]string{name})
	if err != nil {
		t.Fatal(err)
	}
	scenarios[0].Duration = duration
	return &scenarios[0]
}

func build(t *testing.T, d *Deployment, c contender) core.Policy {
	t.Helper()
	built, err := policy.New(core.PolicyDocument{Name: c.name, Type: c.kind},
		policy.Options{Placer: c.placer(d), Seed: 1, Preset: d.Preset})
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// checkInvariants reports what no moment of a run may show.
func checkInvariants(t *testing.T, r *run) {
	t.Helper()
	for _, e := range r.engines {
		switch work := e.prompts.Len() + e.waiting.Len() + e.running.Len(); {
		case e.running.Len() > e.model.Slots || e.kvUsed > e.model.KVTokens || e.kvUsed < 0:
			t.Fatalf("%s at %v: %d sequences, %d tokens of KV", e.ID, r.now, e.running.Len(), e.kvUsed)
		case e.cache.used > e.model.CacheTokens:
			t.Fatalf("%s at %v: cache holds %d tokens", e.ID, r.now, e.cache.used)
		case (e.change || !e.up) && work > 0:
			t.Fatalf("%s at %v: %d requests while out of service", e.ID, r.now, work)
		case !e.role.AcceptsPrefill() && e.prompts.Len() > 0, !e.role.AcceptsDecode() && e.running.Len() > 0:
			t.Fatalf("%s at %v: work that role %v doesn't accept", e.ID, r.now, e.role)
		case r.fleet.assigned[e.index] < work:
			t.Fatalf("%s at %v: %d requests, %d known", e.ID, r.now, work, r.fleet.assigned[e.index])
		}
	}
}

// Engines must respect their memory, batch and role at every event; each call must end
// exactly once; and no planned change may cut a request.
func TestRunInvariants(t *testing.T) {
	for _, d := range Deployments() {
		for _, name := range []string{"Swing", "Crash", "Drained", "StaleReports"} {
			t.Run(d.Name+name, func(t *testing.T) {
				t.Parallel()
				s := quick(t, name, 40*time.Second)
				calls := newTrace(&d, s, 1)
				for _, c := range contenders {
					r := newRun(&d, s, calls, build(t, &d, c))
					for r.step() {
						checkInvariants(t, r)
					}
					checkEnd(t, r, c.name)
				}
			})
		}
	}
}

// checkEnd reports calls that did not end exactly once, work that was left behind and
// requests that were cut although no engine crashed.
func checkEnd(t *testing.T, r *run, name string) {
	t.Helper()
	ended := 0
	for _, k := range r.kindResults {
		ended += k.InTime + k.Refused + k.Late
	}
	if ended != len(r.calls) {
		t.Errorf("%s: %d of %d calls ended", name, ended, len(r.calls))
	}
	for i, n := range r.fleet.assigned {
		if n != 0 {
			t.Errorf("%s: engine %d keeps %d requests", name, i, n)
		}
	}
	if len(r.scenario.Crashes) == 0 && r.lost > 0 {
		t.Errorf("%s: %d requests cut without a crash", name, r.lost)
	}
}
