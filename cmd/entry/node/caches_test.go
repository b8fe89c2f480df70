package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/io/forward"
)

// fakeCaches answers for the engine p0 and fails for all others.
type fakeCaches struct{ calls chan core.TargetID }

func (f fakeCaches) CachedParts(_ context.Context, _ string, id core.TargetID) ([]core.CachedPart, error) {
	f.calls <- id
	if id != "p0" {
		return nil, errors.New("engine is silent")
	}
	return []core.CachedPart{{Model: "m", PromptPart: core.PromptPart{ID: 7, Tokens: 5000}}}, nil
}

// Guards against an instance that knows nothing of the engines' caches after its start, as was
// found on days on which all instances restarted, and against reads by all instances of a large
// fleet.
func TestCachesAreReadAtTheStart(t *testing.T) {
	for _, test := range []struct{ instances, cachedTokens, calls int }{{6, 5000, 2}, {80, 0, 0}} {
		synctest.Test(t, func(t *testing.T) {
			loads, targets := load.NewTracker(), roster.New(time.Second)
			f := forward.New(forward.Options{Assigner: assign.New(assign.Options{Loads: loads})})
			caches := fakeCaches{make(chan core.TargetID, 10)}
			c := &cacheReader{
				engines: caches, forwarder: f, roster: targets, loads: loads, done: make(chan struct{}),
				cells: fixedCells{load.NewCells("a", map[core.DataCentre]int{"a": test.instances})},
				log:   &log.Logger{Handler: discard.Default},
			}
			go c.Run(t.Context())
			time.Sleep(time.Second) // the configuration and the targets arrive later
			list := []core.Registration{
				{Target: core.Target{ID: "p0", Service: "models", DataCentre: "a", Role: core.RolePrefill}},
				{Target: core.Target{ID: "p1", Service: "models", DataCentre: "b", Role: core.RolePrefill}},
				{Target: core.Target{ID: "c0", Service: "calls", DataCentre: "a"}},
			}
			targets.Replace(0, 1, list)
			for _, r := range list {
				loads.SetCapacity(r.ID, 100_000)
			}
			f.Configure(route.NewTable(&core.Forwarding{Version: 1, Services: map[core.Service]core.ServiceLimits{
				"models": {Name: "models", Engine: &core.EngineLimits{CacheTokens: 100_000}}, "calls": {Name: "calls"},
			}}))
			<-c.Done()
			chain := prompt.NewChain(&core.Prompt{Model: "m", Parts: []core.PromptPart{{ID: 7, Tokens: 5000}}})
			if got := loads.State(0, "p0", chain).CachedTokens; got != test.cachedTokens || len(caches.calls) != test.calls {
				t.Errorf("%d instances: %d tokens cached after %d reads, want %d after %d",
					test.instances, got, len(caches.calls), test.cachedTokens, test.calls)
			}
		})
	}
}
