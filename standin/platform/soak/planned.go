package soak

import (
	"context"
	"fmt"
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

// slowRoute is a route of calls that may run once at most, with a long timeout. Nearly all are quick.
const slowRoute = "slow"

// slowCall is the end of the path of calls that take far longer than those before them, slowTime how long
// they take: most of the grace period.
const (
	slowCall = "slow"
	slowTime = 5 * time.Second
)

// Load of calls on slowRoute.
const (
	// quickInterval is the time between two quick calls. Each instance has served some when it leaves.
	quickInterval = 30 * time.Millisecond
	// slowInterval is the time between two slow calls to instances that leave.
	slowInterval = 250 * time.Millisecond
)

// runCalls sends quick calls to random instances, and slow ones to those that leave, until ctx ends. It returns
// when all have ended.
func (s *soak) runCalls(ctx context.Context, rng *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	latest := time.Time{}
	for i := 0; pause.For(ctx, quickInterval); i++ {
		inst := s.randomInstance(rng)
		id := fmt.Sprintf("%s-%d-%d", slowRoute, s.options.Seed, i)
		a := attempt{route: slowRoute, id: id, stream: id, size: 10}
		if _, isServing := inst.state(); !isServing {
			if time.Since(latest) < slowInterval {
				continue
			}
			a.path, latest = slowCall, time.Now()
		}
		calls.Go(func() { s.callers.record(s.callers.sendAttempt(context.WithoutCancel(ctx), inst, a)) })
	}
}

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
