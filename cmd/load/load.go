// Package load sends a bounded load to running instances on loopback addresses and reports
// outcomes and latencies as callers see them.
package load

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/common/pause"
)

// Bounds of a run.
const (
	MaxRate     = 2000.0
	MaxDuration = 10 * time.Minute
	MaxRequests = 200_000
	MaxInFlight = 2000
)

// Options configure a run.
type Options struct {
	// Targets are the callers' addresses of instances, as host and port.
	Targets []string
	// Requests is the sample that requests are drawn from. Weights holds the relative
	// frequencies of the kinds; without any, all requests are equally likely.
	Requests []workload.Request
	Weights  map[core.KindName]float64
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	// Deadline overrides the deadlines of the kinds, unless it is 0.
	Deadline time.Duration
	Seed     uint64
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Validate checks the options against the bounds.
func (o *Options) Validate() error {
	if len(o.Targets) == 0 {
		return &core.InvalidValueError{Path: "--target", Accepted: []string{"a loopback address and port"}}
	}
	for _, target := range o.Targets {
		if !isLoopback(target) {
			return &core.InvalidValueError{Path: "--target", Value: target, Accepted: []string{"a loopback address and port"}}
		}
	}
	if o.Rate <= 0 || o.Rate > MaxRate {
		return &core.InvalidValueError{Path: "--rate", Value: fmt.Sprint(o.Rate), Accepted: []string{fmt.Sprintf("up to %v", MaxRate)}}
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return &core.InvalidValueError{Path: "--duration", Value: o.Duration.String(), Accepted: []string{"up to " + MaxDuration.String()}}
	}
	if o.Rate*o.Duration.Seconds() > MaxRequests {
		return &core.InvalidValueError{
			Path: "--rate × --duration", Value: fmt.Sprint(o.Rate * o.Duration.Seconds()),
			Accepted: []string{fmt.Sprintf("up to %d requests", MaxRequests)},
		}
	}
	return nil
}

func isLoopback(target string) bool {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// run is the state of one run.
type run struct {
	Options
	http   *http.Client
	prefix string // of operation keys, which differ between runs
	report *Report
}

// Run sends requests at a fixed rate, whether or not earlier ones have been answered (open
// loop), and waits for all answers.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: MaxInFlight}
	defer transport.CloseIdleConnections()
	r := &run{
		Options: o, http: &http.Client{Transport: transport}, report: newReport(),
		prefix: fmt.Sprintf("load-%d-%x", o.Seed, time.Now().UnixNano()),
	}
	draw, err := o.sampler()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	slots := make(chan struct{}, MaxInFlight)
	var wait sync.WaitGroup
	for n := range int(o.Rate * o.Duration.Seconds()) {
		due := started.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		if !pause.For(ctx, time.Until(due)) {
			break
		}
		request := draw()
		select {
		case slots <- struct{}{}:
			wait.Go(func() {
				defer func() { <-slots }()
				r.send(ctx, n, due, request)
			})
		default:
			r.report.update(func(r *Report) { r.Skipped++ })
		}
	}
	wait.Wait()
	r.report.finish(time.Since(started))
	return r.report, nil
}

// sampler returns a function that draws random requests by the weights of their kinds.
func (o *Options) sampler() (func() workload.Request, error) {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	if len(o.Weights) == 0 {
		return func() workload.Request { return o.Requests[random.IntN(len(o.Requests))] }, nil
	}
	byKind := map[core.KindName][]workload.Request{}
	for _, r := range o.Requests {
		byKind[r.Kind] = append(byKind[r.Kind], r)
	}
	kinds := slices.Sorted(maps.Keys(byKind))
	cumulative, sum := make([]float64, len(kinds)), 0.0
	for i, kind := range kinds {
		sum += max(0, o.Weights[kind])
		cumulative[i] = sum
	}
	if sum == 0 {
		return nil, errors.New("--mix: no kind of the sample has a weight")
	}
	return func() workload.Request {
		x := random.Float64() * sum
		i := slices.IndexFunc(cumulative, func(limit float64) bool { return x < limit })
		list := byKind[kinds[i]]
		return list[random.IntN(len(list))]
	}, nil
}
