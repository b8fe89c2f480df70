package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/drain"
	"gorseline/core/stream"
	"gorseline/io/sse"
	"gorseline/standin/engine"
	"gorseline/standin/network"
)

const (
	drains           = 1000
	callers          = 6
	concurrentDrains = 3
	engines          = 3
	instances        = 4
	// addressTTL is how long callers cache the address of an instance.
	addressTTL = 2 * time.Second
)

// fleet is a cluster whose engines and instances are drained and replaced under load.
type fleet struct {
	cluster
	t   *testing.T
	ctx context.Context

	mu         sync.Mutex
	serving    []*drainableInstance // that accept new requests
	live       []*drainableInstance // that have not stopped
	engines    []*fleetEngine       // that are not marked as leaving
	marked     []core.TargetID      // engines marked as leaving
	lastNumber int                  // of an engine or instance; part of its address

	answers, cut, moved, refused int // by outcome of a call
	lateStarts                   int // engines that got new work after the mark had reached all instances
}

// fleetEngine is an engine of a fleet.
type fleetEngine struct {
	id      core.TargetID
	address string
	engine  *engine.Engine
	stop    func()
}

// drainableInstance is an instance that can be drained.
type drainableInstance struct {
	*instance
	fleet   *fleet
	drain   *drain.Instance
	targets *drain.Targets
	stop    func()
}

// update runs change under the fleet's mutex.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) nextNumber() (n int) {
	f.update(func() { f.lastNumber++; n = f.lastNumber })
	return n
}

func (f *fleet) addEngine() {
	n := f.nextNumber()
	e := &fleetEngine{id: core.TargetID(fmt.Sprintf("e%d", n)), address: fmt.Sprintf("10.1.0.%d:80", n)}
	e.engine = engine.New(engine.Options{ID: e.id, StepBase: 400 * time.Millisecond})
	ctx, stop := context.WithCancel(f.ctx)
	server := &http.Server{Handler: e.engine}
	go server.Serve(f.network.Listen(e.address))
	go e.engine.Run(ctx)
	e.stop = func() { stop(); <-e.engine.Done(); server.Close() }
	f.update(func() { f.engines = append(f.engines, e) })
}

func (f *fleet) addInstance(drainTimeout time.Duration) {
	address := fmt.Sprintf("10.2.0.%d:80", f.nextNumber())
	base, engines := f.newInstance(f.t, address)
	in := &drainableInstance{instance: base, fleet: f, targets: drain.NewTargets()}
	in.drain = drain.NewInstance(drain.Options{
		Announce: func(context.Context) error {
			f.update(func() { f.serving = slices.DeleteFunc(f.serving, func(o *drainableInstance) bool { return o == in }) })
			return nil
		},
		HandOver:   in.relay.HandOver,
		Release:    func(context.Context) error { return nil },
		AddressTTL: addressTTL, DrainTimeout: drainTimeout,
	})
	in.stop = f.start(f.ctx, in, engines, address)
	go in.drain.Run(f.ctx)
	f.update(func() {
		for _, id := range f.marked {
			in.targets.MarkLeaving(in.clock.Now(), id)
		}
		f.serving, f.live = append(f.serving, in), append(f.live, in)
	})
}

func (in *drainableInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	end, ok := in.drain.Begin()
	if !ok {
		sse.NewWriter(w, sse.Format{}).Fail(&core.Refusal{Kind: "Leaving", NotRun: true, Status: http.StatusServiceUnavailable}, nil)
		return
	}
	defer end()
	var current core.TargetID
	in.serve(w, r, func(call *stream.Call) {
		if call.Resume != nil {
			current = call.Resume.Target
			in.targets.Continue(current)
		}
		call.ChooseTarget = func(exclude []core.TargetID) (stream.Candidate, bool) {
			if current != "" {
				in.targets.End(current)
			}
			chosen := in.choose(exclude)
			current = chosen.Target
			return chosen, current != ""
		}
	})
	if current != "" {
		in.targets.End(current)
	}
}

// choose picks a random engine that is neither excluded nor leaving, and registers a
// call to it. The result is zero if there is none.
func (in *drainableInstance) choose(exclude []core.TargetID) (chosen stream.Candidate) {
	in.fleet.update(func() {
		for _, i := range rand.Perm(len(in.fleet.engines)) {
			e := in.fleet.engines[i]
			if !slices.Contains(exclude, e.id) && in.targets.Begin(e.id) {
				chosen = stream.Candidate{Target: e.id, Address: e.address}
				return
			}
		}
	})
	return chosen
}

// replaceInstance starts a replacement of a random instance and drains that instance.
// In a quarter of the cases it requests the drain twice.
func (f *fleet) replaceInstance(random *rand.Rand) {
	var in *drainableInstance
	f.update(func() { in = f.serving[random.IntN(len(f.serving))] })
	drainTimeouts := []time.Duration{3 * time.Second, time.Minute}
	f.addInstance(drainTimeouts[random.IntN(2)])
	in.drain.Leave()
	if random.IntN(4) == 0 {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		in.drain.Leave()
	}
	<-in.drain.Done()
	f.update(func() { f.live = slices.DeleteFunc(f.live, func(o *drainableInstance) bool { return o == in }) })
	in.stop()
}

