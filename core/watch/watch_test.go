package watch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/routing"
	"gorseline/core/watch"
)

// fakeTargets answers load requests except those to unresponsive targets, which time out.
type fakeTargets struct {
	mu           sync.Mutex
	unresponsive map[string]bool
	polls        map[string][]core.Instant
	clock        core.ClockProvider
}

func (f *fakeTargets) Load(ctx context.Context, address string) (core.LoadReport, error) {
	f.mu.Lock()
	f.polls[address] = append(f.polls[address], f.clock.Now())
	unresponsive := f.unresponsive[address]
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return core.LoadReport{}, ctx.Err()
	}
	return core.LoadReport{Role: core.RoleMixed, Model: "m"}, nil
}

func (f *fakeTargets) CacheEvents(context.Context, string, uint64) ([]core.CacheEvent, error) {
	return nil, nil
}

func (f *fakeTargets) count(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.polls[address])
}

// run runs a watcher over n engines for the duration d.
func run(n int, d time.Duration, options watch.Options, unresponsive ...string) *fakeTargets {
	clock := core.NewProcessClock()
	targets := &fakeTargets{unresponsive: map[string]bool{}, polls: map[string][]core.Instant{}, clock: clock}
	for _, address := range unresponsive {
		targets.unresponsive[address] = true
	}
	fleet := routing.NewStore(routing.StoreOptions{})
	var all []core.Target
	for i := range n {
		name := fmt.Sprintf("t%03d", i)
		all = append(all, core.Target{ID: core.TargetID(name), Service: "llm", Address: name, Models: []core.Model{"m"}})
	}
	fleet.SetTargets(all)
	options.Fleet, options.Load, options.Events = fleet, targets, targets
	options.Clock, options.Random = clock, random.New(1)
	w := watch.New(options)
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	w.Run(ctx)
	<-w.Done()
	return targets
}

// Guards against unresponsive targets that occupy all pollers and delay the reports of all
// other targets: a target that leaves must be noticed within 3 s.
func TestUnresponsiveTargetsDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := run(18, time.Minute, watch.Options{}, "t000", "t001", "t002", "t003")
		polls := targets.polls["t017"]
		if len(polls) < 20 {
			t.Fatalf("%d polls in a minute", len(polls))
		}
		for i := 1; i < len(polls); i++ {
			if gap := polls[i].Sub(polls[i-1]); gap > 3*time.Second {
				t.Errorf("no poll for %v", gap)
			}
		}
	})
}

// Guards against control traffic that grows with the fleet. With 4,500 targets and 8 polls
// per round of 2 s, the targets whose lease this instance holds must still be polled in
// every round.
func TestPollsPerRoundAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leased := []core.TargetID{"t100", "t200", "t300"}
		targets := run(4500, 20*time.Second, watch.Options{
			PollsPerRound: 8, LeaseHeld: func(target core.Target) bool { return slices.Contains(leased, target.ID) },
		})
		total := 0
		for _, polls := range targets.polls {
			total += len(polls)
		}
		if total > 8*14 {
			t.Errorf("%d polls in 20 s", total)
		}
		for _, id := range leased {
			if n := targets.count(string(id)); n < 10 {
				t.Errorf("leased target %s was polled %d times in 20 s", id, n)
			}
		}
	})
}
