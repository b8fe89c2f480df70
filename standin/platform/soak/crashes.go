package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// Limits of the check that parts and requests that crash targets are kept from them.
const (
	// allowedPartCrashes and allowedRequestCrashes are the numbers of crashes after which instances must
	// know a part or a request.
	allowedPartCrashes, allowedRequestCrashes = 5, 3
	// maxLateSends is the number of requests that may reach targets after that and contactTime.
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

// crashPart is the beginning of the names of parts and of the paths of requests that crash targets.
const crashPart = "bad"

// crashPhases are the phases of the targets beside parts that crash engines.
var crashPhases = []string{"", "", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "decode", "prefill", "prefill"}

// badSend is a request that crashes targets as its caller sent it.
type badSend struct {
	// cause names the part, or the route and path of the request.
	cause    string
	instance string
}

// crashes is the state of the crashing parts of a soak.
type crashes struct {
	mu sync.Mutex
	// sent holds the requests that crash targets by ID.
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
			s.recordError(s.testbed.goBack(copied))
			pause.For(ctx, randomDuration(rng)/2)
			s.recordError(s.testbed.rewriteExternal())
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
	killOneIndex = 0
	killAllIndex = 2
	freezeIndex  = 3
	leaveIndex   = 4
	storeEnd     = 7 // after the last fault of instances or the store
)

// instanceFaults are the faults of instances that other modes use too.
var instanceFaults = []fault{
	crashFaults[killOneIndex], crashFaults[killAllIndex], crashFaults[freezeIndex], crashFaults[leaveIndex],
}

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
	s.recordDisruption(interval{began, time.Now()})
}

// prepareCrashes makes targets crash under the parts and requests of the options.
func (s *soak) prepareCrashes() {
	for _, t := range s.testbed.targets {
		if s.options.CrashingParts > 0 {
			t.CrashPart(crashPart, engineDownTime)
		}
		if s.options.CrashingRequests > 0 {
			t.CrashPath("/"+crashPart, engineDownTime)
		}
	}
}

// nextBad returns a request that crashes targets, and its cause.
func (s *soak) nextBad(rng *rand.Rand, i int) (a attempt, cause string) {
	number := rng.IntN(s.options.CrashingParts + s.options.CrashingRequests)
	if number >= s.options.CrashingParts {
		// The same request each time but for its ID.
		number -= s.options.CrashingParts
		a.route = []string{"safe", "once", "stream", "single"}[number%4]
		a.path = fmt.Sprintf("%s%d", crashPart, number)
		a.id = fmt.Sprintf("%s-bad-%d-%d", a.route, s.options.Seed, i)
		a.stream, a.prompt = a.id, "ab:3000,s1:500,own:500"
		return a, a.route + "/" + a.path
	}
	a.route = []string{"stream", "single"}[rng.IntN(2)]
	a.id = fmt.Sprintf("%s-bad-%d-%d", a.route, s.options.Seed, i)
	cause = fmt.Sprintf("%s%d", crashPart, number)
	a.stream, a.prompt = a.id, fmt.Sprintf("ab:3000,s%d:500,%s:500,%s:100", rng.IntN(subjects), cause, a.id)
	return a, cause
}

// runBadCaller sends requests that crash targets to any instance until ctx ends.
func (s *soak) runBadCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 1000))
	for i := 0; ctx.Err() == nil; i++ {
		inst := s.randomInstance(rng)
		a, cause := s.nextBad(rng, i)
		s.crashes.mu.Lock()
		s.crashes.sent[a.id] = badSend{cause, inst.name}
		s.crashes.mu.Unlock()
		s.callers.record(s.callers.sendAttempt(context.WithoutCancel(ctx), inst, a))
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

// quarantineRetryAfter is what instances tell the callers of requests that crash targets, and nobody
// else.
const quarantineRetryAfter = "30.000"

// checkSoundRefused returns the sound requests that were refused as ones that crash targets.
func (s *soak) checkSoundRefused(results []result) []string {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	var violations []string
	for i := range results {
		r := &results[i]
		if r.retryAfter == quarantineRetryAfter && s.crashes.sent[r.id].cause == "" {
			violations = append(violations, fmt.Sprintf("sound request %s was refused at %s as one that crashes targets", r.id, r.instance))
		}
	}
	return violations
}

// checkCrashes returns the parts and requests that went on reaching targets.
func (s *soak) checkCrashes() []string {
	c := s.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	crashed, arrived := map[string][]time.Time{}, map[string][]platform.Arrival{}
	for _, t := range s.testbed.targets {
		for _, crash := range t.CausedCrashes() {
			cause := c.sent[crash.Request].cause
			crashed[cause] = append(crashed[cause], crash.At)
		}
		for _, a := range t.Arrivals() {
			if cause := c.sent[a.ID].cause; cause != "" {
				arrived[cause] = append(arrived[cause], a)
			}
		}
	}
	var violations []string
	for cause, times := range crashed {
		allowed := allowedPartCrashes
		if strings.Contains(cause, "/") {
			allowed = allowedRequestCrashes
		}
		if len(times) < allowed {
			s.lost = append(s.lost, fmt.Sprintf("%s: %d targets", cause, len(times)))
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		known := times[allowed-1].Add(contactTime)
		late := slices.DeleteFunc(arrived[cause], func(a platform.Arrival) bool {
			return a.At.Before(known) || !c.isInTouch(c.sent[a.ID].instance, a.At)
		})
		s.lost = append(s.lost, fmt.Sprintf("%s: %d targets, %d late sends", cause, len(times), len(late)))
		if len(late) > maxLateSends {
			violations = append(violations, fmt.Sprintf("%d requests with %s reached targets later than %v after crash %d, "+
				"%d targets crashed; the last one is %s at %s", len(late), cause, contactTime, allowed, len(times),
				late[len(late)-1].ID, c.sent[late[len(late)-1].ID].instance))
		}
	}
	return violations
}
