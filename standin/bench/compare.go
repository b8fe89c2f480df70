package bench

import (
	"fmt"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/placement"
	"gorseline/core/policy"
)

// KindResult counts the calls of one kind by outcome.
type KindResult struct {
	Kind                           core.KindName
	Arrived, InTime, Refused, Late int
}

// Result is the outcome of one run.
type Result struct {
	// Goodput is the total weight of the calls answered in time, Offered that of all
	// calls and Bound the upper bound of Goodput for any policy.
	Goodput, Offered, Bound float64
	RoleChanges             int
	Kinds                   []KindResult
}

// candidate is a policy to compare and the placement that it uses.
type candidate struct {
	name, policyType string
	newPlacer        func(d *Deployment) core.Placer
}

var candidates = []candidate{
	{"RoundRobin", "RoundRobin", func(*Deployment) core.Placer { return placement.Static{} }},
	{"LeastLoaded", "LeastLoaded", func(d *Deployment) core.Placer {
		return placement.Reactive{BatchSize: d.EngineModel.Slots}
	}},
	{"PrefixAffine", "PrefixAffine", func(*Deployment) core.Placer { return placement.Static{} }},
	{"Full", "Full", fullPlacer},
}

// fullPlacer returns the placer of the full policy, with the deployment's preset. At least
// a quarter of the engines always computes prompts and at least a third generates tokens:
// with only 4 of 14 engines generating, a sudden return to longer outputs filled their
// batches and urgent requests had to wait.
func fullPlacer(d *Deployment) core.Placer {
	return placement.New(placement.Options{
		RoleChangePrice: d.Preset.RoleChangePrice, MinimumStay: d.Preset.MinimumStay,
		ChangeTime: d.EngineModel.RoleChangeTime, BatchSize: d.EngineModel.Slots,
		FloorPrefill: (len(d.Engines) + 3) / 4, FloorDecode: (len(d.Engines) + 2) / 3,
	})
}

// PolicyNames returns the names of the policies that can be compared.
func PolicyNames() []string {
	var names []string
	for _, c := range candidates {
		names = append(names, c.name)
	}
	return names
}

// Options configures a comparison.
type Options struct {
	Deployment Deployment
	// Scenarios are the scenarios to run; empty means all.
	Scenarios []Scenario
	// Policies are the names of the policies to run, see PolicyNames; empty means all.
	Policies []string
	// Seeds is the number of traces per scenario; the first has the seed FirstSeed.
	Seeds     int
	FirstSeed uint64
	// Workers is the number of traces that run concurrently. Values below 1 count as 1.
	Workers int
}

// Compare runs every policy on the same traces and returns one row per policy and
// scenario. Equal options give equal rows, whatever the number of workers. Its errors are
// a core.InvalidValueError for invalid options and those of building a policy.
func Compare(o Options) ([]Row, error) {
	if o.Seeds < 1 {
		return nil, &core.InvalidValueError{Path: "seeds", Value: fmt.Sprint(o.Seeds), Accepted: []string{"1 or more"}}
	}
	selected, err := selectCandidates(o.Policies)
	if err != nil {
		return nil, err
	}
	if len(o.Scenarios) == 0 {
		o.Scenarios = Scenarios()
	}
	results, err := o.runAll(selected)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for p, c := range selected {
		for s := range o.Scenarios {
			rows = append(rows, newRow(c.name, o.Scenarios[s].Name, results[p][s]))
		}
	}
	return rows, nil
}

// selectCandidates looks up candidates by name; no names select all.
func selectCandidates(names []string) ([]candidate, error) {
	if len(names) == 0 {
		return candidates, nil
	}
	var selected []candidate
	for _, name := range names {
		i := slices.IndexFunc(candidates, func(c candidate) bool { return c.name == name })
		if i < 0 {
			return nil, &core.InvalidValueError{Path: "policies", Value: name, Accepted: PolicyNames()}
		}
		selected = append(selected, candidates[i])
	}
	return selected, nil
}

// runAll runs the policies on all traces and returns the results by policy, scenario and
// seed, with the first error.
func (o *Options) runAll(selected []candidate) ([][][]Result, error) {
	results := make([][][]Result, len(selected))
	for p := range results {
		results[p] = make([][]Result, len(o.Scenarios))
		for s := range results[p] {
			results[p][s] = make([]Result, o.Seeds)
		}
	}
	type task struct{ scenario, seed int }
	tasks := make(chan task)
	var wg sync.WaitGroup
	var once sync.Once
	var firstErr error
	for range max(1, o.Workers) {
		wg.Go(func() {
			for t := range tasks {
				for p, result := range o.runTrace(selected, t.scenario, t.seed, func(err error) { once.Do(func() { firstErr = err }) }) {
					results[p][t.scenario][t.seed] = result
				}
			}
		})
	}
	for seed := range o.Seeds {
		for scenario := range o.Scenarios {
			tasks <- task{scenario, seed}
		}
	}
	close(tasks)
	wg.Wait()
	return results, firstErr
}

// runTrace runs the policies on one trace. If one can't be built, it calls fail with the
// error and returns nil.
func (o *Options) runTrace(selected []candidate, scenario, seed int, fail func(error)) []Result {
	d, s := &o.Deployment, &o.Scenarios[scenario]
	traceSeed := o.FirstSeed + uint64(seed)
	calls := newTrace(d, s, traceSeed)
	bound := GoodputBound(d, s, calls)
	results := make([]Result, len(selected))
	for p, c := range selected {
		result, err := runCandidate(d, s, calls, c, traceSeed)
		if err != nil {
			fail(err)
			return nil
		}
		result.Bound = bound
		results[p] = result
	}
	return results
}

func runCandidate(d *Deployment, s *Scenario, calls []call, c candidate, seed uint64) (Result, error) {
	document := core.PolicyDocument{Name: c.name, Type: c.policyType}
	selectedPolicy, err := policy.New(document, policy.Options{Placer: c.newPlacer(d), Seed: seed, Preset: d.Preset})
	if err != nil {
		return Result{}, errors.Wrapf(err, "build policy %s", c.name)
	}
	return runPolicy(d, s, calls, selectedPolicy), nil
}
