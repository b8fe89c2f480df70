package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// fault is one disturbance. It returns when it is over and everything works again.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak, rng *rand.Rand)
}

// length returns how long a fault lasts.
func length(rng *rand.Rand) time.Duration {
	return time.Duration(300+rng.IntN(2200)) * time.Millisecond
}

var faults = []fault{
	{"Kill", func(ctx context.Context, s *soak, rng *rand.Rand) {
		e := s.anyEntry(rng)
		e.stop(syscall.SIGKILL)
		pause.For(ctx, length(rng)/4)
		s.start(e)
	}},
	{"KillAll", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for _, e := range s.entries {
			e.stop(syscall.SIGKILL)
		}
		pause.For(ctx, length(rng)/4)
		for _, e := range s.entries {
			s.start(e)
		}
	}},
	{"Leave", func(ctx context.Context, s *soak, rng *rand.Rand) {
		e := s.anyEntry(rng)
		e.stop(syscall.SIGTERM)
		pause.For(ctx, length(rng)/4)
		s.start(e)
	}},
	{"Pause", func(ctx context.Context, s *soak, rng *rand.Rand) {
		e := s.anyEntry(rng)
		e.signal(syscall.SIGSTOP)
		pause.For(ctx, length(rng))
		e.signal(syscall.SIGCONT)
	}},
	{"Reload", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 5 {
			s.anyEntry(rng).signal(syscall.SIGHUP)
			pause.For(ctx, 50*time.Millisecond)
		}
	}},
	{"Configure", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(6) {
			s.note(s.site.configure())
			pause.For(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
		}
	}},
	{"StoreLink", func(ctx context.Context, s *soak, rng *rand.Rand) {
		disturb(ctx, rng, s.anyEntry(rng).store)
	}},
	{"StoreFault", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.site.store.SetFaults([]platform.Faults{
			{Status: 503},
			{Status: 429},
			{Unresponsive: true},
			{Delay: 300 * time.Millisecond},
			{DropWriteResponses: 5},
			{DropWriteResponses: 5, DroppedWriteDelay: time.Second},
		}[rng.IntN(6)])
		pause.For(ctx, length(rng))
		s.site.store.SetFaults(platform.Faults{})
	}},
	{"ForgetHistory", func(_ context.Context, s *soak, _ *rand.Rand) { s.site.store.CompactHistory() }},
	{"TargetLink", func(ctx context.Context, s *soak, rng *rand.Rand) {
		disturb(ctx, rng, s.site.proxies[rng.IntN(len(s.site.proxies))])
	}},
	{"TargetFaults", func(_ context.Context, s *soak, rng *rand.Rand) {
		kinds := []platform.Misbehaviour{
			platform.Shed, platform.Fail, platform.Reset, platform.Torn, platform.Extra, platform.Unframed, platform.Early,
			platform.Noise, platform.CutStream, platform.Stall, platform.Hang,
		}
		t := s.site.targets[rng.IntN(len(s.site.targets))]
		for range 1 + rng.IntN(8) {
			t.Misbehave(kinds[rng.IntN(len(kinds))])
		}
	}},
	{"TargetLeaves", func(ctx context.Context, s *soak, rng *rand.Rand) {
		i := rng.IntN(len(s.site.targets))
		s.site.register(i, "draining")
		pause.For(ctx, length(rng))
		s.site.register(i, "ready")
	}},
	{"TargetVanishes", func(ctx context.Context, s *soak, rng *rand.Rand) {
		i := rng.IntN(len(s.site.targets))
		s.site.store.Remove("servers", s.site.targets[i].ID())
		pause.For(ctx, length(rng))
		s.site.register(i, "ready")
	}},
	{"MalformedEntry", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.site.store.Put("servers", "i-strange", []byte(`{"service":["calls"],"address":5}`))
		pause.For(ctx, length(rng)/4)
		s.site.store.Remove("servers", "i-strange")
	}},
}

// disturb puts a proxy into a random mode for a while.
func disturb(ctx context.Context, rng *rand.Rand, p *proxy) {
	switch m := mode(rng.IntN(len(modeNames))); m {
	case modePass:
		p.resetAll()
	default:
		p.set(m)
		pause.For(ctx, length(rng))
		p.set(modePass)
		if m == modeSilent || m == modeOneWay {
			// Data that was swallowed is gone, as behind a cut.
			p.resetAll()
		}
	}
}

// play brings faults about one after another, and sometimes several at once, until ctx
// ends. It returns when all are over.
func (s *soak) play(ctx context.Context, rng *rand.Rand) {
	var open sync.WaitGroup
	for ctx.Err() == nil {
		for range 1 + rng.IntN(3) {
			f := faults[rng.IntN(len(faults))]
			source := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
			s.history = append(s.history, fmt.Sprintf("%.1fs %s", time.Since(s.began).Seconds(), f.name))
			open.Go(func() { f.run(ctx, s, source) })
		}
		if rng.IntN(2) == 0 {
			open.Wait()
		}
		pause.For(ctx, time.Duration(rng.IntN(600))*time.Millisecond)
	}
	open.Wait()
}
