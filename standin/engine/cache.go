package engine

import (
	"container/list"
	"time"

	"gorseline/core"
)

// maxCacheEvents bounds the events kept for readers; older ones are a gap.
const maxCacheEvents = 4096

// prefixCache is a least-recently-used set of prompt blocks with its events.
type prefixCache struct {
	limit    int
	order    *list.List // of uint64, most recent first
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	core.CacheEvent
	at time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// add caches blocks and evicts the least recently used ones over the limit.
func (c *prefixCache) add(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.emit(now, block, false)
		if c.order.Len() > c.limit {
			last := c.order.Back()
			evicted := c.order.Remove(last).(uint64)
			delete(c.blocks, evicted)
			c.emit(now, evicted, true)
		}
	}
}

func (c *prefixCache) emit(now time.Time, block uint64, evicted bool) {
	c.sequence++
	event := core.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted}
	c.events = append(c.events, timedEvent{event, now})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// clear drops everything, as a crash or a model load does. No events tell of it.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
	c.events = nil
}

// since returns the events after a sequence number that happened before limit,
// without every gap-th event.
func (c *prefixCache) since(after uint64, limit time.Time, gap uint64) []core.CacheEvent {
	events := []core.CacheEvent{}
	for _, event := range c.events {
		if event.at.After(limit) {
			break
		}
		if event.Sequence <= after || gap > 0 && event.Sequence%gap == 0 {
			continue
		}
		events = append(events, event.CacheEvent)
	}
	return events
}
