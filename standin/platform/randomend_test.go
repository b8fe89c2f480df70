package platform_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gorseline/standin/platform"
)

// streamFaults are faults of streams after which a caller may get a part, but none that looks whole.
var streamFaults = []platform.RequestFault{
	"", platform.CutStream, platform.CutEarly, platform.CutEvent, platform.CutEnd, platform.Stall, platform.Pause, platform.StepBack,
	platform.Rerun, platform.Unframed, platform.UnframedCut, platform.UnframedReset, platform.UnframedEmpty, platform.UnframedKill,
	platform.UnframedHold, platform.NotFound, platform.OtherType, platform.CutHead, platform.Fail, platform.Reset, platform.Shed,
	platform.EndlessHead,
}

// Guards against a part of a stream that looks whole, and against events twice, out of order or of an error,
// whatever engines do one after the other, directly and through another instance.
func TestRandomEndsOfStreams(t *testing.T) {
	rng := rand.New(rand.NewPCG(58, 1))
	for i := range 120 {
		var faults [3]platform.RequestFault
		for n := range faults {
			faults[n] = streamFaults[rng.IntN(len(streamFaults))]
		}
		path := [...]string{"/resumable/x", "/resumable/x", "/single/x"}[rng.IntN(3)]
		isDetour := rng.IntN(4) == 0
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode", "decode")
			for n, fault := range faults {
				f.targets[1+n].SetDownTime(routeTimeout)
				f.targets[1+n].InjectFaults(fault)
			}
			if isDetour {
				f = newCutFixture(t, f)
			}
			got := f.exchangeRaw(path)
			if isAnswered := len(got.head) > 12 && got.head[9:12] == "200"; !isAnswered || !strings.Contains(got.head, "Content-Type: text/event-stream") {
				return // an error, or an answer that is no stream
			}
			checkPart(t, got)
			if t.Failed() {
				t.Logf("%s, detour %v, faults %q", path, isDetour, faults)
			}
		})
	}
}
