// Package drill tests the system under injected failures. Instances run as separate
// processes and callers send requests, while processes are killed or paused and services
// fail.
package drill

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/configuration"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
	"gorseline/io/operator"
	"gorseline/standin/deployment"
	"gorseline/standin/engine"
	"gorseline/standin/table"
)

// Options configure a drill.
type Options struct {
	// Deployment is the name of the sample under examples.
	Deployment string
	Instances  int
	// Seed determines the order of the requests.
	Seed uint64
	// Rounds is how often the sample is sent, evenly spread over Duration.
	Rounds   int
	Duration time.Duration
	Progress io.Writer
	// Logs receives the log lines of the instances.
	Logs io.Writer
}

// Report is the outcome of one scenario.
type Report struct {
	Scenario string
	workload.Totals
	// NotRetried counts the failed requests that were not retried, by reason, target and detail.
	NotRetried map[core.Reason]int `json:",omitempty"`
	// Violations describes the broken invariants.
	Violations []string
}

const (
	startTimeout = 20 * time.Second
	// scenarioTimeout ends a scenario that hangs.
	scenarioTimeout = 150 * time.Second
	readyPoll       = 50 * time.Millisecond
	// injectionDivisor sets when the failure is injected: after the first 1/injectionDivisor
	// of the requests.
	injectionDivisor = 4
)

// run is one execution of a scenario.
type run struct {
	options     Options
	sample      workload.Sample
	deployment  *deployment.Deployment
	processes   []*process
	dataCentres []core.DataCentre

	notRetried map[core.Reason]int

	mu         sync.Mutex
	violations []string
}

