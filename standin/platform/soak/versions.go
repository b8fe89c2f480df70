package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// versionPhases are the phases of the targets of one software version.
var versionPhases = []string{"", "", "decode", "decode", "decode", "decode", "decode", "decode", "prefill", "prefill"}

// versionRouteMix is the mix beside engines of several versions.
var versionRouteMix = []string{"once", "safe", "stream", "long", "long", "long"}

// phases returns the phases of the targets of one software version.
func (o *Options) phases() []string {
	if o.Versions > 1 {
		return versionPhases
	}
	if o.CrashingRequests > 0 {
		return targetPhases
	}
	if o.CrashingParts > 0 {
		return crashPhases
	}
	return targetPhases
}

// hasLongStreams reports whether callers send long streams.
func (o *Options) hasLongStreams() bool { return o.Planned || o.Versions > 1 }

// readyChange is a change of the number of ready engines of a version.
type readyChange struct {
	at      time.Time
	version string
	change  int
}

// versionOf returns the software version of the target with an index.
func (tb *testbed) versionOf(i int) string { return fmt.Sprintf("v%d", i/len(tb.phases)+1) }

// setReady registers an engine as ready or as leaving.
func (tb *testbed) setReady(i int, isReady bool) {
	state, change := "ready", 1
	if !isReady {
		state, change = "draining", -1
	}
	tb.mu.Lock()
	tb.ready = append(tb.ready, readyChange{time.Now(), tb.versionOf(i), change})
	tb.mu.Unlock()
	tb.register(i, state)
}

// allReadyChanges returns a copy of the changes of the number of ready engines.
func (tb *testbed) allReadyChanges() []readyChange {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return append([]readyChange(nil), tb.ready...)
}

// restInterval is the time after the restart of killed instances in which none is killed, so that
// all of them run undisturbed for a while.
const restInterval = contactTime + time.Second

// versionFaults are the faults beside engines of several versions.
var versionFaults = []fault{
	{"KillSome", func(ctx context.Context, s *soak, rng *rand.Rand) {
		if !s.killing.TryLock() {
			return
		}
		defer s.killing.Unlock()
		began, killed := time.Now(), rng.Perm(len(s.instances))[:1+rng.IntN(2)]
		for _, i := range killed {
			s.instances[i].stop(syscall.SIGKILL)
		}
		pause.For(ctx, randomDuration(rng)/2)
		for _, i := range killed {
			s.start(s.instances[i])
		}
		s.recordDown(killed, interval{began, time.Now()})
		pause.For(ctx, restInterval)
	}},
	{"Release", func(ctx context.Context, s *soak, rng *rand.Rand) {
		if s.releasing.TryLock() {
			defer s.releasing.Unlock()
			s.release(ctx, rng)
		}
	}},
	{"CutStreams", func(_ context.Context, s *soak, rng *rand.Rand) {
		engines := s.testbed.targetsOf("models")
		for range 1 + rng.IntN(4) {
			engines[rng.IntN(len(engines))].InjectFaults(platform.CutStream)
		}
	}},
	{"Configure", func(_ context.Context, s *soak, _ *rand.Rand) { s.recordError(s.testbed.configure()) }},
}

// recordDown records the time for which killed instances were down.
func (s *soak) recordDown(killed []int, down interval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disruptions = append(s.disruptions, down)
	for _, i := range killed {
		s.kills[s.instances[i].name] = append(s.kills[s.instances[i].name], down)
	}
}

// release replaces some engines, one after another, by engines of one other version. Their streams
// go on to their end.
func (s *soak) release(ctx context.Context, rng *rand.Rand) {
	tb, next := s.testbed, rng.IntN(s.options.Versions)
	for _, slot := range rng.Perm(len(tb.phases))[:1+rng.IntN(4)] {
		version, ok := s.versionAt(slot)
		if !ok || version == next {
			continue
		}
		old := slot + version*len(tb.phases)
		tb.setReady(old, false)
		tb.setReady(slot+next*len(tb.phases), true)
		s.slots[slot] = next
		pause.For(ctx, randomDuration(rng))
		tb.store.Remove("servers", tb.targets[old].ID())
	}
}

// versionAt returns the index of the version of the engine in a slot. ok is false if no engine is
// there.
func (s *soak) versionAt(slot int) (version int, ok bool) {
	if s.testbed.phases[slot] == "" {
		return 0, false
	}
	if version, ok = s.slots[slot]; !ok {
		version = slot % s.options.Versions
	}
	return version, true
}
