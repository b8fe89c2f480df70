package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// fault is a kind of fault that the soak injects.
type fault struct {
	name string
	// run injects the fault and returns when it has ended. Only faults of targets may remain
	// queued.
	run func(ctx context.Context, s *soak, rng *rand.Rand)
}

// randomDuration returns a duration for one fault, from 0.3 s to 2.5 s.
func randomDuration(rng *rand.Rand) time.Duration {
	return time.Duration(300+rng.IntN(2200)) * time.Millisecond
}

var faults = []fault{
	{"Kill", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		inst.stop(syscall.SIGKILL)
		pause.For(ctx, randomDuration(rng)/4)
		s.start(inst)
	}},
	{"KillAll", func(ctx context.Context, s *soak, rng *rand.Rand) { s.killAll(ctx, rng) }},
	{"Leave", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		inst.stop(syscall.SIGTERM)
		pause.For(ctx, randomDuration(rng)/4)
		s.start(inst)
	}},
	{"Pause", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		inst.signal(syscall.SIGSTOP)
		pause.For(ctx, randomDuration(rng))
		inst.signal(syscall.SIGCONT)
	}},
	{"Reload", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 5 {
			s.randomInstance(rng).signal(syscall.SIGHUP)
			pause.For(ctx, 50*time.Millisecond)
		}
	}},
	{"Configure", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(6) {
			s.recordError(s.testbed.configure())
			pause.For(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
		}
	}},
	{"StoreLink", func(ctx context.Context, s *soak, rng *rand.Rand) {
		injectLinkFault(ctx, rng, s.randomInstance(rng).storeProxy)
	}},
	{"StoreFault", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.testbed.store.SetFaults([]platform.Faults{
			{Status: 503},
			{Status: 429},
			{Unresponsive: true},
			{Delay: 300 * time.Millisecond},
			{DropWriteResponses: 5},
			{DropWriteResponses: 5, DroppedWriteDelay: time.Second},
		}[rng.IntN(6)])
		pause.For(ctx, randomDuration(rng))
		s.testbed.store.SetFaults(platform.Faults{})
	}},
	{"ForgetHistory", func(_ context.Context, s *soak, _ *rand.Rand) { s.testbed.store.CompactHistory() }},
	{"StoreGoesBack", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(2) {
			copied := s.testbed.store.Copy()
			pause.For(ctx, time.Duration(rng.Float64()*float64(maxCopyAge)))
			s.testbed.store.SetFaults(platform.Faults{Status: http.StatusServiceUnavailable})
			pause.For(ctx, randomDuration(rng)/2)
			s.testbed.store.GoBack(copied)
			s.testbed.store.SetFaults(platform.Faults{})
			pause.For(ctx, randomDuration(rng)/2)
			s.testbed.store.RewriteExternal()
		}
	}},
	{"TargetLink", func(ctx context.Context, s *soak, rng *rand.Rand) {
		injectLinkFault(ctx, rng, s.testbed.proxies[rng.IntN(len(s.testbed.proxies))])
	}},
	{"TargetFaults", func(_ context.Context, s *soak, rng *rand.Rand) {
		kinds := []platform.RequestFault{
			platform.Shed, platform.Fail, platform.Reset, platform.Torn, platform.Extra, platform.Unframed, platform.Early,
			platform.Noise, platform.CutStream, platform.Stall, platform.Hang,
			platform.BadStatus, platform.BadInterim, platform.BadName, platform.BadLength, platform.BadChunks, platform.FoldedLine,
		}
		t := s.testbed.targets[rng.IntN(len(s.testbed.targets))]
		for range 1 + rng.IntN(8) {
			t.InjectFaults(kinds[rng.IntN(len(kinds))])
		}
	}},
	{"ServiceRefuses", func(ctx context.Context, s *soak, rng *rand.Rand) {
		end := s.refuseService(rng)
		pause.For(ctx, time.Duration((0.2+0.8*rng.Float64())*float64(maxRefusalTime)))
		end()
	}},
	{"KillAllWhileRefused", func(ctx context.Context, s *soak, rng *rand.Rand) {
		end := s.refuseService(rng)
		pause.For(ctx, time.Duration((0.2+0.6*rng.Float64())*float64(retryWindow)))
		s.killAll(ctx, rng)
		pause.For(ctx, retryWindow)
		end()
	}},
	{"TargetLeaves", func(ctx context.Context, s *soak, rng *rand.Rand) {
		i := rng.IntN(len(s.testbed.targets))
		s.testbed.register(i, "draining")
		pause.For(ctx, randomDuration(rng))
		s.testbed.register(i, "ready")
	}},
	{"TargetVanishes", func(ctx context.Context, s *soak, rng *rand.Rand) {
		i := rng.IntN(len(s.testbed.targets))
		s.testbed.store.Remove("servers", s.testbed.targets[i].ID())
		pause.For(ctx, randomDuration(rng))
		s.testbed.register(i, "ready")
	}},
	{"MalformedEntry", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.testbed.store.Put("servers", "i-strange", []byte(`{"service":["calls"],"address":5}`))
		pause.For(ctx, randomDuration(rng)/4)
		s.testbed.store.Remove("servers", "i-strange")
	}},
}

