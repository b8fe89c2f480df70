package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/core/common/pause"
)

// maxKeyPause is the longest time between two configurations with other keys. Some follow each other at
// once, and some stay for longer than keyApplyTime.
const maxKeyPause = 3 * time.Second

// runKeyChanges adds and drops keys until ctx ends.
func (s *soak) runKeyChanges(ctx context.Context, rng *rand.Rand) {
	for pause.For(ctx, time.Duration(rng.Float64()*rng.Float64()*float64(maxKeyPause))) {
		s.testbed.organisations.change(rng)
		s.recordError(s.testbed.configure())
	}
}

// minLongTime and maxLongTime bound faults after which all that an instance knows is older than
// keyApplyTime and keyTolerance. Callers get an answer within the limit of checkRequest even if their
// instance is frozen meanwhile.
const minLongTime, maxLongTime = 2800 * time.Millisecond, 4200 * time.Millisecond

// keyChangeDelay is the time from the beginning of such a fault to a change of keys.
const keyChangeDelay = 50 * time.Millisecond

func longDuration(rng *rand.Rand) time.Duration {
	return minLongTime + time.Duration(rng.Float64()*float64(maxLongTime-minLongTime))
}

// replaceKey adds a key and drops one while the faults with a long duration begin, so that callers use both
// at instances that can't know.
func (s *soak) replaceKey(ctx context.Context) {
	pause.For(ctx, keyChangeDelay)
	s.testbed.organisations.replaceKey()
	s.recordError(s.testbed.configure())
}

// freezeSome freezes some instances at the same time.
func (s *soak) freezeSome(ctx context.Context, rng *rand.Rand) {
	var together sync.WaitGroup
	length := longDuration(rng)
	together.Go(func() { s.replaceKey(ctx) })
	for _, i := range rng.Perm(len(s.instances))[:1+rng.IntN(len(s.instances)-1)] {
		inst := s.instances[i]
		together.Go(func() {
			s.disruptUnplanned(inst.name, func() {
				inst.signal(syscall.SIGSTOP)
				pause.For(ctx, length)
				inst.signal(syscall.SIGCONT)
			})
		})
	}
	together.Wait()
}

// turnAway makes the store turn instances away during a call, unless it does so with some already.
func (s *soak) turnAway(rng *rand.Rand, instances []int, run func()) {
	if !s.turning.TryLock() {
		return
	}
	defer s.turning.Unlock()
	status := []int{http.StatusForbidden, http.StatusTooManyRequests, http.StatusServiceUnavailable}[rng.IntN(3)]
	s.withoutStore(instances, func() {
		for _, i := range instances {
			s.gates[i].refuse(status)
		}
		run()
		for _, i := range instances {
			s.gates[i].refuse(0)
		}
	})
}

// longFaults are the faults after which instances must not rely on what they know.
var longFaults = []fault{
	{"StoreLongAway", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.turnAway(rng, rng.Perm(len(s.instances)), func() {
			s.replaceKey(ctx)
			pause.For(ctx, 2*longDuration(rng))
		})
	}},
	{"FreezeSome", func(ctx context.Context, s *soak, rng *rand.Rand) { s.freezeSome(ctx, rng) }},
}

// organisationFaults are the faults beside keys that are added and dropped. The long ones come more often,
// since only they show instances that reject keys which they can't know.
var organisationFaults = slices.Concat([]fault{
	{"StoreTurnsAway", func(ctx context.Context, s *soak, rng *rand.Rand) {
		// One instance reads the store, or more.
		s.turnAway(rng, rng.Perm(len(s.instances))[:1+rng.IntN(len(s.instances)-1)], func() {
			pause.For(ctx, contactTime+randomDuration(rng))
		})
	}},
	{"StoreLinkCut", func(ctx context.Context, s *soak, rng *rand.Rand) {
		i := rng.IntN(len(s.instances))
		s.withoutStore([]int{i}, func() {
			injectLinkFault(ctx, rng, s.instances[i].storeProxy)
		})
	}},
	{"Reload", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 5 {
			s.randomInstance(rng).signalServing(syscall.SIGHUP)
			pause.For(ctx, 50*time.Millisecond)
		}
	}},
}, crashFaults[:storeEnd], namedFaults("ForgetHistory", "TargetFaults"), longFaults, longFaults, longFaults)

// namedFaults returns some of the faults of a soak without options.
func namedFaults(names ...string) []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(names, f.name) })
}

// withoutStore keeps instances from the store and records when.
func (s *soak) withoutStore(instances []int, run func()) {
	began := time.Now()
	run()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range instances {
		name := s.instances[i].name
		s.storeless[name] = append(s.storeless[name], interval{began, time.Now()})
	}
}

// gate is the way of one instance to the store. It can turn the instance away.
type gate struct {
	address string
	server  *http.Server
	store   *httputil.ReverseProxy

	mu     sync.Mutex
	status int
	// changed is closed, and replaced, when the status changes. Calls in progress end then.
	changed chan struct{}
}

// newGate starts a gate in front of the store's address.
func newGate(store string) (*gate, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a gate to the store")
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	// A call that the store breaks off has no answer here either.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 8}
	g := &gate{address: listener.Addr().String(), store: proxy, changed: make(chan struct{})}
	g.server = &http.Server{Handler: g}
	go g.run(listener)
	return g, nil
}

// run serves the gate until it is closed.
func (g *gate) run(listener net.Listener) { _ = g.server.Serve(listener) } // ends with ErrServerClosed

func (g *gate) close() { _ = g.server.Close() } // the gate is no longer in use

// refuse makes the gate refuse all calls with a status, also those that wait for a change; 0 ends that.
func (g *gate) refuse(status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status = status
	close(g.changed)
	g.changed = make(chan struct{})
}

// ServeHTTP serves a call of the store.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	status, changed := g.status, g.changed
	g.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ended:
		}
	}()
	g.store.ServeHTTP(w, r.WithContext(ctx))
}
