package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// Limits of the check that a part of prompts that crashes engines is kept from them.
const (
	// allowedCrashes is the number of crashes after which instances must find the part.
	allowedCrashes = 5
	// maxLateSends is the number of requests with the part that may reach targets after that and
	// contactTime.
	maxLateSends = 3
)

const (
	// engineDownTime is how long a crashed engine is down.
	engineDownTime = 700 * time.Millisecond
	// minBadPause and maxBadPause bound the time between two requests with a part that crashes engines.
	minBadPause, maxBadPause = 40 * time.Millisecond, 400 * time.Millisecond
	// subjects is the number of sound second parts.
	subjects = 60
)

// crashPart is the name of the parts that crash engines. Engines don't tell their numbers apart.
const crashPart = "bad"

// crashPhases are the phases of the targets beside parts that crash engines.
var crashPhases = []string{"", "", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "prefill", "prefill"}

// badSend is a request with a part that crashes engines as its caller sent it.
type badSend struct {
	part     string
	instance string
}

// crashes is the state of the crashing parts of a soak.
type crashes struct {
	mu sync.Mutex
	// sent holds the requests with crashing parts by ID.
	sent map[string]badSend
	// disrupted holds the disruptions of each instance, down the times without a stable store.
	disrupted map[string][]interval
	store     []interval
}

// crashFaults are the faults beside parts that crash engines.
var crashFaults = []fault{
	{"KillOne", func(ctx context.Context, s *soak, rng *rand.Rand) { s.killSome(ctx, rng, 1) }},
	{"KillHalf", func(ctx context.Context, s *soak, rng *rand.Rand) { s.killSome(ctx, rng, (len(s.instances)+1)/2) }},
	{"KillAllInstances", func(ctx context.Context, s *soak, rng *rand.Rand) { s.killSome(ctx, rng, len(s.instances)) }},
	{"Freeze", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		s.disruptUnplanned(inst.name, func() {
			inst.signal(syscall.SIGSTOP)
			pause.For(ctx, randomDuration(rng))
			inst.signal(syscall.SIGCONT)
		})
	}},
	{"LeaveAndReturn", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		s.disrupt(inst.name, func() {
			inst.stop(syscall.SIGTERM)
			pause.For(ctx, randomDuration(rng)/4)
			s.start(inst)
		})
	}},
	{"StoreAway", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.disrupt("", func() {
			s.testbed.store.SetFaults([]platform.Faults{{Status: http.StatusServiceUnavailable}, {Unresponsive: true}}[rng.IntN(2)])
			pause.For(ctx, randomDuration(rng))
			s.testbed.store.SetFaults(platform.Faults{})
		})
	}},
	{"StoreFromCopy", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.disrupt("", func() {
			copied := s.testbed.store.Copy()
			pause.For(ctx, time.Duration(rng.Float64()*float64(maxCopyAge)))
			s.testbed.store.GoBack(copied)
			pause.For(ctx, randomDuration(rng)/2)
			s.testbed.store.RewriteExternal()
		})
	}},
	{"EngineCrashes", func(ctx context.Context, s *soak, rng *rand.Rand) {
		engines := s.testbed.targetsOf("models")
		count := []int{1, 1, 2, len(engines)}[rng.IntN(4)]
		for _, i := range rng.Perm(len(engines))[:count] {
			engines[i].Crash()
		}
		pause.For(ctx, engineDownTime)
	}},
}

// Indexes of faults that other modes use too.
const (
	freezeIndex = 3
	leaveIndex  = 4
)

// killSome kills instances and starts them again.
func (s *soak) killSome(ctx context.Context, rng *rand.Rand, count int) {
	var together sync.WaitGroup
	for _, i := range rng.Perm(len(s.instances))[:count] {
		inst, down := s.instances[i], randomDuration(rng)/4
		together.Go(func() {
			s.disruptUnplanned(inst.name, func() {
				inst.stop(syscall.SIGKILL)
				pause.For(ctx, down)
				s.start(inst)
			})
		})
	}
	together.Wait()
}

