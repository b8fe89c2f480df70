// Package drill proves the system under failure: instances run as processes of
// their own, callers send requests, and processes are killed and paused and
// services fail meanwhile.
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
	Deployment string
	Instances  int
	Seed       uint64
	// Rounds is how often the sample is sent, Duration over which time.
	Rounds   int
	Duration time.Duration
	Progress io.Writer
	Logs     io.Writer
}

// Report is the outcome of one scenario.
type Report struct {
	Scenario string
	workload.Totals
	// NotRetried counts failed requests without a further attempt, by reason.
	NotRetried map[core.Reason]int `json:",omitempty"`
	// Violations lists what must never happen and did.
	Violations []string
}

const (
	startTimeout = 20 * time.Second
	// runLimit ends a scenario that hangs.
	runLimit  = 150 * time.Second
	readyPoll = 50 * time.Millisecond
	// injectAfter is the part of the duration before the failure, as a divisor.
	injectAfter = 4
)

// run is one scenario under way.
type run struct {
	options   Options
	sample    workload.Sample
	site      *deployment.Deployment
	processes []*process
	centres   []core.DataCentre

	unretried map[core.Reason]int

	mu         sync.Mutex
	violations []string
}

// Run plays one scenario.
func Run(ctx context.Context, name string, options Options) (Report, error) {
	s, ok := find(name)
	if !ok {
		return Report{}, errors.Errorf("no scenario %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	r := &run{options: options}
	if err := r.start(ctx, s); err != nil {
		return Report{}, err
	}
	defer r.stop()
	account, err := r.play(ctx, s)
	if err != nil {
		return Report{}, err
	}
	r.judge(s, account)
	return Report{Scenario: name, Totals: account, NotRetried: r.unretried, Violations: r.violations}, nil
}

func (r *run) start(ctx context.Context, s scenario) error {
	sample, err := workload.LoadSample(r.options.Deployment)
	if err != nil {
		return err
	}
	engines := deployment.FastEngine()
	if s.prepare != nil {
		s.prepare(&sample, &engines)
	}
	r.sample = sample
	r.site, err = deployment.Start(sample.Configuration, deployment.Options{
		Engine: engines, Work: 20 * time.Millisecond, ListLag: 500 * time.Millisecond,
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
		centre := r.site.Configuration.Targets[i%len(r.site.Configuration.Targets)].DataCentre
		p, err := startProcess(ctx, fmt.Sprintf("entry-%d", i+1), centre, r.site, r.options.Logs)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		r.centres = append(r.centres, centre)
	}
	answer, err := r.operator(0).Change(ctx, operator.ChangeRequest{
		Operator: "drill", Note: "first configuration", Replace: &r.site.Configuration,
	})
	if err != nil {
		return errors.Wrap(err, "propose the first configuration")
	}
	if len(answer.Problems) > 0 {
		return answer.Problems
	}
	return r.awaitInForce(ctx, answer.Revision)
}

func (r *run) operator(i int) *operator.Client {
	return operator.NewClient("http://"+r.processes[i].operators, nil)
}

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

func (r *run) play(ctx context.Context, s scenario) (workload.Totals, error) {
	ledger := workload.NewCollector(r.sample.Configuration.Kinds)
	seeds := make([]string, len(r.processes))
	for i, p := range r.processes {
		seeds[i] = p.callers
	}
	client := workload.NewClient(seeds, r.centres[0])
	requests, duration := r.sample.Requests, s.duration
	if duration == 0 {
		requests, duration = r.sample.Shuffled(r.options.Rounds, r.options.Seed), r.options.Duration
	}
	gap := duration / time.Duration(len(requests))
	var group sync.WaitGroup
	var injected error
	for i, request := range requests {
		key := fmt.Sprintf("%s-%d", request.Name, i)
		group.Go(func() { ledger.Add(request, key, client.Send(ctx, request, key)) })
		if i == len(requests)/injectAfter {
			group.Go(func() { injected = s.inject(ctx, r) })
		}
		if !pause.For(ctx, gap) {
			return workload.Totals{}, errors.New("the scenario took too long")
		}
	}
	group.Wait()
	account := ledger.Reconcile(r.site.Effects())
	if injected != nil {
		return account, injected
	}
	account.RoleChanges = len(r.events(ctx, authority.EventOrderApplied))
	r.unretried = r.notRetried(ctx)
	return account, nil
}

// events returns the events of a kind that the running instances hold.
func (r *run) events(ctx context.Context, kind core.EventKind) []core.Event {
	var lists [][]core.Event
	for i := range r.processes {
		request := operator.TimelineRequest{}
		request.Kind = kind
		answer, err := r.operator(i).Timeline(ctx, request)
		if err != nil {
			continue // an instance that has left took its share to the object store
		}
		lists = append(lists, answer.Events)
	}
	return timeline.Merge(lists...)
}

// notRetried counts why failed requests got no further attempt.
func (r *run) notRetried(ctx context.Context) map[core.Reason]int {
	counts := map[core.Reason]int{}
	for _, e := range r.events(ctx, dispatch.EventNotRetried) {
		counts[core.Reason(fmt.Sprintf("%s on %s, %s", e.Reason, e.Target, e.Detail))]++
	}
	return counts
}

// judge turns what must never happen into violations.
func (r *run) judge(s scenario, a workload.Totals) {
	for _, c := range []struct {
		count int
		text  string
	}{
		{a.EffectsDoubled, "calls that may not be repeated ran twice"},
		{a.EffectsUnreported, "calls ran although their callers were told that they were not run"},
		{a.EffectsLost, "calls were answered but did not run"},
		{a.Cut, "streams were cut or changed"},
	} {
		if c.count > 0 {
			r.violate("%d %s", c.count, c.text)
		}
	}
	if a.Unknown > 0 && !s.mayBeUnknown {
		r.violate("%d calls have an unknown outcome", a.Unknown)
	}
	if s.changesRoles && a.RoleChanges == 0 {
		r.violate("no role change took effect")
	}
	if a.Sent == 0 {
		r.violate("nothing was sent")
	}
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// judgeRace checks the answers to two changes that saw the same revision.
func (r *run) judgeRace(answers [2]operator.ChangeAnswer) error {
	accepted, conflicts := 0, 0
	for _, a := range answers {
		switch a.Kind {
		case configuration.ProposalAccepted:
			accepted++
		case configuration.ProposalConflict:
			conflicts++
			if a.Head.Operator == "" {
				r.violate("a conflict does not show what won")
			}
		default:
			return errors.Errorf("a change ended as %v", a.Kind)
		}
	}
	if accepted != 1 || conflicts != 1 {
		r.violate("of two racing changes %d were accepted and %d refused", accepted, conflicts)
	}
	return nil
}

// replace starts a new process in the place of one that was killed.
func (r *run) replace(ctx context.Context, i int) error {
	old := r.processes[i]
	if err := r.awaitExit(ctx, i); err != nil {
		return err
	}
	r.site.Instances.Remove(core.InstanceID(old.name))
	p, err := startProcess(ctx, old.name+"-replacement", r.centres[i], r.site, r.options.Logs)
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
		return errors.Errorf("instance %s did not end", p.name)
	}
}

func (r *run) tableFaults(ctx context.Context, f table.Faults, d time.Duration) error {
	r.site.Table.SetFaults(f)
	pause.For(ctx, d)
	r.site.Table.SetFaults(table.Faults{})
	return nil
}

// anyEngine returns the first engine that has work, or the first one.
func (r *run) anyEngine() *engine.Engine {
	ids := slices.SortedFunc(maps.Keys(r.site.Engines), func(a, b core.TargetID) int {
		return cmp.Or(-cmp.Compare(r.site.Engines[a].OpenStreams(), r.site.Engines[b].OpenStreams()), cmp.Compare(a, b))
	})
	return r.site.Engines[ids[0]]
}

func (r *run) stop() {
	for _, p := range r.processes {
		p.stop()
	}
	r.site.Stop()
}
