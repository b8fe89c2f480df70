package engine

import (
	"container/list"
	"time"

	"gorseline/core"
)

// maxCacheEvents bounds the retained events. Readers that are further behind see a
// gap in the sequence numbers.
const maxCacheEvents = 4096

// prefixCache is an LRU set of prompt blocks and the log of its insertions and
// evictions.
type prefixCache struct {
	limit    int        // in blocks
	recency  *list.List // of uint64, most recent first
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	core.CacheEvent
	at time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// add caches blocks and evicts the least recently used blocks above the limit.
func (c *prefixCache) add(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		c.recordEvent(now, block, false)
		if c.recency.Len() > c.limit {
			last := c.recency.Back()
			evicted := c.recency.Remove(last).(uint64)
			delete(c.blocks, evicted)
			c.recordEvent(now, evicted, true)
		}
	}
}

func (c *prefixCache) recordEvent(now time.Time, block uint64, evicted bool) {
	c.sequence++
	event := core.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted}
	c.events = append(c.events, timedEvent{event, now})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// clear drops all blocks and events, as a crash or a model load does, and records no
// evictions. Sequence numbers continue.
func (c *prefixCache) clear() {
	c.recency.Init()
	clear(c.blocks)
	c.events = nil
}

// eventsAfter returns the events with a sequence number above after that happened up
// to until. With dropEvery n > 0 it omits every n-th event.
func (c *prefixCache) eventsAfter(after uint64, until time.Time, dropEvery uint64) []core.CacheEvent {
	events := []core.CacheEvent{}
	for _, event := range c.events {
		if event.at.After(until) {
			break
		}
		if event.Sequence <= after || dropEvery > 0 && event.Sequence%dropEvery == 0 {
			continue
		}
		events = append(events, event.CacheEvent)
	}
	return events
}
