// Package demo runs two instances against stand-ins on loopback. It sends the sample requests
// of a deployment, and meanwhile switches the preset and shuts an instance down gracefully
// while streams run.
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
	// Rounds is how often the sample is sent, Duration the time over which the requests are
	// spread.
	Rounds   int
	Duration time.Duration
	Seed     uint64
	// Progress receives one line per step, Logs the log lines of the instances.
	Progress io.Writer
	Logs     io.Writer
}

const (
	startTimeout = 15 * time.Second
	stopTimeout  = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	resumeKey    = "demonstration-key-not-secret"
)

// Run is a running demonstration.
type Run struct {
	options   Options
	sample    workload.Sample
	standins  *deployment.Deployment
	instances []*instance.Instance
	left      *instance.Instance // the one that has shut down, or nil
	started   time.Time
}

// Start runs the stand-ins and two instances, and waits until the sample's configuration is in
// force.
func Start(ctx context.Context, options Options) (*Run, error) {
	sample, err := workload.LoadSample(options.Deployment)
	if err != nil {
		return nil, err
	}
	r := &Run{options: options, sample: sample, started: time.Now()}
	r.standins, err = deployment.Start(sample.Configuration, deployment.Options{
		Engine: deployment.FastEngineOptions(), ServiceLatency: 10 * time.Millisecond, ListLag: 500 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	r.progress("stand-ins run: %d engines, %d plain services", len(r.standins.Engines), len(r.standins.Services))
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
	centres := []core.DataCentre{r.standins.Configuration.Targets[0].DataCentre, r.standins.Configuration.Targets[1].DataCentre}
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
		r.standins.Instances.Put(core.ListedInstance{
			ID: core.InstanceID(s.Instance), Address: running.PeersAddress(), DataCentre: centre,
		})
	}
	answer, err := r.operator().Change(ctx, operator.ChangeRequest{
		Operator: "demo", Note: "first configuration", Replace: &r.standins.Configuration,
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
		"--table-url", r.standins.TableURL, "--objects-url", r.standins.ObjectsURL, "--instances-url", r.standins.InstancesURL,
		"--resume-key", resumeKey, "--leave-limit", "1m",
	)
}

// operator returns a client of the first instance, which runs until Stop.
func (r *Run) operator() *operator.Client {
	return operator.NewClient("http://"+r.instances[0].OperatorsAddress(), nil)
}

// awaitInForce waits until the answering instance is ready and all instances have the revision
// in force.
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
		if !pause.For(ctx, pollInterval) {
			return errors.Errorf("revision %d is in force on %d of %d instances, missing %v: %s",
				revision, status.InForceOn, status.Of, status.Missing, status.Reason)
		}
	}
}

// Execute sends the sample, switches the preset after a third of the requests and shuts the last
// instance down after half of them. It returns the totals.
func (r *Run) Execute(ctx context.Context) (workload.Totals, error) {
	collector := workload.NewCollector(r.sample.Configuration.Kinds)
	var seeds []string
	for _, i := range r.instances {
		seeds = append(seeds, i.CallersAddress())
	}
	client := workload.NewClient(seeds, r.standins.Configuration.Targets[0].DataCentre)
	order := r.sample.Shuffled(r.options.Rounds, r.options.Seed)
	interval := r.options.Duration / time.Duration(len(order))
	var group sync.WaitGroup
	var switchErr, leaveErr error
	r.progress("sending %d requests over %s", len(order), r.options.Duration)
	for i, request := range order {
		key := fmt.Sprintf("%s-%d", request.Name, i)
		group.Go(func() { collector.Add(request, key, client.Send(ctx, request, key)) })
		switch i {
		case len(order) / 3:
			group.Go(func() { switchErr = r.switchPreset(ctx) })
		case len(order) / 2:
			group.Go(func() { leaveErr = r.leave(ctx) })
		}
		if !pause.For(ctx, interval) {
			break
		}
	}
	group.Wait()
	totals := collector.Reconcile(r.standins.Effects())
	totals.PresetSwitches = 1
	if switchErr != nil {
		return totals, switchErr
	}
	if leaveErr != nil {
		return totals, leaveErr
	}
	var err error
	totals.RoleChanges, err = r.roleChanges(ctx)
	return totals, err
}

func (r *Run) switchPreset(ctx context.Context) error {
	const preset = "peak"
	status, err := r.operator().Status(ctx)
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	start := time.Now()
	answer, err := r.operator().Change(ctx, operator.ChangeRequest{
		Seen: status.Revision, Operator: "demo", Note: "peak begins", SwitchPreset: preset,
	})
	if err != nil {
		return errors.Wrap(err, "switch preset")
	}
	if err := r.awaitInForce(ctx, answer.Revision); err != nil {
		return err
	}
	r.progress("preset %s is in force on all instances after %s", preset, time.Since(start).Round(time.Millisecond))
	return nil
}

// leave shuts the last instance down gracefully while its streams run.
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

// roleChanges returns the number of applied role changes in the timeline.
func (r *Run) roleChanges(ctx context.Context) (int, error) {
	request := operator.TimelineRequest{Fleet: true}
	request.Kind = "OrderApplied"
	answer, err := r.operator().Timeline(ctx, request)
	return len(answer.Events), errors.Wrap(err, "read timeline")
}

// CallersAddresses returns the callers' addresses of the running instances.
func (r *Run) CallersAddresses() []string {
	return r.addresses(func(i *instance.Instance) string { return i.CallersAddress() })
}

// OperatorsAddresses returns the operators' addresses of the running instances.
func (r *Run) OperatorsAddresses() []string {
	return r.addresses(func(i *instance.Instance) string { return i.OperatorsAddress() })
}

// addresses returns an address of each running instance.
func (r *Run) addresses(address func(*instance.Instance) string) []string {
	var list []string
	for _, i := range r.instances {
		if i != r.left {
			list = append(list, address(i))
		}
	}
	return list
}

// Stop stops the instances, without a graceful shutdown, and the stand-ins.
func (r *Run) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, i := range r.instances {
		if i != r.left {
			if err := i.Stop(ctx); err != nil {
				r.progress("instance at %s did not stop in time: %v", i.CallersAddress(), err)
			}
		}
	}
	r.standins.Stop()
}
