package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gorseline/core/common/pause"
)

// stopInterval is the time between two signals when all instances are stopped in series.
const stopInterval = 250 * time.Millisecond

// eventInterval is the time that an engine takes for an event beside planned work. With it the
// longest streams take most of the grace period.
const eventInterval = 50 * time.Millisecond

// plannedFaults are kinds of planned work and of what sound targets do. None of them excuses a lost
// request.
var plannedFaults = []fault{
	{"StopInSeries", func(ctx context.Context, s *soak, rng *rand.Rand) {
		var stops sync.WaitGroup
		for _, i := range rng.Perm(len(s.instances)) {
			stops.Go(func() {
				s.instances[i].stop(syscall.SIGTERM)
				s.start(s.instances[i])
			})
			if !pause.For(ctx, stopInterval) {
				break
			}
		}
		stops.Wait()
	}},
	{"StopTwice", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		var second sync.WaitGroup
		second.Go(func() {
			pause.For(ctx, randomDuration(rng))
			inst.signalAgain(syscall.SIGTERM)
		})
		inst.stop(syscall.SIGTERM)
		second.Wait()
		s.start(inst)
	}},
	{"Configure", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(6) {
			s.recordError(s.testbed.configure())
			pause.For(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
		}
	}},
	{"Reload", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 5 {
			s.randomInstance(rng).signal(syscall.SIGHUP)
			pause.For(ctx, 50*time.Millisecond)
		}
	}},
	{"Freeze", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(4) {
			t := s.testbed.targets[rng.IntN(len(s.testbed.targets))]
			t.Freeze(time.Second + time.Duration(rng.Float64()*float64(time.Second/2)))
			pause.For(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
		}
	}},
	{"TargetLeaves", func(ctx context.Context, s *soak, rng *rand.Rand) {
		i := rng.IntN(len(s.testbed.targets))
		s.testbed.register(i, "draining")
		pause.For(ctx, randomDuration(rng))
		s.testbed.register(i, "ready")
	}},
}
