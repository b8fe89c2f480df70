package streamstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorseline/core"
)

type simScenario struct {
	name string
	// minKnown is the least share of lookups at instances in touch with a known version.
	minKnown float64
	play     func(f *simFleet)
	// isLarge is set if the scenario is also played at the design size.
	isLarge bool
}

func killed(share func(count int) int) func(f *simFleet) {
	return func(f *simFleet) {
		if len(f.instances) <= 60 {
			f.settle()
		}
		f.setVersions("v1", "v2")
		f.run(15 * time.Second)
		f.kill(f.pick(share(len(f.instances)))...)
		f.run(3 * time.Second)
	}
}

var simScenarios = []simScenario{
	{"OneKilledWhileMixed", 0.99, killed(func(int) int { return 1 }), true},
	{"TwoKilledWhileMixed", 0.98, killed(func(int) int { return 2 }), false},
	{"HalfKilledWhileMixed", 0.85, killed(func(count int) int { return count / 2 }), true},
	{"ThreeQuartersKilledWhileMixed", 0.5, killed(func(count int) int { return count * 3 / 4 }), true},
	{"OneKilledWhileSingle", 0.99, func(f *simFleet) {
		f.settle()
		f.kill(f.pick(1)...)
		f.run(time.Second)
	}, false},
	{"HalfKilledWhileSingle", 0.99, func(f *simFleet) {
		f.settle()
		f.kill(f.pick(len(f.instances) / 2)...)
		f.run(time.Second)
	}, false},
	{"AllButOneKilledWhileSingle", 0.99, func(f *simFleet) {
		f.settle()
		f.kill(f.pick(len(f.instances) - 1)...)
		f.run(time.Second)
	}, false},
	{"KilledJustAfterNewVersion", 0.9, func(f *simFleet) {
		f.settle()
		f.setVersions("v1", "v2")
		f.run(500 * time.Millisecond)
		f.kill(f.pick(2)...)
		f.run(3 * time.Second)
	}, false},
	{"ThreeVersionsAndKillsInSeries", 0.95, func(f *simFleet) {
		f.settle()
		for _, versions := range [][]core.SoftwareVersion{{"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v1", "v2", "v3"}, {"v3"}, {"v1"}} {
			f.setVersions(versions...)
			f.run(time.Duration(1+f.rng.IntN(12)) * time.Second)
			dead := f.pick(2)
			f.kill(dead...)
			f.run(time.Duration(1+f.rng.IntN(8)) * time.Second)
			for _, i := range dead {
				f.restart(i)
			}
		}
		f.run(3 * time.Second)
	}, false},
	{"CutOffFromStoreAndPeers", 0.9, func(f *simFleet) {
		f.settle()
		cut := f.pick(max(2, len(f.instances)/4))
		f.splitAt, f.settledAt = f.now, f.now.Add(simDetection+2*simTick)
		for _, i := range cut {
			i.isCut, i.frozenAt, i.side = true, f.now.Add(-i.lag), 1
		}
		f.run(2 * time.Second)
		f.setVersions("v2")
		f.run(45 * time.Second)
		f.kill(slices.DeleteFunc(f.pick(len(f.instances)/2), func(i *simInstance) bool { return i.isCut })...)
		f.run(3 * time.Second)
	}, false},
	{"StoreAwayForAll", 0.85, func(f *simFleet) {
		f.settle()
		for _, i := range f.instances {
			i.isCut, i.frozenAt = true, f.now.Add(-i.lag)
		}
		f.run(10 * time.Second)
		for _, i := range f.instances {
			i.isCut = false
		}
		f.setVersions("v1", "v2")
		f.run(2 * time.Second)
		f.kill(f.pick(2)...)
		f.run(3 * time.Second)
	}, false},
	{"AllRestartAfterVersionLeft", 0, func(f *simFleet) {
		f.settle()
		f.setVersions("v1", "v2")
		f.run(4 * time.Second)
		f.setVersions("v2")
		f.run(time.Second)
		old := slices.Clone(f.streams)
		f.kill(f.instances...)
		for _, i := range f.instances {
			f.restart(i)
		}
		f.run(2 * time.Second)
		for range 3 {
			for _, s := range old {
				f.lookups = append(f.lookups, simLookup{s, f.pick(1)[0], f.now})
			}
			f.run(5 * time.Second)
		}
	}, false},
	{"RollingRestarts", 0.9, func(f *simFleet) {
		f.settle()
		f.setVersions("v1", "v2")
		f.run(8 * time.Second)
		for _, i := range f.instances[:min(7, len(f.instances))] {
			f.kill(i)
			f.run(2 * time.Second)
			f.restart(i)
			f.run(4 * time.Second)
		}
	}, false},
	{"RandomEvents", 0.5, func(f *simFleet) {
		f.settle()
		for range 25 {
			f.randomEvent()
			f.run(time.Duration(200+f.rng.IntN(6000)) * time.Millisecond)
		}
	}, false},
	{"DataCentreLost", 0.9, func(f *simFleet) {
		f.settle()
		f.setVersions("v1", "v2")
		f.run(10 * time.Second)
		var lost []*simInstance
		for _, i := range f.instances {
			if i.dc == "dc0" {
				lost = append(lost, i)
			}
		}
		f.kill(lost...)
		f.run(3 * time.Second)
	}, false},
}

// simSeedFactors multiplies the seeds of scenarios whose share of known versions differs much by seed.
var simSeedFactors = map[string]int{"CutOffFromStoreAndPeers": 6}

// Guards against a stream that goes on at another version than the one it began at, and against
// one that can't go on because its version was lost with an instance.
func TestVersionsSurviveLossOfInstances(t *testing.T) {
	for _, size := range []struct{ count, dataCentres, seeds int }{{7, 1, 10}, {9, 3, 5}, {24, 1, 3}, {60, 3, 2}, {680, 6, 1}} {
		for _, s := range simScenarios {
			isTooLarge := size.count > 60 && !s.isLarge
			if isTooLarge || s.name == "DataCentreLost" && size.dataCentres == 1 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%dIn%d", s.name, size.count, size.dataCentres), func(t *testing.T) {
				t.Parallel()
				resumed, known := 0, 0
				results := map[Result]int{}
				for seed := range size.seeds * max(1, simSeedFactors[s.name]) {
					f := newSimFleet(t, size.count, size.dataCentres, uint64(seed))
					s.play(f)
					resumed, known = resumed+f.resumed, known+f.known
					for result, count := range f.results {
						results[result] += count
					}
				}
				t.Logf("%d of %d known, results %v", known, resumed, results)
				if float64(known) < s.minKnown*float64(resumed) {
					t.Errorf("%d of %d known, want a share of %v; results %v", known, resumed, s.minKnown, results)
				}
			})
		}
	}
}
