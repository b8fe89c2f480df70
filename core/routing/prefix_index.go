package routing

import (
	"container/list"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gorseline/core"
)

// DefaultIndexBlocks is the default capacity of an index. At about 200 bytes per block the
// index takes up to 13 MB of the 64 MB that an instance may use.
const DefaultIndexBlocks = 1 << 16

// readBudget is the maximum number of index reads per lookup. A prompt of 512 blocks needs
// 9 reads per distinct length of the prefixes that its candidates hold.
const readBudget = 40

// PrefixIndex records which targets hold which prompt blocks in their caches. Its sources
// are the requests that were sent and the cache events of the engines. An entry may be
// missing or out of date, which costs time but doesn't affect correctness. Targets are
// identified by their slots. It is safe for concurrent use.
type PrefixIndex struct {
	index blockIndex

	mutex   sync.Mutex
	targets map[uint32]*targetBlocks
	// lru lists the targets, the least recently updated one first.
	lru *list.List
	// blocks is the total number of blocks of all targets, at most capacity.
	blocks   int
	capacity int
}

// targetBlocks records the blocks that one target is expected to hold.
type targetBlocks struct {
	slot   uint32
	blocks *simplelru.LRU[uint64, struct{}]
	// element is the target's place in PrefixIndex.lru.
	element *list.Element
	// sequence is the sequence number of the last event, or 0.
	sequence uint64
	// missedEvents counts the events lost in sequence gaps since the blocks were last cleared
	// because of such losses.
	missedEvents uint64
}

// NewPrefixIndex returns an empty index with a capacity in blocks; 0 means
// DefaultIndexBlocks.
func NewPrefixIndex(blocks int) *PrefixIndex {
	if blocks <= 0 {
		blocks = DefaultIndexBlocks
	}
	x := &PrefixIndex{targets: map[uint32]*targetBlocks{}, lru: list.New(), capacity: blocks}
	x.index.init()
	return x
}

// Sent records that the target is computing a prompt with these blocks.
func (x *PrefixIndex) Sent(slot uint32, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	target := x.touch(slot)
	// The first blocks of a prompt are shared most. They are added last so that they are
	// evicted last.
	for i := len(blocks) - 1; i >= 0; i-- {
		x.add(target, blocks[i])
	}
	x.trim()
}

// ApplyEvents applies cache events, which must be in sequence order. It ignores repeated
// events. When the events lost in sequence gaps exceed a quarter of the target's known
// blocks, it removes these blocks.
func (x *PrefixIndex) ApplyEvents(slot uint32, events []core.CacheEvent) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	target := x.touch(slot)
	for _, event := range events {
		if event.Sequence <= target.sequence {
			continue
		}
		if target.sequence > 0 {
			target.missedEvents += event.Sequence - target.sequence - 1
		}
		target.sequence = event.Sequence
		if target.missedEvents > uint64(target.blocks.Len()/4) {
			x.removeAll(target)
			target.missedEvents = 0
		}
		if event.Evicted {
			x.remove(target, event.Block)
		} else {
			x.add(target, event.Block)
		}
	}
	x.trim()
}

// RemoveTarget removes the target's blocks and resets its event sequence.
func (x *PrefixIndex) RemoveTarget(slot uint32) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if target, ok := x.targets[slot]; ok {
		x.removeAll(target)
		x.lru.Remove(target.element)
		delete(x.targets, slot)
	}
}

// Blocks returns the number of blocks in the index, counted once per target.
func (x *PrefixIndex) Blocks() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.blocks
}

// touch returns the entry of a target and marks it as the most recently updated one.
func (x *PrefixIndex) touch(slot uint32) *targetBlocks {
	target, ok := x.targets[slot]
	if !ok {
		// Each target's list may grow to the capacity of the index; trim bounds their sum.
		blocks, err := simplelru.NewLRU[uint64, struct{}](x.capacity, nil)
		if err != nil {
			panic(err) // unreachable: the capacity is positive
		}
		target = &targetBlocks{slot: slot, blocks: blocks}
		target.element = x.lru.PushBack(target)
		x.targets[slot] = target
		return target
	}
	x.lru.MoveToBack(target.element)
	return target
}

func (x *PrefixIndex) add(target *targetBlocks, block uint64) {
	if _, known := target.blocks.Get(block); known {
		return
	}
	if target.blocks.Len() == x.capacity {
		x.removeOldest(target)
	}
	target.blocks.Add(block, struct{}{})
	x.blocks++
	x.index.add(block, target.slot)
}

func (x *PrefixIndex) remove(target *targetBlocks, block uint64) {
	if target.blocks.Remove(block) {
		x.blocks--
		x.index.remove(block, target.slot)
	}
}

func (x *PrefixIndex) removeOldest(target *targetBlocks) bool {
	block, _, ok := target.blocks.RemoveOldest()
	if ok {
		x.blocks--
		x.index.remove(block, target.slot)
	}
	return ok
}

func (x *PrefixIndex) removeAll(target *targetBlocks) {
	for x.removeOldest(target) {
		continue
	}
}

// trim reduces the index to its capacity. It evicts the least recently used blocks of the
// least recently updated target.
func (x *PrefixIndex) trim() {
	for x.blocks > x.capacity {
		target := x.lru.Front().Value.(*targetBlocks)
		if x.removeOldest(target) {
			continue
		}
		x.lru.MoveToBack(target.element)
	}
}

// Hits sets hits[i] to the expected number of leading prompt tokens that candidates[i] has
// cached. It considers the first MaxCandidates candidates only.
func (x *PrefixIndex) Hits(req *core.Request, candidates []*core.TargetState, hits []int) {
	clear(hits)
	blocks := req.PrefixBlocks
	if len(blocks) == 0 || len(candidates) == 0 {
		return
	}
	search := search{index: &x.index, blocks: blocks, hits: hits, budget: readBudget}
	search.slots.fill(candidates[:min(len(candidates), MaxCandidates)])
	if all := search.readHolders(0); all != 0 {
		search.searchDepths(all, 0, len(blocks))
	}
	for i := range hits {
		hits[i] = min(hits[i]*core.PrefixBlockTokens, req.PromptTokens)
	}
}

// search finds the number of leading blocks that each candidate holds. Sets of candidates
// are bit masks of their indices.
type search struct {
	index  *blockIndex
	blocks []uint64
	hits   []int
	budget int // remaining index reads
	slots  slotTable
}

// readHolders returns the candidates that hold the block with the given index.
func (s *search) readHolders(block int) uint64 {
	s.budget--
	return s.index.holders(s.blocks[block], &s.slots)
}

// searchDepths sets the hits of the members by binary search. All members hold the block at
// index low and none holds the block at index high. It assumes that a target that holds a
// block also holds all blocks before it. When the budget is exhausted, it sets the lower
// bound.
func (s *search) searchDepths(members uint64, low, high int) {
	for members != 0 && high-low > 1 && s.budget > 0 {
		middle := (low + high) / 2
		deeper := s.readHolders(middle) & members
		s.searchDepths(members&^deeper, low, middle)
		members, low = deeper, middle
	}
	setAll(s.hits, members, low+1)
}
