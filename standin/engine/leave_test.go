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
	leaves    = 1000
	callers   = 6
	atOnce    = 3 // leaves under way at the same time
	engines   = 3
	instances = 4
	// keepFor is how long the callers of this test cache an address.
	keepFor = 2 * time.Second
)

// fleet is engines and instances that leave and are replaced under load.
type fleet struct {
	cluster
	t   *testing.T
	ctx context.Context

	mu      sync.Mutex
	serving []*leavingInstance // that have not begun to leave
	live    []*leavingInstance // that have not left
	engines []*member          // that have not been marked
	marked  []core.TargetID
	next    int

	answers, cut, moved, refused, late int
}

// member is one engine of the fleet.
type member struct {
	id      core.TargetID
	address string
	engine  *engine.Engine
	stop    func()
}

// leavingInstance is an instance that can leave.
type leavingInstance struct {
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

func (f *fleet) number() (n int) {
	f.update(func() { f.next++; n = f.next })
	return n
}

func (f *fleet) addEngine() {
	n := f.number()
	m := &member{id: core.TargetID(fmt.Sprintf("e%d", n)), address: fmt.Sprintf("10.1.0.%d:80", n)}
	m.engine = engine.New(engine.Options{ID: m.id, StepBase: 400 * time.Millisecond})
	ctx, stop := context.WithCancel(f.ctx)
	server := &http.Server{Handler: m.engine}
	go server.Serve(f.network.Listen(m.address))
	go m.engine.Run(ctx)
	m.stop = func() { stop(); <-m.engine.Done(); server.Close() }
	f.update(func() { f.engines = append(f.engines, m) })
}

func (f *fleet) addInstance(limit time.Duration) {
	address := fmt.Sprintf("10.2.0.%d:80", f.number())
	base, engines := f.newInstance(f.t, address)
	in := &leavingInstance{instance: base, fleet: f, targets: drain.NewTargets()}
	in.drain = drain.NewInstance(drain.Options{
		Announce: func(context.Context) error {
			f.update(func() { f.serving = slices.DeleteFunc(f.serving, func(o *leavingInstance) bool { return o == in }) })
			return nil
		},
		HandOver:   in.relay.HandOver,
		Release:    func(context.Context) error { return nil },
		AddressTTL: keepFor, DrainTimeout: limit,
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

func (in *leavingInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		call.Targets = func(exclude []core.TargetID) (stream.Candidate, bool) {
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

// choose reserves work on a target that is not leaving.
func (in *leavingInstance) choose(exclude []core.TargetID) (chosen stream.Candidate) {
	in.fleet.update(func() {
		for _, i := range rand.Perm(len(in.fleet.engines)) {
			m := in.fleet.engines[i]
			if !slices.Contains(exclude, m.id) && in.targets.Begin(m.id) {
				chosen = stream.Candidate{Target: m.id, Address: m.address}
				return
			}
		}
	})
	return chosen
}

// leaveInstance makes an instance leave and replaces it.
func (f *fleet) leaveInstance(random *rand.Rand) {
	var in *leavingInstance
	f.update(func() { in = f.serving[random.IntN(len(f.serving))] })
	limits := []time.Duration{3 * time.Second, time.Minute}
	f.addInstance(limits[random.IntN(2)])
	in.drain.Leave()
	if random.IntN(4) == 0 {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		in.drain.Leave()
	}
	<-in.drain.Done()
	f.update(func() { f.live = slices.DeleteFunc(f.live, func(o *leavingInstance) bool { return o == in }) })
	in.stop()
}

// leaveEngine marks an engine, which the instances learn within the limit, waits
// until it is drained and replaces it.
func (f *fleet) leaveEngine(random *rand.Rand) {
	f.addEngine()
	var m *member
	f.update(func() {
		m = f.engines[random.IntN(len(f.engines)-1)]
		f.engines = slices.DeleteFunc(f.engines, func(o *member) bool { return o == m })
		f.marked = append(f.marked, m.id)
		for _, in := range f.live {
			lag := time.Duration(random.Int64N(int64(drain.MaxMarkDelay)))
			time.AfterFunc(lag, func() { in.targets.MarkLeaving(in.clock.Now(), m.id) })
		}
	})
	time.Sleep(drain.MaxMarkDelay)
	started := m.engine.Counters().Started
	for !f.drained(m) {
		time.Sleep(500 * time.Millisecond)
	}
	f.update(func() {
		if m.engine.Counters().Started != started {
			f.late++
		}
		f.marked = slices.DeleteFunc(f.marked, func(id core.TargetID) bool { return id == m.id })
	})
	m.stop()
}

func (f *fleet) drained(m *member) (drained bool) {
	f.update(func() {
		load := m.engine.Load()
		drained = load.Running+load.QueuedRequests == 0
		for _, in := range f.live {
			drained = drained && in.targets.State(m.id).Drained()
		}
	})
	return drained
}

// call asks for answers until stop is closed. It caches an address for keepFor.
func (f *fleet) call(random *rand.Rand, stop <-chan struct{}) {
	var address string
	var until time.Time
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt, tokens := fmt.Sprintf("prompt %d", n), 2+random.IntN(6)
		var a answer
		for tries := 0; !a.done; tries++ {
			if !time.Now().Before(until) || a.refusal != nil {
				f.update(func() { address = f.serving[random.IntN(len(f.serving))].address })
				until = time.Now().Add(keepFor)
			}
			a.refusal = nil
			err := f.ask(f.ctx, address, "club", prompt, tokens, &a, nil)
			if !f.account(&a, err) || tries > 10 {
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

// account counts how a try ended and reports whether the caller may go on.
func (f *fleet) account(a *answer, err error) (ok bool) {
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

// Guards against requests that are cut by planned leaves: 1,000 randomized leaves
// and replacements of instances and engines under load cut no answer, and no
// engine gets new work later than 3 s after its mark.
func TestLeavesAndReplacementsCutNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		f := &fleet{t: t, ctx: ctx}
		f.network = network.New()
		f.callers = &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}
		for range engines {
			f.addEngine()
		}
		for range instances {
			f.addInstance(time.Minute)
		}
		var calling, leaving sync.WaitGroup
		stop := make(chan struct{})
		for n := range callers {
			calling.Go(func() { f.call(rand.New(rand.NewPCG(1, uint64(n))), stop) })
		}
		for n := range atOnce {
			leaving.Go(func() {
				random := rand.New(rand.NewPCG(2, uint64(n)))
				for i := n; i < leaves; i += atOnce {
					if random.IntN(4) == 0 {
						f.leaveEngine(random)
					} else {
						f.leaveInstance(random)
					}
				}
			})
		}
		leaving.Wait()
		close(stop)
		calling.Wait()
		if f.cut > 0 || f.late > 0 || f.answers == 0 || f.moved == 0 {
			t.Errorf("%d answers, %d cut, %d moved, %d engines with late work", f.answers, f.cut, f.moved, f.late)
		}
		t.Logf("%d leaves, %d answers, %d cut, %d moved, %d refused as not run", leaves, f.answers, f.cut, f.moved, f.refused)
		end()
		for _, in := range f.live {
			<-in.drain.Done()
			in.stop()
		}
		for _, m := range f.engines {
			m.stop()
		}
	})
}
