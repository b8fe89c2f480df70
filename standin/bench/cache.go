package bench

import "container/list"

// prefixCache is an LRU cache of computed prompt segments with a capacity in tokens. A
// segment is a shared prefix or the unique rest of one prompt. The rest is never looked
// up again but uses capacity.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	lru            *list.List
	segments       map[uint64]*list.Element
}

type segment struct {
	id     uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacityTokens: capacity, lru: list.New(), segments: map[uint64]*list.Element{}}
}

// lookup returns the size of a segment in tokens, or 0 if it is not cached, and marks it
// as recently used.
func (c *prefixCache) lookup(id uint64) int {
	element, ok := c.segments[id]
	if !ok {
		return 0
	}
	c.lru.MoveToFront(element)
	return element.Value.(segment).tokens
}

// add stores a segment unless it exceeds the capacity, and calls evicted for each segment
// that it removes for it.
func (c *prefixCache) add(id uint64, tokens int, evicted func(id uint64)) {
	if tokens <= 0 || tokens > c.capacityTokens || c.lookup(id) > 0 {
		return
	}
	for c.usedTokens+tokens > c.capacityTokens {
		oldest := c.lru.Back()
		removed := c.lru.Remove(oldest).(segment)
		delete(c.segments, removed.id)
		c.usedTokens -= removed.tokens
		evicted(removed.id)
	}
	c.segments[id] = c.lru.PushFront(segment{id, tokens})
	c.usedTokens += tokens
}

func (c *prefixCache) clear() {
	c.usedTokens = 0
	c.lru.Init()
	clear(c.segments)
}
