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

// KindResult is what became of the calls of one kind.
type KindResult struct {
	Kind                           core.KindName
	Arrived, InTime, Refused, Late int
}

// Result is the outcome of one run.
type Result struct {
	// Goodput is the weight answered in time, Offered the weight that arrived and
	// Bound the weight that no policy can exceed.
	Goodput, Offered, Bound float64
	RoleChanges             int
	Kinds                   []KindResult
}

// contender is a policy of the comparison with the placement that goes with it.
type contender struct {
	name, kind string
	placer     func(d *Deployment) core.Placer
}

var contenders = []contender{
	{"RoundRobin", "RoundRobin", func(*Deployment) core.Placer { return placement.Static{} }},
	{"LeastLoaded", "LeastLoaded", func(d *Deployment) core.Placer {
		return placement.Reactive{BatchSize: d.EngineModel.Slots}
	}},
	{"PrefixAffine", "PrefixAffine", func(*Deployment) core.Placer { return placement.Static{} }},
	{"Full", "Full", planner},
}

// planner is the placement of the full policy, with the deployment's preset. A quarter
// of the engines always computes prompts and a third generates tokens: with 4 of 14 left
// to generate, a sudden swing back filled their batches and urgent requests waited.
func planner(d *Deployment) core.Placer {
	return placement.New(placement.Options{
		RoleChangePrice: d.Preset.RoleChangePrice, MinimumStay: d.Preset.MinimumStay,
		ChangeTime: d.EngineModel.ChangeTime, BatchSize: d.EngineModel.Slots,
		FloorPrefill: (len(d.Engines) + 3) / 4, FloorDecode: (len(d.Engines) + 2) / 3,
	})
}

// PolicyNames returns the names of the policies that can be compared.
func PolicyNames() []string {
	var names []string
	for _, c := range contenders {
		names = append(names, c.name)
	}
	return names
}

// Options select what Compare runs.
type Options struct {
	Deployment Deployment
	// Scenarios default to all.
	Scenarios []Scenario
	// Policies default to all; see PolicyNames.
	Policies []string
	// Seeds is the number of traces per scenario; the first has the seed FirstSeed.
	Seeds     int
	FirstSeed uint64
	// Workers is the number of seeds that run at once, at least 1.
	Workers int
}

// Compare runs every policy on the same traces and returns one row per policy and
// scenario. Equal options give equal rows, whatever the number of workers.
func Compare(o Options) ([]Row, error) {
	if o.Seeds < 1 {
		return nil, &core.InvalidValueError{Path: "seeds", Value: fmt.Sprint(o.Seeds), Accepted: []string{"1 or more"}}
	}
	chosen, err := choose(o.Policies)
	if err != nil {
		return nil, err
	}
	if len(o.Scenarios) == 0 {
		o.Scenarios = Scenarios()
	}
	results, err := o.runAll(chosen)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for p, c := range chosen {
		for s := range o.Scenarios {
			rows = append(rows, newRow(c.name, o.Scenarios[s].Name, results[p][s]))
		}
	}
	return rows, nil
}

func choose(names []string) ([]contender, error) {
	if len(names) == 0 {
		return contenders, nil
	}
	var chosen []contender
	for _, name := range names {
		i := slices.IndexFunc(contenders, func(c contender) bool { return c.name == name })
		if i < 0 {
			return nil, &core.InvalidValueError{Path: "policies", Value: name, Accepted: PolicyNames()}
		}
		chosen = append(chosen, contenders[i])
	}
	return chosen, nil
}

// runAll returns the results by policy, scenario and seed.
func (o *Options) runAll(chosen []contender) ([][][]Result, error) {
	results := make([][][]Result, len(chosen))
	for p := range results {
		results[p] = make([][]Result, len(o.Scenarios))
		for s := range results[p] {
			results[p][s] = make([]Result, o.Seeds)
		}
	}
	type task struct{ scenario, seed int }
	tasks := make(chan task)
	var group sync.WaitGroup
	var once sync.Once
	var failed error
	for range max(1, o.Workers) {
		group.Go(func() {
			for t := range tasks {
				for p, result := range o.runTrace(chosen, t.scenario, t.seed, func(err error) { once.Do(func() { failed = err }) }) {
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
	group.Wait()
	return results, failed
}

// runTrace runs the policies on one trace.
func (o *Options) runTrace(chosen []contender, scenario, seed int, fail func(error)) []Result {
	d, s := &o.Deployment, &o.Scenarios[scenario]
	number := o.FirstSeed + uint64(seed)
	calls := newTrace(d, s, number)
	bound := GoodputBound(d, s, calls)
	results := make([]Result, len(chosen))
	for p, c := range chosen {
		result, err := runContender(d, s, calls, c, number)
		if err != nil {
			fail(err)
			return nil
		}
		result.Bound = bound
		results[p] = result
	}
	return results
}

func runContender(d *Deployment, s *Scenario, calls []call, c contender, seed uint64) (Result, error) {
	document := core.PolicyDocument{Name: c.name, Type: c.kind}
	built, err := policy.New(document, policy.Options{Placer: c.placer(d), Seed: seed, Preset: d.Preset})
	if err != nil {
		return Result{}, errors.Wrapf(err, "build policy %s", c.name)
	}
	return runPolicy(d, s, calls, built), nil
}
