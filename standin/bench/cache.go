package bench

import "container/list"

// prefixCache holds computed prompt segments in limited memory and gives up the
// least recently used ones first. A segment is a shared prefix or the rest of one
// prompt; the latter is never asked for again but takes up memory.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List
	segments map[uint64]*list.Element
}

type segment struct {
	id     uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), segments: map[uint64]*list.Element{}}
}

// tokens returns the size of a segment if it is held, and marks it as used.
func (c *prefixCache) tokens(id uint64) int {
	held, found := c.segments[id]
	if !found {
		return 0
	}
	c.order.MoveToFront(held)
	return held.Value.(segment).tokens
}

// add stores a segment and calls evicted for each one that gave way.
func (c *prefixCache) add(id uint64, tokens int, evicted func(id uint64)) {
	if tokens <= 0 || tokens > c.capacity || c.tokens(id) > 0 {
		return
	}
	for c.used+tokens > c.capacity {
		oldest := c.order.Back()
		gone := c.order.Remove(oldest).(segment)
		delete(c.segments, gone.id)
		c.used -= gone.tokens
		evicted(gone.id)
	}
	c.segments[id] = c.order.PushFront(segment{id, tokens})
	c.used += tokens
}

func (c *prefixCache) clear() {
	c.used = 0
	c.order.Init()
	clear(c.segments)
}
