package routing_test

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/estimate"
	"gorseline/core/routing"
)

const (
	start        = core.Instant(2 * time.Second)
	plainService = core.Service("limit-ledger")
)

func allRouters() map[string]core.Router {
	return map[string]core.Router{
		"RoundRobin":   routing.NewRoundRobin(),
		"LeastLoaded":  routing.NewLeastLoaded(random.New(7)),
		"PrefixAffine": routing.NewPrefixAffine(1.25),
		"Full":         routing.NewFull(routing.DefaultFullOptions(), random.New(7)),
	}
}

// Guards against allocations on the request path. Their garbage collection would lengthen
// the pauses of all streams of an instance.
func TestRouteAllocatesNothing(t *testing.T) {
	store := loadedStore(4500)
	requests := sharedPrefixRequests(64, 10)
	fillIndex(store, requests[:32])
	late := *requests[0]
	late.Deadline = start
	requests = append(requests, &late)
	for name, router := range allRouters() {
		i := 0
		allocations := testing.AllocsPerRun(1000, func() {
			router.Route(start, requests[i%len(requests)], store)
			i++
		})
		if allocations != 0 {
			t.Errorf("%s: %v allocations per decision", name, allocations)
		}
	}
}

// fixedFleet is a fleet with fixed target states and prefix hits.
type fixedFleet struct {
	states []core.TargetState
	hits   []int
}

func (fleet fixedFleet) Candidates(_ *core.Request, dst []*core.TargetState) []*core.TargetState {
	for i := range fleet.states {
		if len(dst) < cap(dst) {
			dst = append(dst, &fleet.states[i])
		}
	}
	return dst
}

func (fleet fixedFleet) PrefixHits(_ *core.Request, candidates []*core.TargetState, hits []int) {
	for i, candidate := range candidates {
		index := slices.IndexFunc(fleet.states, func(s core.TargetState) bool { return s.ID == candidate.ID })
		hits[i] = fleet.hits[index]
	}
}

func drawFleet(t *rapid.T) fixedFleet {
	n := rapid.IntRange(0, 12).Draw(t, "targets")
	fleet := fixedFleet{states: make([]core.TargetState, n), hits: make([]int, n)}
	for i := range fleet.states {
		s := &fleet.states[i]
		s.ID, s.Models, s.Role = core.TargetID(fmt.Sprint("t", i)), []core.Model{model}, core.RoleMixed
		s.Report.Running = rapid.IntRange(0, 30).Draw(t, "running")
		s.Report.QueuedPromptTokens = rapid.IntRange(0, 30_000).Draw(t, "queued")
		s.CircuitOpen = rapid.IntRange(0, 5).Draw(t, "circuit") == 0
		s.ReportedAt = start
		fleet.hits[i] = rapid.SampledFrom([]int{0, 0, 640, 1024, 1600}).Draw(t, "hits")
	}
	return fleet
}

// naiveAllowed returns the targets that the full router may choose. It applies the router's
// three rules in order, each in one pass over all targets.
func naiveAllowed(req *core.Request, fleet fixedFleet, options routing.FullOptions) map[core.TargetID]bool {
	type candidate struct {
		state    *core.TargetState
		total    time.Duration
		feasible bool
		hits     int
	}
	var all []candidate
	for i := range fleet.states {
		if state := &fleet.states[i]; state.AcceptsWork() {
			e := estimate.Target(start, req, state, fleet.hits[i])
			all = append(all, candidate{state, e.Total, estimate.Feasible(start, req, &e), fleet.hits[i]})
		}
	}
	filter := func(candidates []candidate, accept func(candidate) bool) (kept []candidate) {
		for _, c := range candidates {
			if accept(c) {
				kept = append(kept, c)
			}
		}
		return kept
	}
	if feasible := filter(all, func(c candidate) bool { return c.feasible }); len(feasible) > 0 {
		all = feasible
		sequences, wait := 1.0, 0.0
		for _, c := range all {
			load := estimate.LoadAt(start, c.state)
			sequences += float64(load.Sequences)
			wait += load.Wait.Seconds()
		}
		scale := options.LoadBound / float64(len(all))
		holders := filter(all, func(c candidate) bool {
			load := estimate.LoadAt(start, c.state)
			return float64(c.hits) >= options.MinimumPrefixShare*float64(req.PromptTokens) && c.hits > 0 &&
				load.Sequences <= int(sequences*scale)+1 &&
				load.Wait.Seconds() <= wait*scale+load.PrefillTime(req.PromptTokens).Seconds()+1e-6
		})
		longest := 0
		for _, c := range holders {
			longest = max(longest, c.hits)
		}
		if longest > 0 {
			all = filter(holders, func(c candidate) bool { return c.hits >= longest-longest/10 })
		}
	}
	allowed := map[core.TargetID]bool{}
	for _, c := range all {
		best := all[0].total
		for _, other := range all {
			best = min(best, other.total)
		}
		if float64(c.total) <= float64(best)*(1+options.NearBest)+1 {
			allowed[c.state.ID] = true
		}
	}
	return allowed
}

