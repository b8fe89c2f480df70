package bench

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/policy"
)

// decodeStepByStep decodes a batch one token at a time and returns when each answer is
// complete, in seconds. All sequences start together and no prompt is computed.
func decodeStepByStep(m *EngineModel, outputs []int) []float64 {
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

// The engine computes the progress of many tokens at once. An error in this calculation
// would make the fake faster or slower than its model, so the completion times are compared
// with a simulation of every step.
func TestEngineAgreesWithSingleSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := engineModel()
		outputs := rapid.SliceOfN(rapid.IntRange(1, 200), 1, 30).Draw(t, "outputs")
		e := newEngine(0, core.Target{Role: core.RoleDecode}, &m)
		got := make([]float64, len(outputs))
		for i, n := range outputs {
			e.decodeQueue.push(&job{call: &call{actualOutput: n}, callIndex: i, seq: uint64(i), kvTokens: n, stage: stageWaiting})
		}
		e.fillBatch(func(*job) {})
		for now, busy := e.nextCompletion(); busy; now, busy = e.nextCompletion() {
			e.advance(now)
			e.removeCompleteAnswers(func(j *job) { got[j.callIndex] = time.Duration(now).Seconds() })
		}
		for i, want := range decodeStepByStep(&m, outputs) {
			if math.Abs(got[i]-want) > 1e-3 {
				t.Fatalf("answer %d of %v is complete at %v s, want %v s", i, outputs, got[i], want)
			}
		}
		if e.kvUsed != 0 {
			t.Fatalf("%d tokens of KV memory not released", e.kvUsed)
		}
	})
}

// A prompt on a busy mixed engine takes the time of its chunks and of the decode steps
// between them. Without this interference separate roles would have no advantage, and the
// comparison would favour mixed engines.
func TestPromptSlowsTokensOnMixedEngine(t *testing.T) {
	m := engineModel()
	e := newEngine(0, core.Target{Role: core.RoleMixed}, &m)
	e.decodeQueue.push(&job{call: &call{actualOutput: 1000}, kvTokens: 1, stage: stageWaiting})
	e.fillBatch(func(*job) {})
	e.promptQueue.push(&job{call: &call{}, remainingPrompt: 10 * float64(m.ChunkTokens), stage: stagePrompt})
	when, _ := e.nextCompletion()
	want := 10 * (m.stepTime(1) + float64(m.ChunkTokens)/m.PrefillRate*m.MixedOverhead)
	if got := time.Duration(when).Seconds(); math.Abs(got-want) > 1e-6 {
		t.Fatalf("prompt of 10 chunks takes %v s, want %v s", got, want)
	}
	e.advance(when)
	if math.Abs(e.tokenCounter-10) > 1e-3 {
		t.Fatalf("%v tokens generated during 10 chunks, want 10", e.tokenCounter)
	}
}

// A cache that exceeds its capacity or evicts the wrong segment would make prefix affinity
// look better or worse than it is. An eviction that isn't reported would leave a stale
// entry in the router's prefix index.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(100)
	var evicted []uint64
	onEvicted := func(id uint64) { evicted = append(evicted, id) }
	c.add(1, 40, onEvicted)
	c.add(2, 40, onEvicted)
	c.lookup(1)
	c.add(3, 40, onEvicted)
	if c.usedTokens != 80 || len(evicted) != 1 || evicted[0] != 2 || c.lookup(1) != 40 || c.lookup(2) != 0 {
		t.Fatalf("used %d, evicted %v", c.usedTokens, evicted)
	}
}

// shortScenario returns a scenario shortened to the given duration.
func shortScenario(t *testing.T, name string, duration time.Duration) *Scenario {
	t.Helper()
	scenarios, err := ScenariosByName([]string{name})
	if err != nil {
		t.Fatal(err)
	}
	scenarios[0].Duration = duration
	return &scenarios[0]
}

// newTestPolicy builds the policy of a candidate with a fixed seed.
func newTestPolicy(t *testing.T, d *Deployment, c candidate) core.Policy {
	t.Helper()
	testPolicy, err := policy.New(core.PolicyDocument{Name: c.name, Type: c.policyType},
		policy.Options{Placer: c.newPlacer(d), Seed: 1, Preset: d.Preset})
	if err != nil {
		t.Fatal(err)
	}
	return testPolicy
}

// checkInvariants fails the test if an engine exceeds its limits, has work that its role or
// state excludes, or has more work than the fleet has recorded.
func checkInvariants(t *testing.T, r *run) {
	t.Helper()
	for _, e := range r.engines {
		switch work := e.promptQueue.Len() + e.decodeQueue.Len() + e.batch.Len(); {
		case e.batch.Len() > e.model.Slots || e.kvUsed > e.model.KVTokens || e.kvUsed < 0:
			t.Fatalf("%s at %v: %d sequences, %d tokens of KV", e.ID, r.now, e.batch.Len(), e.kvUsed)
		case e.cache.usedTokens > e.model.CacheTokens:
			t.Fatalf("%s at %v: cache holds %d tokens", e.ID, r.now, e.cache.usedTokens)
		case (e.changingRole || !e.up) && work > 0:
			t.Fatalf("%s at %v: %d requests while out of service", e.ID, r.now, work)
		case !e.role.AcceptsPrefill() && e.promptQueue.Len() > 0, !e.role.AcceptsDecode() && e.batch.Len() > 0:
			t.Fatalf("%s at %v: work that role %v doesn't accept", e.ID, r.now, e.role)
		case r.fleet.unfinished[e.index] < work:
			t.Fatalf("%s at %v: %d requests, %d recorded", e.ID, r.now, work, r.fleet.unfinished[e.index])
		}
	}
}

// Errors in queueing, cancellation or crash handling would exceed an engine's memory, batch
// or role, end a call twice or never, or abort requests at a role change. Each of them
// would distort the comparison, so every event of each run is checked.
func TestRunInvariants(t *testing.T) {
	for _, d := range Deployments() {
		for _, name := range []string{"Swing", "Crash", "Drained", "StaleReports"} {
			t.Run(d.Name+name, func(t *testing.T) {
				t.Parallel()
				s := shortScenario(t, name, 40*time.Second)
				calls := newTrace(&d, s, 1)
				for _, c := range candidates {
					r := newRun(&d, s, calls, newTestPolicy(t, &d, c))
					for r.step() {
						checkInvariants(t, r)
					}
					checkOutcomes(t, r, c.name)
				}
			})
		}
	}
}

// checkOutcomes reports calls that did not end exactly once, requests that are still
// recorded as unfinished and attempts that failed although no engine crashed.
func checkOutcomes(t *testing.T, r *run, name string) {
	t.Helper()
	ended := 0
	for _, k := range r.kindResults {
		ended += k.InTime + k.Refused + k.Late
	}
	if ended != len(r.calls) {
		t.Errorf("%s: %d outcomes of %d calls", name, ended, len(r.calls))
	}
	for i, n := range r.fleet.unfinished {
		if n != 0 {
			t.Errorf("%s: engine %d has %d unfinished requests", name, i, n)
		}
	}
	if len(r.scenario.Crashes) == 0 && r.failedAttempts > 0 {
		t.Errorf("%s: %d attempts failed without a crash", name, r.failedAttempts)
	}
}