// replaceEngine starts a replacement of a random engine and marks that engine as
// leaving. The mark reaches each instance within drain.MaxMarkDelay. replaceEngine
// stops the engine once it is drained.
func (f *fleet) replaceEngine(random *rand.Rand) {
	f.addEngine()
	var e *fleetEngine
	f.update(func() {
		e = f.engines[random.IntN(len(f.engines)-1)]
		f.engines = slices.DeleteFunc(f.engines, func(o *fleetEngine) bool { return o == e })
		f.marked = append(f.marked, e.id)
		for _, in := range f.live {
			lag := time.Duration(random.Int64N(int64(drain.MaxMarkDelay)))
			time.AfterFunc(lag, func() { in.targets.MarkLeaving(in.clock.Now(), e.id) })
		}
	})
	time.Sleep(drain.MaxMarkDelay)
	started := e.engine.Counters().Started
	for !f.drained(e) {
		time.Sleep(500 * time.Millisecond)
	}
	f.update(func() {
		if e.engine.Counters().Started != started {
			f.lateStarts++
		}
		f.marked = slices.DeleteFunc(f.marked, func(id core.TargetID) bool { return id == e.id })
	})
	e.stop()
}

// drained reports whether an engine is idle and no instance has calls to it.
func (f *fleet) drained(e *fleetEngine) (drained bool) {
	f.update(func() {
		load := e.engine.Load()
		drained = load.Running+load.QueuedRequests == 0
		for _, in := range f.live {
			drained = drained && in.targets.State(e.id).Drained()
		}
	})
	return drained
}

// runCaller requests answers, one after the other, until stop is closed. It resumes
// an answer on another instance when its stream moves.
func (f *fleet) runCaller(random *rand.Rand, stop <-chan struct{}) {
	var address string
	var expiry time.Time // of address
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt, tokens := fmt.Sprintf("prompt %d", n), 2+random.IntN(6)
		var a answer
		for attempts := 0; !a.done; attempts++ {
			if !time.Now().Before(expiry) || a.refusal != nil {
				f.update(func() { address = f.serving[random.IntN(len(f.serving))].address })
				expiry = time.Now().Add(addressTTL)
			}
			a.refusal = nil
			err := f.ask(f.ctx, address, "club", prompt, tokens, &a, nil)
			if !f.recordOutcome(&a, err) || attempts > 10 {
				f.update(func() { f.cut++ })
				f.t.Errorf("answer was cut: %v, %v", err, a.refusal)
				break
			}
		}
		if a.done {
			a.check(f.t, prompt, tokens)
		}
	}
}

// recordOutcome counts the outcome of an attempt and reports whether the caller may
// continue: the answer is complete, its stream has moved or the attempt was not run.
func (f *fleet) recordOutcome(a *answer, err error) (ok bool) {
	f.update(func() {
		switch {
		case err != nil:
		case a.done:
			f.answers++
			ok = true
		case a.refusal != nil && a.refusal.Kind == "StreamMoved":
			f.moved++
			ok = true
		case a.refusal != nil && a.refusal.Kind == "Leaving" && a.refusal.NotRun:
			f.refused++
			ok = true
		}
	})
	return ok
}

// Guards against answers that are cut by planned drains. 1,000 randomized drains and
// replacements of instances and engines under load cut no answer, and no engine gets
// new work later than 3 s after it was marked as leaving.
func TestDrainsAndReplacementsCutNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		f := &fleet{t: t, ctx: ctx}
		f.network = network.New()
		f.transport = &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}
		for range engines {
			f.addEngine()
		}
		for range instances {
			f.addInstance(time.Minute)
		}
		var callerLoops, drainLoops sync.WaitGroup
		stop := make(chan struct{})
		for n := range callers {
			callerLoops.Go(func() { f.runCaller(rand.New(rand.NewPCG(1, uint64(n))), stop) })
		}
		for n := range concurrentDrains {
			drainLoops.Go(func() {
				random := rand.New(rand.NewPCG(2, uint64(n)))
				for i := n; i < drains; i += concurrentDrains {
					if random.IntN(4) == 0 {
						f.replaceEngine(random)
					} else {
						f.replaceInstance(random)
					}
				}
			})
		}
		drainLoops.Wait()
		close(stop)
		callerLoops.Wait()
		if f.cut > 0 || f.lateStarts > 0 || f.answers == 0 || f.moved == 0 {
			t.Errorf("%d answers, %d cut, %d moved, %d engines with late work", f.answers, f.cut, f.moved, f.lateStarts)
		}
		t.Logf("%d drains, %d answers, %d cut, %d moved, %d refused as not run", drains, f.answers, f.cut, f.moved, f.refused)
		end()
		for _, in := range f.live {
			<-in.drain.Done()
			in.stop()
		}
		for _, e := range f.engines {
			e.stop()
		}
	})
}