// killAll kills all processes and starts new ones after a pause.
func (s *soak) killAll(ctx context.Context, rng *rand.Rand) {
	for _, inst := range s.instances {
		inst.stop(syscall.SIGKILL)
	}
	pause.For(ctx, randomDuration(rng)/4)
	for _, inst := range s.instances {
		s.start(inst)
	}
}

// maxRefusalTime is the longest time for which the targets of a service refuse or fail
// requests, so that whole windows of the limit on retries lie in it.
const maxRefusalTime = 2 * retryWindow

// refuseService makes all targets of a service refuse or fail a share of their requests, until
// end is called.
func (s *soak) refuseService(rng *rand.Rand) (end func()) {
	service := s.testbed.targetsOf([]string{"calls", "models"}[rng.IntN(2)])
	kinds := []platform.RequestFault{platform.Shed, platform.LoseHandle, platform.Fail}
	fault, share := kinds[rng.IntN(len(kinds))], 0.3+0.7*rng.Float64()
	for _, t := range service {
		t.SetLastingFault(fault, share)
	}
	return func() {
		for _, t := range service {
			t.SetLastingFault("", 0)
		}
	}
}

// maxCopyAge is the age of the oldest copy that the store comes back from.
const maxCopyAge = 4 * time.Second

// injectLinkFault sets a proxy to a random mode for a random duration. For modePass it resets
// the open connections instead.
func injectLinkFault(ctx context.Context, rng *rand.Rand, p *proxy) {
	switch m := mode(rng.IntN(len(modeNames))); m {
	case modePass:
		p.resetAll()
	default:
		p.setMode(m)
		pause.For(ctx, randomDuration(rng))
		p.setMode(modePass)
		if m == modeSilent || m == modeOneWay {
			// The open connections have lost data and can't continue.
			p.resetAll()
		}
	}
}

// injectFaults injects random faults until ctx ends, one after another or several at the same
// time. It returns when all of them have ended.
func (s *soak) injectFaults(ctx context.Context, rng *rand.Rand) {
	var running sync.WaitGroup
	for ctx.Err() == nil {
		for range 1 + rng.IntN(3) {
			kinds := s.options.faults()
			f := kinds[rng.IntN(len(kinds))]
			source := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
			s.injected = append(s.injected, fmt.Sprintf("%.1fs %s", time.Since(s.started).Seconds(), f.name))
			running.Go(func() { s.runFault(ctx, f, source) })
		}
		if rng.IntN(2) == 0 {
			running.Wait()
		}
		pause.For(ctx, s.options.faultPause(rng))
	}
	running.Wait()
}

// runFault injects a fault and records the disruption.
func (s *soak) runFault(ctx context.Context, f fault, rng *rand.Rand) {
	began := time.Now()
	f.run(ctx, s, rng)
	if disruptive[f.name] {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disruptions = append(s.disruptions, interval{began, time.Now()})
	}
}

// disruptive names the faults that disrupt processes and links without a plan.
var disruptive = map[string]bool{"Kill": true, "KillAll": true, "KillAllWhileRefused": true, "Pause": true, "TargetLink": true}