// disrupt disrupts an instance, or the store if the name is empty, and records when.
func (s *soak) disrupt(instance string, run func()) {
	c := s.crashes
	began := time.Now()
	run()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := interval{began, time.Now()}
	if instance == "" {
		c.store = append(c.store, d)
		return
	}
	c.disrupted[instance] = append(c.disrupted[instance], d)
}

// disruptUnplanned disrupts an instance without a plan, so that requests may be lost.
func (s *soak) disruptUnplanned(instance string, run func()) {
	began := time.Now()
	s.disrupt(instance, run)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disruptions = append(s.disruptions, interval{began, time.Now()})
}

// runBadCaller sends requests with parts that crash engines to any instance until ctx ends.
func (s *soak) runBadCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 1000))
	for i := 0; ctx.Err() == nil; i++ {
		inst := s.randomInstance(rng)
		route := []string{"stream", "single"}[rng.IntN(2)]
		id := fmt.Sprintf("%s-bad-%d-%d", route, s.options.Seed, i)
		part := fmt.Sprintf("%s%d", crashPart, rng.IntN(s.options.CrashingParts))
		s.crashes.mu.Lock()
		s.crashes.sent[id] = badSend{part, inst.name}
		s.crashes.mu.Unlock()
		s.callers.record(s.callers.sendAttempt(context.WithoutCancel(ctx), inst, attempt{
			route: route, id: id, stream: id,
			prompt: fmt.Sprintf("ab:3000,s%d:500,%s:500,%s:100", rng.IntN(subjects), part, id),
		}))
		pause.For(ctx, minBadPause+rand.N(maxBadPause-minBadPause))
	}
}

// runRestarts registers engines that have started again until ctx ends.
func (s *soak) runRestarts(ctx context.Context) {
	entries := make([][]byte, len(s.testbed.targets))
	pause.Every(ctx, 20*time.Millisecond, func() {
		for i, t := range s.testbed.targets {
			if entry := t.RegistryEntry(s.testbed.serviceOf(i), "a", "ready"); !bytes.Equal(entry, entries[i]) {
				entries[i] = entry
				s.testbed.register(i, "ready")
			}
		}
	})
}

// isInTouch reports whether neither an instance nor the store was disrupted in the time before.
func (c *crashes) isInTouch(instance string, at time.Time) bool {
	return !slices.ContainsFunc(slices.Concat(c.disrupted[instance], c.store), func(d interval) bool {
		return d.begin.Before(at) && d.end.Add(contactTime).After(at)
	})
}

// checkCrashes returns the parts whose requests went on reaching targets.
func (s *soak) checkCrashes() []string {
	c := s.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	crashed, arrived := map[string][]time.Time{}, map[string][]platform.Arrival{}
	for _, t := range s.testbed.targets {
		for _, crash := range t.CausedCrashes() {
			part := c.sent[crash.Request].part
			crashed[part] = append(crashed[part], crash.At)
		}
		for _, a := range t.Arrivals() {
			if part := c.sent[a.ID].part; part != "" {
				arrived[part] = append(arrived[part], a)
			}
		}
	}
	var violations []string
	for part, times := range crashed {
		if len(times) < allowedCrashes {
			s.lost = append(s.lost, fmt.Sprintf("%s: %d engines", part, len(times)))
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		known := times[allowedCrashes-1].Add(contactTime)
		late := slices.DeleteFunc(arrived[part], func(a platform.Arrival) bool {
			return a.At.Before(known) || !c.isInTouch(c.sent[a.ID].instance, a.At)
		})
		s.lost = append(s.lost, fmt.Sprintf("%s: %d engines, %d late sends", part, len(times), len(late)))
		if len(late) > maxLateSends {
			violations = append(violations, fmt.Sprintf("%d requests with the part %s reached targets later than %v after the fifth crash, "+
				"%d engines crashed; the last one is %s at %s", len(late), part, contactTime, len(times),
				late[len(late)-1].ID, c.sent[late[len(late)-1].ID].instance))
		}
	}
	return violations
}
