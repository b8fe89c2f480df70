package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gorseline/core/common/pause"
)

// versionWatcher probes routes of one instance that exist only in some versions of the
// configuration. It detects a process that returns to an older version.
type versionWatcher struct {
	testbed  *testbed
	callers  *callers
	instance *instance

	mu sync.Mutex
	// regressions describes each detected return to an older version.
	regressions []string
	// generation is the process that highest applies to.
	generation int
	// highest is the newest version that this process is known to have applied.
	highest int
}

const probeInterval = 150 * time.Millisecond

// run probes the instance periodically until ctx ends.
func (w *versionWatcher) run(ctx context.Context, seed uint64) {
	for i := 0; ctx.Err() == nil; i++ {
		generation, isRunning := w.instance.state()
		version := w.testbed.newestVersion()
		if isRunning {
			w.probe(ctx, generation, version, fmt.Sprintf("w%d-%s-%d", seed, w.instance.name, i))
		}
		pause.For(ctx, probeInterval)
	}
}

// probe requests the route of the given version and the route that the highest applied version
// removed.
func (w *versionWatcher) probe(ctx context.Context, generation, version int, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	newest := w.callers.send(ctx, w.instance, fmt.Sprintf("v%d", version), id+"n", 0)
	w.mu.Lock()
	if generation != w.generation {
		w.generation, w.highest = generation, 0
	}
	highest := w.highest
	if newest.err == nil && newest.status == 200 {
		w.highest = max(w.highest, version)
	}
	w.mu.Unlock()
	// Version v removes the route of version v-2, so a process that has applied v must not
	// serve that route.
	if highest < 3 {
		return
	}
	old := w.callers.send(ctx, w.instance, fmt.Sprintf("v%d", highest-2), id+"o", 0)
	if now, isRunning := w.instance.state(); old.err == nil && old.status == 200 && isRunning && now == generation {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.regressions = append(w.regressions, fmt.Sprintf("%s: serves a route that version %d removed, after it had applied that version", w.instance.name, highest))
	}
}

// allRegressions returns a copy of the regressions so far.
func (w *versionWatcher) allRegressions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.regressions...)
}