// Guards against routing rules that are applied in the wrong order or to the wrong
// candidates.
func TestFullChoosesWhatNaiveRulesAllow(t *testing.T) {
	options := routing.DefaultFullOptions()
	options.TransferRate = 0
	router := routing.NewFull(options, random.New(7))
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawFleet(t)
		req := &core.Request{
			Model:        model,
			PromptTokens: 1700,
			OutputTokens: rapid.IntRange(1, 100).Draw(t, "output"),
			PrefixBlocks: make([]uint64, 26),
			Deadline:     start.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "deadline")) * time.Millisecond),
		}
		allowed := naiveAllowed(req, fleet, options)
		for range 5 {
			got := router.Route(start, req, fleet)
			if len(allowed) == 0 && got.Reason != core.ReasonNoTarget || len(allowed) > 0 && !allowed[got.Target] {
				t.Fatalf("got %+v, allowed %v", got, allowed)
			}
		}
	})
}

// Guards against sending work to an engine whose role doesn't accept it, and against
// imports that take longer than computing the prompt.
func TestRolesArePairedAndPrefixesImported(t *testing.T) {
	engine := func(id string, role core.Role) core.TargetState {
		return core.TargetState{Target: core.Target{ID: core.TargetID(id), Models: []core.Model{model}, Role: role}}
	}
	req := sharedPrefixRequests(1, 1)[0]
	disaggregated := fixedFleet{
		states: []core.TargetState{engine("p", core.RolePrefill), engine("d", core.RoleDecode)},
		hits:   []int{0, 0},
	}
	for name, router := range allRouters() {
		if got := router.Route(start, req, disaggregated); got.Target != "d" || got.Prefill != "p" {
			t.Errorf("%s: %+v", name, got)
		}
		decodeOnly := fixedFleet{states: disaggregated.states[1:], hits: disaggregated.hits[1:]}
		if got := router.Route(start, req, decodeOnly); got.Found() || got.Reason != core.ReasonNoTarget {
			t.Errorf("%s: without a prefill engine: %+v", name, got)
		}
	}
	mixed := fixedFleet{states: []core.TargetState{engine("a", core.RoleMixed), engine("b", core.RoleMixed)}, hits: []int{6400, 0}}
	mixed.states[0].Report.Running = 100
	options := routing.DefaultFullOptions()
	if got := routing.NewFull(options, random.New(7)).Route(start, req, mixed); got.Target != "b" || got.ImportFrom != "a" {
		t.Errorf("fast transfer: %+v", got)
	}
	options.TransferRate = estimate.DefaultPrefillRate / 2
	if got := routing.NewFull(options, random.New(7)).Route(start, req, mixed); got.ImportFrom != "" {
		t.Errorf("slow transfer: %+v", got)
	}
}

// Guards against herding: 9 instances with the same stale report that don't see each
// other's sends must not all choose the same target, nor overload one that looks idle.
func TestOneStaleReportCausesNoHerd(t *testing.T) {
	const targets, instances, each, others = 14, 9, 28, 8
	for _, running := range []int{others, others - 1, 0} {
		counts := map[core.TargetID]int{}
		for instance := range instances {
			store := routing.NewStore(routing.StoreOptions{})
			store.SetTargets(engines(targets))
			store.SetInstances(instances)
			for i, target := range engines(targets) {
				report := core.LoadReport{Running: others, Role: core.RoleMixed, Model: model}
				if i == 3 {
					report.Running = running
				}
				store.Report(core.Instant(time.Second), target.ID, report)
			}
			router := routing.NewFull(routing.DefaultFullOptions(), random.New(uint64(instance)))
			for range each {
				req := &core.Request{Organisation: "one", Model: model, PromptTokens: 60, OutputTokens: 50, Deadline: start.Add(time.Minute)}
				decision := router.Route(start, req, store)
				store.Sent(start, req, decision)
				counts[decision.Target]++
			}
		}
		const mean = instances * each / targets
		for id, n := range counts {
			if n > 2*mean {
				t.Errorf("%d running on one target: %s got %d requests, the mean is %d", running, id, n, mean)
			}
		}
	}
}

