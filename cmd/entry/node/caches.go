package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/load"
	"gorseline/core/roster"
	"gorseline/io/forward"
	"gorseline/platform"
)

const (
	// minCachePoll and maxCachePoll bound the time between two checks whether the engines are known.
	// It grows, because some fleets have no engines.
	minCachePoll = 20 * time.Millisecond
	maxCachePoll = time.Second
	// membershipDelay is the time in which a starting instance learns how large the fleet is.
	membershipDelay = 200 * time.Millisecond
	// maxConcurrentCacheReads bounds the concurrent reads of caches.
	maxConcurrentCacheReads = 8
)

// cacheReader reads once, when the instance starts, which parts of prompts the engines have
// cached. Engines keep their caches while instances restart; prompts would otherwise be computed
// again and refused as too long. In fleets that share loads only within data centres it reads
// nothing, since a read by each of many instances would delay the engines.
type cacheReader struct {
	engines   core.CacheReader
	cells     load.CellProvider
	forwarder *forward.Forwarder
	roster    *roster.Roster
	loads     *load.Tracker
	log       log.Interface
	done      chan struct{}
}

func newCacheReader(
	lc fx.Lifecycle, engines *platform.EngineClient, cells load.CellProvider, f *forward.Forwarder, r *roster.Roster,
	loads *load.Tracker, l log.Interface,
) *cacheReader {
	c := &cacheReader{engines: engines, cells: cells, forwarder: f, roster: r, loads: loads, log: l, done: make(chan struct{})}
	lifecycle.Register(lc, c)
	return c
}

// Run waits until the engines are known and reads their caches.
func (c *cacheReader) Run(ctx context.Context) {
	defer close(c.done)
	for wait := minCachePoll; len(c.listEngines()) == 0; wait = min(2*wait, maxCachePoll) {
		if !pause.For(ctx, wait) {
			return
		}
	}
	if pause.For(ctx, membershipDelay) && c.cells.Cells().IsFleetWide {
		c.read(ctx, c.listEngines())
	}
}

// Done returns a channel that is closed when Run has ended.
func (c *cacheReader) Done() <-chan struct{} { return c.done }

// listEngines returns the engines of all services, or none before there is a configuration.
func (c *cacheReader) listEngines() []*roster.Entry {
	t := c.forwarder.Table()
	if t == nil {
		return nil
	}
	var list []*roster.Entry
	view := c.roster.View()
	for name, service := range t.Configuration().Services {
		if service.Engine != nil {
			list = append(list, view.Ready(name)...)
		}
	}
	return list
}

// read reads the caches of the engines. What can't be read is learned from later prompts.
func (c *cacheReader) read(ctx context.Context, engines []*roster.Entry) {
	began := time.Now()
	var parts, failed atomic.Int64
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCacheReads)
	for _, e := range engines {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			cached, err := c.engines.CachedParts(ctx, e.Address, e.ID)
			if err != nil {
				failed.Add(1)
				c.log.WithFields(log.Fields{"Target": e.ID, "Error": err.Error()}).Warn("CacheNotRead")
				return
			}
			parts.Add(int64(len(cached)))
			c.loads.AddCached(e.ID, cached)
		})
	}
	calls.Wait()
	c.log.WithFields(log.Fields{
		"Targets": len(engines), "Failed": failed.Load(), "Parts": parts.Load(), "TookMs": time.Since(began).Milliseconds(),
	}).Info("CachesRead")
}
