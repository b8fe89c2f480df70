// Package deployment runs stand-ins for all systems that gorseline depends on, on loopback
// ports: the platform's services and the targets of a configuration.
package deployment

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/standin/engine"
	"gorseline/standin/instancelist"
	"gorseline/standin/object"
	"gorseline/standin/service"
	"gorseline/standin/table"
	"gorseline/standin/weights"
)

// Options configures the latencies and ports of a Deployment.
type Options struct {
	// Engine is the template of the options of all engines. ID, role, models and
	// fencing come from the configuration, the weight store from the deployment.
	Engine engine.Options
	// ServiceLatency is the duration of a call to a plain service.
	ServiceLatency time.Duration
	// ListLag is the delay until the instance list shows a change.
	ListLag time.Duration
	// FirstPort is the loopback port of the table service. The object store, the
	// instance list and the targets use the following ports, in this order. 0 selects
	// free ports.
	FirstPort int
}

// FastEngineOptions returns options of engines that are fast enough for a run of a few
// seconds.
func FastEngineOptions() engine.Options {
	o := engine.DefaultOptions()
	o.PrefillRate = 40_000
	o.StepBase = 8 * time.Millisecond
	o.StepPerSequence = 100 * time.Microsecond
	o.RoleChangeTime = time.Second
	o.LoadReportInterval = 250 * time.Millisecond
	return o
}

// weightInterval is the time between the starts of two fetches from the weight store.
const weightInterval = 10 * time.Second

// Deployment is a set of running stand-ins.
type Deployment struct {
	// Configuration is the given configuration with the loopback addresses of the
	// targets.
	Configuration core.Configuration

	Table     *table.Table
	Objects   *object.Store
	Instances *instancelist.List
	// Weights is the store that all engines fetch from.
	Weights  *weights.Store
	Engines  map[core.TargetID]*engine.Engine
	Services map[core.TargetID]*service.Service

	// TableURL, ObjectsURL and InstancesURL are the base URLs of the platform's services.
	TableURL, ObjectsURL, InstancesURL string

	cancel   context.CancelFunc
	nextPort int
	servers  []*http.Server
	running  sync.WaitGroup
}

// Start starts stand-ins for the platform's services and for the targets of a
// configuration. They run until Stop. It returns an error if a port can't be opened.
func Start(c core.Configuration, options Options) (*Deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{
		Configuration: c, Table: table.New(), Objects: object.New(),
		Instances: instancelist.New(instancelist.Faults{Lag: options.ListLag}),
		Weights:   weights.New(weightInterval),
		Engines:   map[core.TargetID]*engine.Engine{}, Services: map[core.TargetID]*service.Service{},
		cancel: cancel, nextPort: options.FirstPort,
	}
	err := d.start(ctx, options)
	if err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context, options Options) error {
	for _, platformService := range []struct {
		handler http.Handler
		url     *string
	}{
		{d.Table.Handler(), &d.TableURL},
		{d.Objects.Handler(), &d.ObjectsURL},
		{d.Instances.Handler(), &d.InstancesURL},
	} {
		address, err := d.serve(platformService.handler)
		if err != nil {
			return err
		}
		*platformService.url = "http://" + address
	}
	targets := make([]core.Target, len(d.Configuration.Targets))
	for i, target := range d.Configuration.Targets {
		address, err := d.serve(d.newTarget(ctx, target, options))
		if err != nil {
			return err
		}
		target.Address = address
		targets[i] = target
	}
	d.Configuration.Targets = targets
	return nil
}

// newTarget returns the stand-in for a target, and runs it if it is an engine.
func (d *Deployment) newTarget(ctx context.Context, target core.Target, options Options) http.Handler {
	if !target.IsEngine() {
		s := service.New(service.Options{DeduplicatesKeys: target.DeduplicatesKeys, Latency: options.ServiceLatency})
		d.Services[target.ID] = s
		return s
	}
	o := options.Engine
	o.ID, o.Role, o.Model, o.Models = target.ID, target.Role, target.Models[0], target.Models
	o.ChecksFence = target.ChecksFence
	o.Weights = d.Weights
	e := engine.New(o)
	d.Engines[target.ID] = e
	d.running.Go(func() { e.Run(ctx) })
	return e
}

// serve serves a handler on the next port and returns the address.
func (d *Deployment) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(d.nextPort)))
	if err != nil {
		return "", errors.Wrap(err, "open a stand-in's port")
	}
	if d.nextPort > 0 {
		d.nextPort++
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, server)
	d.running.Go(func() { _ = server.Serve(l) }) // returns when Stop closes the server
	return l.Addr().String(), nil
}

// Stop stops all stand-ins without waiting for calls in progress.
func (d *Deployment) Stop() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close() // closes the open connections too
	}
	d.running.Wait()
}

// Effects returns the number of effects per operation key over all plain services.
func (d *Deployment) Effects() map[string]int {
	all := map[string]int{}
	for _, s := range d.Services {
		for key, n := range s.Effects() {
			all[key] += n
		}
	}
	return all
}