// Guards against sends that are no longer counted once a report arrives that was made before
// them, and against applying a report that was made before the last one.
func TestReportsAreCorrectedBySends(t *testing.T) {
	store := routing.NewStore(routing.StoreOptions{})
	store.SetTargets(engines(1))
	id := engines(1)[0].ID
	req := &core.Request{Model: model, PromptTokens: 1000, OutputTokens: 10}
	decision := core.Decision{Target: id}
	store.Sent(1e9, req, decision)
	store.Sent(3e9, req, decision)
	store.Finished(4e9, decision)
	store.Report(5e9, id, core.LoadReport{Running: 1, Model: model, Age: 3 * time.Second})
	store.Report(6e9, id, core.LoadReport{Running: 9, Model: model, Age: 5 * time.Second})
	got, _ := store.State(id)
	if got.Report.Running != 1 || got.SentRequests != 1 || got.SentPromptTokens != 1000 || got.FinishedRequests != 1 || got.InFlight != 1 {
		t.Errorf("%+v", got)
	}
	load := estimate.LoadAt(6e9, &got)
	if load.Sequences != 1 || load.Wait != 0 {
		t.Errorf("load %+v", load)
	}
	// A burst after a long idle time is still queued.
	store.Sent(60e9, &core.Request{Model: model, PromptTokens: 16_000}, decision)
	got, _ = store.State(id)
	if wait := estimate.LoadAt(60e9, &got).Wait; wait < 1990*time.Millisecond || wait > 2010*time.Millisecond {
		t.Errorf("wait after a burst: %v, want 2s", wait)
	}
}

// Guards against candidates that were removed, are drained or run another model, and
// against an engine that isn't found under its new model.
func TestCandidatesFollowChanges(t *testing.T) {
	store := routing.NewStore(routing.StoreOptions{})
	targets := engines(3)
	targets[0].Models = []core.Model{model, "other"}
	targets = append(targets, core.Target{ID: "s", Service: plainService})
	store.SetTargets(targets)
	find := func(m core.Model, s core.Service) int {
		return len(store.Candidates(&core.Request{Model: m, Service: s}, make([]*core.TargetState, 0, 8)))
	}
	store.Report(1e9, targets[0].ID, core.LoadReport{Model: "other"})
	store.SetDrained(map[core.TargetID]bool{targets[1].ID: true})
	if find(model, "") != 1 || find("other", "") != 1 || find("", plainService) != 1 || find("none", "") != 0 {
		t.Error("wrong candidates after a report and a drain")
	}
	store.Report(2e9, targets[0].ID, core.LoadReport{Model: model})
	store.SetDrained(nil)
	store.SetCircuit(targets[2].ID, true)
	if find(model, "") != 2 || find("other", "") != 0 {
		t.Error("wrong candidates after a model change and an open circuit")
	}
	store.SetTargets(targets[:1])
	if find(model, "") != 1 || find("", plainService) != 0 {
		t.Error("removed targets are still found")
	}
}

// Guards against data races between decisions and updates, which go test -race detects.
func TestUpdatesAreConcurrentWithDecisions(t *testing.T) {
	store := loadedStore(100)
	requests := sharedPrefixRequests(64, 10)
	var group sync.WaitGroup
	for name, router := range allRouters() {
		group.Go(func() {
			source := rand.New(rand.NewSource(int64(len(name))))
			for i := range 200 {
				req := requests[source.Intn(len(requests))]
				decision := router.Route(start, req, store)
				if !decision.Found() {
					t.Errorf("%s: %+v", name, decision)
					return
				}
				store.Sent(start, req, decision)
				store.Report(start.Add(time.Duration(i)), decision.Target, core.LoadReport{Running: i, Model: model, Role: core.RoleMixed})
				store.CacheEvents(decision.Target, []core.CacheEvent{{Sequence: uint64(i * 2), Block: req.PrefixBlocks[0], Evicted: i%3 == 0}})
				store.Observe(decision.Target, estimate.Observation{Computed: 1000, FirstToken: time.Second, Sequences: 4, BetweenTokens: 20 * time.Millisecond})
				if i%50 == 0 {
					store.SetTargets(engines(100 + i))
				}
				store.Finished(start, decision)
			}
		})
	}
	group.Wait()
}

// Guards against round-robin and least-loaded routers that distribute requests unevenly.
func TestSimpleRoutersSpreadRequests(t *testing.T) {
	for _, name := range []string{"RoundRobin", "LeastLoaded"} {
		store := routing.NewStore(routing.StoreOptions{})
		store.SetTargets(engines(7))
		router := allRouters()[name]
		counts := map[core.TargetID]int{}
		for i := range 70 {
			req := &core.Request{Organisation: core.Organisation(fmt.Sprint(i)), Model: model, PromptTokens: 10}
			decision := router.Route(start, req, store)
			store.Sent(start, req, decision)
			counts[decision.Target]++
		}
		for id, n := range counts {
			if len(counts) != 7 || n != 10 {
				t.Errorf("%s: %s got %d of 70 requests, want 10", name, id, n)
			}
		}
	}
}