// Run executes one scenario.
func Run(ctx context.Context, name string, options Options) (Report, error) {
	s, ok := findScenario(name)
	if !ok {
		return Report{}, errors.Errorf("unknown scenario %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	r := &run{options: options}
	if err := r.start(ctx, s); err != nil {
		return Report{}, err
	}
	defer r.stop()
	totals, err := r.sendRequests(ctx, s)
	if err != nil {
		return Report{}, err
	}
	r.checkTotals(s, totals)
	return Report{Scenario: name, Totals: totals, NotRetried: r.notRetried, Violations: r.violations}, nil
}

func (r *run) start(ctx context.Context, s scenario) error {
	sample, err := workload.LoadSample(r.options.Deployment)
	if err != nil {
		return err
	}
	engines := deployment.FastEngineOptions()
	if s.prepare != nil {
		s.prepare(&sample, &engines)
	}
	r.sample = sample
	r.deployment, err = deployment.Start(sample.Configuration, deployment.Options{
		Engine: engines, ServiceLatency: 20 * time.Millisecond, ListLag: 500 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	if err := r.startInstances(ctx); err != nil {
		r.stop()
		return err
	}
	return nil
}

func (r *run) startInstances(ctx context.Context) error {
	for i := range r.options.Instances {
		dataCentre := r.deployment.Configuration.Targets[i%len(r.deployment.Configuration.Targets)].DataCentre
		p, err := startProcess(ctx, fmt.Sprintf("entry-%d", i+1), dataCentre, r.deployment, r.options.Logs)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		r.dataCentres = append(r.dataCentres, dataCentre)
	}
	answer, err := r.operator(0).Change(ctx, operator.ChangeRequest{
		Operator: "drill", Note: "first configuration", Replace: &r.deployment.Configuration,
	})
	if err != nil {
		return errors.Wrap(err, "propose the first configuration")
	}
	if len(answer.Problems) > 0 {
		return answer.Problems
	}
	return r.awaitInForce(ctx, answer.Revision)
}

// operator returns a client for the operators' API of an instance.
func (r *run) operator(i int) *operator.Client {
	return operator.NewClient("http://"+r.processes[i].operatorAddress, nil)
}

// awaitInForce waits until a revision is in force on all instances.
func (r *run) awaitInForce(ctx context.Context, revision core.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		status, err := r.operator(0).Status(ctx)
		if err == nil && status.Ready && status.Revision >= revision && status.InForceOn >= r.options.Instances {
			return nil
		}
		if !pause.For(ctx, readyPoll) {
			return errors.Errorf("revision %d is in force on %d of %d instances, missing %v: %s",
				revision, status.InForceOn, r.options.Instances, status.Missing, status.Reason)
		}
	}
}

// sendRequests sends the requests, injects the failure meanwhile and returns the totals
// of their outcomes.
func (r *run) sendRequests(ctx context.Context, s scenario) (workload.Totals, error) {
	collector := workload.NewCollector(r.sample.Configuration.Kinds)
	seeds := make([]string, len(r.processes))
	for i, p := range r.processes {
		seeds[i] = p.callerAddress
	}
	client := workload.NewClient(seeds, r.dataCentres[0])
	requests, duration := r.sample.Requests, s.duration
	if duration == 0 {
		requests, duration = r.sample.Shuffled(r.options.Rounds, r.options.Seed), r.options.Duration
	}
	interval := duration / time.Duration(len(requests))
	var group sync.WaitGroup
	var injectErr error
	for i, request := range requests {
		key := fmt.Sprintf("%s-%d", request.Name, i)
		group.Go(func() { collector.Add(request, key, client.Send(ctx, request, key)) })
		if i == len(requests)/injectionDivisor {
			group.Go(func() { injectErr = s.inject(ctx, r) })
		}
		if !pause.For(ctx, interval) {
			return workload.Totals{}, errors.New("the scenario was cancelled or timed out")
		}
	}
	group.Wait()
	totals := collector.Reconcile(r.deployment.Effects())
	if injectErr != nil {
		return totals, injectErr
	}
	totals.RoleChanges = len(r.events(ctx, authority.EventOrderApplied))
	r.notRetried = r.countNotRetried(ctx)
	return totals, nil
}

// events returns the events of one kind in the timelines of all running instances.
func (r *run) events(ctx context.Context, kind core.EventKind) []core.Event {
	var lists [][]core.Event
	for i := range r.processes {
		request := operator.TimelineRequest{}
		request.Kind = kind
		answer, err := r.operator(i).Timeline(ctx, request)
		if err != nil {
			continue // an instance that has left has moved its events to the object store
		}
		lists = append(lists, answer.Events)
	}
	return timeline.Merge(lists...)
}

// countNotRetried counts the reasons why failed requests were not retried.
func (r *run) countNotRetried(ctx context.Context) map[core.Reason]int {
	counts := map[core.Reason]int{}
	for _, e := range r.events(ctx, dispatch.EventNotRetried) {
		counts[core.Reason(fmt.Sprintf("%s on %s, %s", e.Reason, e.Target, e.Detail))]++
	}
	return counts
}

// checkTotals adds a violation for each invariant that the totals break.
func (r *run) checkTotals(s scenario, t workload.Totals) {
	for _, c := range []struct {
		count int
		text  string
	}{
		{t.EffectsDoubled, "calls that may not be repeated ran twice"},
		{t.EffectsUnreported, "calls ran although they were answered as not run"},
		{t.EffectsLost, "calls were answered but did not run"},
		{t.Cut, "streams were cut or changed"},
	} {
		if c.count > 0 {
			r.addViolation("%d %s", c.count, c.text)
		}
	}
	if t.Unknown > 0 && !s.allowUnknown {
		r.addViolation("%d calls have an unknown outcome", t.Unknown)
	}
	if s.requiresRoleChange && t.RoleChanges == 0 {
		r.addViolation("no role change took effect")
	}
	if t.Sent == 0 {
		r.addViolation("nothing was sent")
	}
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// checkConcurrentChanges checks the answers to two changes that are based on the same revision.
func (r *run) checkConcurrentChanges(answers [2]operator.ChangeAnswer) error {
	accepted, conflicts := 0, 0
	for _, a := range answers {
		switch a.Kind {
		case configuration.ProposalAccepted:
			accepted++
		case configuration.ProposalConflict:
			conflicts++
			if a.Head.Operator == "" {
				r.addViolation("a conflict does not show the accepted change")
			}
		default:
			return errors.Errorf("a change has the outcome %v", a.Kind)
		}
	}
	if accepted != 1 || conflicts != 1 {
		r.addViolation("of two concurrent changes %d were accepted and %d rejected", accepted, conflicts)
	}
	return nil
}

// replace waits for the end of a process and starts a new instance in its place.
func (r *run) replace(ctx context.Context, i int) error {
	old := r.processes[i]
	if err := r.awaitExit(ctx, i); err != nil {
		return err
	}
	r.deployment.Instances.Remove(core.InstanceID(old.name))
	p, err := startProcess(ctx, old.name+"-replacement", r.dataCentres[i], r.deployment, r.options.Logs)
	if err != nil {
		return err
	}
	r.processes[i] = p
	return nil
}

func (r *run) awaitExit(ctx context.Context, i int) error {
	p := r.processes[i]
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		return errors.Errorf("instance %s did not exit in time", p.name)
	}
}

// injectTableFaults injects faults into the table for d.
func (r *run) injectTableFaults(ctx context.Context, f table.Faults, d time.Duration) error {
	r.deployment.Table.SetFaults(f)
	pause.For(ctx, d)
	r.deployment.Table.SetFaults(table.Faults{})
	return nil
}

// busiestEngine returns the engine with the most open streams, and of several the one with
// the lowest ID.
func (r *run) busiestEngine() *engine.Engine {
	ids := slices.SortedFunc(maps.Keys(r.deployment.Engines), func(a, b core.TargetID) int {
		return cmp.Or(-cmp.Compare(r.deployment.Engines[a].OpenStreams(), r.deployment.Engines[b].OpenStreams()), cmp.Compare(a, b))
	})
	return r.deployment.Engines[ids[0]]
}

func (r *run) stop() {
	for _, p := range r.processes {
		p.stop()
	}
	r.deployment.Stop()
}
