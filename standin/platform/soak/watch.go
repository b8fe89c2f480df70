package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gorseline/core/common/pause"
)

// watcher asks one instance for routes that only some versions have, and notes whether it
// goes back to an older version within the life of a process.
type watcher struct {
	site    *site
	callers *callers
	entry   *entry

	mu    sync.Mutex
	found []string
	// highest is the newest version seen in force in the process of a generation.
	highest    int
	generation int
}

const watchInterval = 150 * time.Millisecond

// run asks until ctx ends.
func (w *watcher) run(ctx context.Context, seed uint64) {
	for i := 0; ctx.Err() == nil; i++ {
		generation, isRunning := w.entry.state()
		version := w.site.newest()
		if isRunning {
			w.ask(ctx, generation, version, fmt.Sprintf("w%d-%s-%d", seed, w.entry.name, i))
		}
		pause.For(ctx, watchInterval)
	}
}

func (w *watcher) ask(ctx context.Context, generation, version int, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	newest := w.callers.send(ctx, w.entry, fmt.Sprintf("v%d", version), id+"n", 0)
	w.mu.Lock()
	if generation != w.generation {
		w.generation, w.highest = generation, 0
	}
	highest := w.highest
	if newest.err == nil && newest.status == 200 {
		w.highest = max(w.highest, version)
	}
	w.mu.Unlock()
	// Version v dropped the route of v-2: a process that had v in force must not serve it.
	if highest < 3 {
		return
	}
	old := w.callers.send(ctx, w.entry, fmt.Sprintf("v%d", highest-2), id+"o", 0)
	if now, isRunning := w.entry.state(); old.err == nil && old.status == 200 && isRunning && now == generation {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.found = append(w.found, fmt.Sprintf("%s: serves a route that version %d dropped, which it had in force", w.entry.name, highest))
	}
}

func (w *watcher) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.found...)
}
