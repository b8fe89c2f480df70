package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// endingEventInterval is the time that an engine takes for an event beside broken answers, so that many
// streams are under way when a connection ends and none lasts longer than a second.
const endingEventInterval = 5 * time.Millisecond

// endingRouteMix is the mix beside broken answers. Long streams outlast a connection that the kernel gives up.
var endingRouteMix = []string{"once", "safe", "stream", "single", "long", "long-single", "long-single"}

// Sizes of bodies beside broken answers, in bytes. A medium one fits into the buffers of the kernel of its
// sender but not of a receiver that reads nothing; a large one fits into neither, so that its upload lasts.
const (
	minMedium, maxMedium = 300_000, 700_000
	minLarge, maxLarge   = 4_000_000, 6_000_000
	maxEndingBody        = 8 << 20
)

// endingSize returns the size of the body of a request beside broken answers.
func endingSize(rng *rand.Rand) int {
	switch rng.IntN(6) {
	case 0:
		return minLarge + rng.IntN(maxLarge-minLarge)
	case 1, 2:
		return minMedium + rng.IntN(maxMedium-minMedium)
	}
	return rng.IntN(20_000)
}

// endingFaults are broken answers of targets, beside signals, restarts and changes of the configuration.
var endingFaults = []fault{
	{"Endings", func(ctx context.Context, s *soak, rng *rand.Rand) {
		targets := s.testbed.targets[rng.IntN(len(s.testbed.targets)):]
		s.breakAnswers(ctx, rng, targets[:1+rng.IntN(min(2, len(targets)))])
	}},
	{"ServiceEndings", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.breakAnswers(ctx, rng, s.testbed.targetsOf([]string{"calls", "models"}[rng.IntN(2)]))
	}},
	{"EndingsOfModels", func(ctx context.Context, s *soak, rng *rand.Rand) {
		s.breakAnswers(ctx, rng, s.testbed.targetsOf("models"))
	}},
	{"Kill", func(ctx context.Context, s *soak, rng *rand.Rand) {
		inst := s.randomInstance(rng)
		inst.stop(syscall.SIGKILL)
		pause.For(ctx, randomDuration(rng)/4)
		s.start(inst)
	}},
	{"StopInSeries", func(ctx context.Context, s *soak, rng *rand.Rand) {
		var stops sync.WaitGroup
		for _, i := range rng.Perm(len(s.instances))[:1+rng.IntN(2)] {
			stops.Go(func() {
				s.instances[i].stop(syscall.SIGTERM)
				s.start(s.instances[i])
			})
			pause.For(ctx, stopInterval)
		}
		stops.Wait()
	}},
	{"ReloadAndConfigure", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(5) {
			s.randomInstance(rng).signalServing(syscall.SIGHUP)
			s.recordError(s.testbed.configure())
			pause.For(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
		}
	}},
}

// endingKinds are the ways in which answers break: ends that must not look complete, and bytes that are no
// answers.
var endingKinds = append(slices.Clone(platform.EndingFaults), platform.BadStatus, platform.BadName)

// Range of the share of the requests whose answers break.
const minEndingShare, maxEndingShare = 0.2, 0.6

// breakAnswers makes targets break a share of their answers for a random time, all in one way or each in its
// own.
func (s *soak) breakAnswers(ctx context.Context, rng *rand.Rand, targets []*platform.Target) {
	share := minEndingShare + (maxEndingShare-minEndingShare)*rng.Float64()
	kinds, isMixed := rng.Perm(len(endingKinds)), rng.IntN(2) == 0
	for i, t := range targets {
		if !isMixed {
			i = 0
		}
		t.SetLastingFault(endingKinds[kinds[i%len(kinds)]], share)
	}
	pause.For(ctx, randomDuration(rng))
	for _, t := range targets {
		t.SetLastingFault("", 0)
	}
}

// countEndings returns the numbers of answers that targets broke, by the way.
func (s *soak) countEndings() map[platform.RequestFault]int {
	counts := map[platform.RequestFault]int{}
	for _, t := range s.testbed.targets {
		for _, run := range t.Runs() {
			if slices.Contains(endingKinds, run.Fault) {
				counts[run.Fault]++
			}
		}
	}
	return counts
}

// brokenNote matches the part of the software version at the end of a stream that broke inside an event.
var brokenNote = regexp.MustCompile(`( (b(y( \w*)?)?)?)?\n?$`)

// checkBody checks the body of a success, which is that of its target, or a part of it if the connection
// failed. It returns the violation, or "".
func checkBody(r *result) string {
	if r.status != 200 {
		return ""
	}
	body, whole := versionNotes.ReplaceAllString(r.body, "\n\n"), completeBody(r)
	switch {
	case r.err == nil && r.stamp == "":
		return fmt.Sprintf("MIXED: success without a stamp: %.60q", body)
	case r.err == nil && body == whole:
		return ""
	case strings.HasPrefix(whole, body), r.err != nil && strings.HasPrefix(whole, brokenNote.ReplaceAllString(body, "")):
		if r.err != nil {
			return ""
		}
		if isStream(r.route) {
			return fmt.Sprintf("ORDER: stream ends as complete after %d of %d bytes", len(body), len(whole))
		}
		return fmt.Sprintf("MIXED: %d of %d bytes of the body as a complete answer", len(body), len(whole))
	}
	at := 0
	for at < min(len(body), len(whole)) && body[at] == whole[at] {
		at++
	}
	return fmt.Sprintf("MIXED: bytes that are not the target's from byte %d: %.80q", at, body[at:])
}
