// Package demo runs the system against stand-ins on loopback: two instances, the
// sample requests of a deployment, a preset switch in the middle, and an instance
// that leaves while streams run.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/instance"
	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/io/operator"
	"gorseline/standin/deployment"
)

// Options configure a run.
type Options struct {
	Deployment string
	// Rounds is how often the sample is sent, Duration over which time.
	Rounds   int
	Duration time.Duration
	Seed     uint64
	// Progress gets one line per step; Logs the instances' log lines.
	Progress io.Writer
	Logs     io.Writer
}

const (
	startTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	resumeKey    = "demonstration-key-not-secret"
)

// Run is a running demonstration.
type Run struct {
	options   Options
	sample    workload.Sample
	site      *deployment.Deployment
	instances []*instance.Instance
	left      *instance.Instance
	started   time.Time
}

// Start runs the stand-ins and two instances, and puts the sample's configuration
// in force.
func Start(ctx context.Context, options Options) (*Run, error) {
	sample, err := workload.LoadSample(options.Deployment)
	if err != nil {
		return nil, err
	}
	r := &Run{options: options, sample: sample, started: time.Now()}
	r.site, err = deployment.Start(sample.Configuration, deployment.Options{
		Engine: deployment.FastEngine(), Work: 10 * time.Millisecond, ListLag: 500 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	r.progress("stand-ins run: %d engines, %d plain services", len(r.site.Engines), len(r.site.Services))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.startInstances(ctx); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *Run) progress(format string, args ...any) {
	elapsed := time.Since(r.started).Round(100 * time.Millisecond)
	fmt.Fprintf(r.options.Progress, "%6s  %s\n", elapsed, fmt.Sprintf(format, args...))
}

func (r *Run) startInstances(ctx context.Context) error {
	centres := []core.DataCentre{r.site.Configuration.Targets[0].DataCentre, r.site.Configuration.Targets[1].DataCentre}
	for i, centre := range centres {
		s, err := r.settings(fmt.Sprintf("entry-%d", i+1), centre)
		if err != nil {
			return errors.Wrap(err, "settings")
		}
		running, err := instance.New(s, r.options.Logs)
		if err != nil {
			return err
		}
		if err := running.Start(ctx); err != nil {
			return errors.Wrap(err, "start instance")
		}
		r.instances = append(r.instances, running)
		r.site.Instances.Put(core.ListedInstance{
			ID: core.InstanceID(s.Instance), Address: running.PeersAddress(), DataCentre: centre,
		})
	}
	answer, err := r.operator().Change(ctx, operator.ChangeRequest{
		Operator: "demo", Note: "first configuration", Replace: &r.site.Configuration,
	})
	if err != nil {
		return errors.Wrap(err, "propose the first configuration")
	}
	if len(answer.Problems) > 0 {
		return answer.Problems
	}
	return r.awaitInForce(ctx, answer.Revision)
}

func (r *Run) settings(name string, centre core.DataCentre) (instance.Settings, error) {
	return instance.Parse(
		"--instance", name, "--data-centre", string(centre),
		"--callers-listen", "127.0.0.1:0", "--operators-listen", "127.0.0.1:0", "--peers-listen", "127.0.0.1:0",
		"--table-url", r.site.TableURL, "--objects-url", r.site.ObjectsURL, "--instances-url", r.site.InstancesURL,
		"--resume-key", resumeKey, "--leave-limit", "1m",
	)
}

// operator calls the first instance, which stays.
func (r *Run) operator() *operator.Client {
	return operator.NewClient("http://"+r.instances[0].OperatorsAddress(), nil)
}

// awaitInForce waits until all instances are ready and have the revision in force.
func (r *Run) awaitInForce(ctx context.Context, revision core.Revision) error {
	for {
		status, err := r.operator().Status(ctx)
		if err != nil {
			return errors.Wrap(err, "read status")
		}
		if status.Ready && status.Revision >= revision && status.InForceOn >= len(r.instances) && status.InForceOn == status.Of {
			r.progress("revision %d with preset %s is in force on %d of %d instances",
				status.Revision, status.PresetInForce, status.InForceOn, status.Of)
			return nil
		}
		if !pause.For(ctx, readyPoll) {
			return errors.Errorf("revision %d is in force on %d of %d instances, missing %v: %s",
				revision, status.InForceOn, status.Of, status.Missing, status.Reason)
		}
	}
}

// Execute sends the sample, switches the preset in the middle and lets an instance
// leave. It returns the account.
func (r *Run) Execute(ctx context.Context) (workload.Totals, error) {
	l := workload.NewCollector(r.sample.Configuration.Kinds)
	var seeds []string
	for _, i := range r.instances {
		seeds = append(seeds, i.CallersAddress())
	}
	c := workload.NewClient(seeds, r.site.Configuration.Targets[0].DataCentre)
	order := r.sample.Shuffled(r.options.Rounds, r.options.Seed)
	gap := r.options.Duration / time.Duration(len(order))
	var group sync.WaitGroup
	var switched, left error
	r.progress("sending %d requests over %s", len(order), r.options.Duration)
	for i, request := range order {
		key := fmt.Sprintf("%s-%d", request.Name, i)
		group.Go(func() { l.Add(request, key, c.Send(ctx, request, key)) })
		switch i {
		case len(order) / 3:
			group.Go(func() { switched = r.switchPreset(ctx) })
		case len(order) / 2:
			group.Go(func() { left = r.leave(ctx) })
		}
		if !pause.For(ctx, gap) {
			break
		}
	}
	group.Wait()
	account := l.Reconcile(r.site.Effects())
	account.PresetSwitches = 1
	if switched != nil {
		return account, switched
	}
	if left != nil {
		return account, left
	}
	var err error
	account.RoleChanges, err = r.roleChanges(ctx)
	return account, err
}

func (r *Run) switchPreset(ctx context.Context) error {
	const preset = "peak"
	status, err := r.operator().Status(ctx)
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	began := time.Now()
	answer, err := r.operator().Change(ctx, operator.ChangeRequest{
		Seen: status.Revision, Operator: "demo", Note: "peak begins", SwitchPreset: preset,
	})
	if err != nil {
		return errors.Wrap(err, "switch preset")
	}
	if err := r.awaitInForce(ctx, answer.Revision); err != nil {
		return err
	}
	r.progress("preset %s took hold within %s", preset, time.Since(began).Round(time.Millisecond))
	return nil
}

// leave takes the last instance out of service while its streams run.
func (r *Run) leave(ctx context.Context) error {
	last := r.instances[len(r.instances)-1]
	r.progress("instance at %s begins to leave", last.CallersAddress())
	if err := last.Leave(ctx); err != nil {
		return errors.Wrap(err, "leave")
	}
	r.left = last
	r.progress("instance at %s has left", last.CallersAddress())
	return last.Stop(ctx)
}

// roleChanges counts the applied role changes in the time line.
func (r *Run) roleChanges(ctx context.Context) (int, error) {
	request := operator.TimelineRequest{Fleet: true}
	request.Kind = "OrderApplied"
	answer, err := r.operator().Timeline(ctx, request)
	return len(answer.Events), errors.Wrap(err, "read time line")
}

// CallersAddresses returns the addresses of the instances that have not left.
func (r *Run) CallersAddresses() []string {
	return r.running(func(i *instance.Instance) string { return i.CallersAddress() })
}

// OperatorsAddresses returns the operators' addresses of the instances that have
// not left.
func (r *Run) OperatorsAddresses() []string {
	return r.running(func(i *instance.Instance) string { return i.OperatorsAddress() })
}

func (r *Run) running(address func(*instance.Instance) string) []string {
	var list []string
	for _, i := range r.instances {
		if i != r.left {
			list = append(list, address(i))
		}
	}
	return list
}

// Stop stops the instances and the stand-ins at once.
func (r *Run) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, i := range r.instances {
		if i != r.left {
			if err := i.Stop(ctx); err != nil {
				r.progress("instance at %s did not stop in time: %v", i.CallersAddress(), err)
			}
		}
	}
	r.site.Stop()
}
