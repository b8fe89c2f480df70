// Package deployment runs the stand-ins of all systems around gorseline on loopback
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

// Options choose the speed of the targets.
type Options struct {
	// Engine is the template of all engines; ID, role, models and fence check come
	// from the configuration.
	Engine engine.Options
	// ServiceLatency is the time that a call of a plain service takes.
	ServiceLatency time.Duration
	// ListLag is how late the instance list shows changes.
	ListLag time.Duration
	// FirstPort is the loopback port of the table service; the object store, the
	// instance list and the targets follow in this order. 0 takes free ports.
	FirstPort int
}

// FastEngineOptions returns engines fast enough for a run of a few seconds.
func FastEngineOptions() engine.Options {
	o := engine.DefaultOptions()
	o.PrefillRate = 40_000
	o.StepBase = 8 * time.Millisecond
	o.StepPerSequence = 100 * time.Microsecond
	o.RoleChangeTime = time.Second
	o.LoadReportInterval = 250 * time.Millisecond
	return o
}

// weightInterval is the time between two fetches that the weight store lets begin.
const weightInterval = 10 * time.Second

// Deployment is a set of running stand-ins.
type Deployment struct {
	// Configuration holds the targets with their loopback addresses.
	Configuration core.Configuration

	Table     *table.Table
	Objects   *object.Store
	Instances *instancelist.List
	// Weights is the store that all engines fetch from.
	Weights  *weights.Store
	Engines  map[core.TargetID]*engine.Engine
	Services map[core.TargetID]*service.Service

	TableURL, ObjectsURL, InstancesURL string

	cancel   context.CancelFunc
	nextPort int
	servers  []*http.Server
	running  sync.WaitGroup
}

// Start runs stand-ins for the targets of a configuration until Stop.
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
	for _, platform := range []struct {
		handler http.Handler
		url     *string
	}{
		{d.Table.Handler(), &d.TableURL},
		{d.Objects.Handler(), &d.ObjectsURL},
		{d.Instances.Handler(), &d.InstancesURL},
	} {
		address, err := d.serve(platform.handler)
		if err != nil {
			return err
		}
		*platform.url = "http://" + address
	}
	targets := make([]core.Target, len(d.Configuration.Targets))
	for i, target := range d.Configuration.Targets {
		address, err := d.serve(d.target(ctx, target, options))
		if err != nil {
			return err
		}
		target.Address = address
		targets[i] = target
	}
	d.Configuration.Targets = targets
	return nil
}

func (d *Deployment) target(ctx context.Context, target core.Target, options Options) http.Handler {
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
	d.running.Go(func() { _ = server.Serve(l) }) // it returns when Stop closes it
	return l.Addr().String(), nil
}

// Stop ends all stand-ins at once.
func (d *Deployment) Stop() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close() // open connections end with the stand-in
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
