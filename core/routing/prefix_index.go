package routing

import (
	"container/list"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gorseline/core"
)

// DefaultIndexBlocks bounds the remembered blocks of an instance. At about 200 bytes per
// block it keeps the hints within 13 MB of the 64 MB that an instance may use.
const DefaultIndexBlocks = 1 << 16

// probeBudget bounds the index reads of one lookup. A prompt of 512 blocks needs 9 reads
// per distinct length of prefix that its candidates hold.
const probeBudget = 40

// PrefixIndex remembers which target holds which prompt block. It is fed by what was sent and
// by the engines' cache events, and may be wrong in both directions: a wrong hint costs
// time, never correctness. Targets are named by their slots.
type PrefixIndex struct {
	index blockIndex

	mutex    sync.Mutex
	holdings map[uint32]*holding
	// order lists the holdings, the least recently fed one first.
	order    *list.List
	blocks   int
	capacity int
}

// holding is what one target is believed to hold.
type holding struct {
	slot     uint32
	blocks   *simplelru.LRU[uint64, struct{}]
	element  *list.Element
	sequence uint64
	// missed counts the events lost in gaps since the hints were last certain.
	missed uint64
}

// NewPrefixIndex returns an empty index bounded to the given number of blocks.
func NewPrefixIndex(blocks int) *PrefixIndex {
	if blocks <= 0 {
		blocks = DefaultIndexBlocks
	}
	h := &PrefixIndex{holdings: map[uint32]*holding{}, order: list.New(), capacity: blocks}
	h.index.init()
	return h
}

// Sent notes that the target is computing a prompt with these blocks.
func (h *PrefixIndex) Sent(slot uint32, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := h.touch(slot)
	// The last block is added first: the beginning of a prompt is shared most and is
	// then forgotten last.
	for i := len(blocks) - 1; i >= 0; i-- {
		h.add(held, blocks[i])
	}
	h.trim()
}

// ApplyEvents takes over cache events in the order of their sequence. Repeated events are
// ignored. Once a quarter of what is known may have changed in gaps, it is forgotten.
func (h *PrefixIndex) ApplyEvents(slot uint32, events []core.CacheEvent) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := h.touch(slot)
	for _, event := range events {
		if event.Sequence <= held.sequence {
			continue
		}
		if held.sequence > 0 {
			held.missed += event.Sequence - held.sequence - 1
		}
		held.sequence = event.Sequence
		if held.missed > uint64(held.blocks.Len()/4) {
			h.drop(held)
			held.missed = 0
		}
		if event.Evicted {
			h.remove(held, event.Block)
		} else {
			h.add(held, event.Block)
		}
	}
	h.trim()
}

// RemoveTarget drops everything known about the target, its event sequence included.
func (h *PrefixIndex) RemoveTarget(slot uint32) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held, ok := h.holdings[slot]; ok {
		h.drop(held)
		h.order.Remove(held.element)
		delete(h.holdings, slot)
	}
}

// Blocks returns the number of remembered blocks.
func (h *PrefixIndex) Blocks() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.blocks
}

func (h *PrefixIndex) touch(slot uint32) *holding {
	held, ok := h.holdings[slot]
	if !ok {
		// The size is the bound of the whole index; trim keeps the sum below it.
		blocks, err := simplelru.NewLRU[uint64, struct{}](h.capacity, nil)
		if err != nil {
			panic(err) // the capacity is positive
		}
		held = &holding{slot: slot, blocks: blocks}
		held.element = h.order.PushBack(held)
		h.holdings[slot] = held
		return held
	}
	h.order.MoveToBack(held.element)
	return held
}

func (h *PrefixIndex) add(held *holding, block uint64) {
	if _, known := held.blocks.Get(block); known {
		return
	}
	if held.blocks.Len() == h.capacity {
		h.removeOldest(held)
	}
	held.blocks.Add(block, struct{}{})
	h.blocks++
	h.index.add(block, held.slot)
}

func (h *PrefixIndex) remove(held *holding, block uint64) {
	if held.blocks.Remove(block) {
		h.blocks--
		h.index.remove(block, held.slot)
	}
}

func (h *PrefixIndex) removeOldest(held *holding) bool {
	block, _, ok := held.blocks.RemoveOldest()
	if ok {
		h.blocks--
		h.index.remove(block, held.slot)
	}
	return ok
}

func (h *PrefixIndex) drop(held *holding) {
	for h.removeOldest(held) {
		continue
	}
}

// trim keeps the index within its bound. It drops the oldest blocks of the target that
// was fed least recently.
func (h *PrefixIndex) trim() {
	for h.blocks > h.capacity {
		held := h.order.Front().Value.(*holding)
		if h.removeOldest(held) {
			continue
		}
		h.order.MoveToBack(held.element)
	}
}

// Hits sets hits[i] to the number of prompt tokens that candidates[i] is believed to
// hold. At most DefaultSubset candidates are looked at.
func (h *PrefixIndex) Hits(req *core.Request, candidates []*core.TargetState, hits []int) {
	clear(hits)
	blocks := req.PrefixBlocks
	if len(blocks) == 0 || len(candidates) == 0 {
		return
	}
	search := search{index: &h.index, blocks: blocks, hits: hits, budget: probeBudget}
	search.seats.fill(candidates[:min(len(candidates), MaxCandidates)])
	if all := search.probe(0); all != 0 {
		search.depths(all, 0, len(blocks))
	}
	for i := range hits {
		hits[i] = min(hits[i]*core.PrefixBlockTokens, req.PromptTokens)
	}
}

// search finds how many leading blocks each candidate holds. Sets of candidates are bit
// masks.
type search struct {
	index  *blockIndex
	blocks []uint64
	hits   []int
	budget int
	seats  seats
}

func (s *search) probe(block int) uint64 {
	s.budget--
	return s.index.holders(s.blocks[block], &s.seats)
}

// depths sets the hits of the members, all of which hold the block low and none of which
// holds the block high. It assumes that a target that holds a block holds those before
// it. When the budget is used up, the known lower bound stands.
func (s *search) depths(members uint64, low, high int) {
	for members != 0 && high-low > 1 && s.budget > 0 {
		middle := (low + high) / 2
		deeper := s.probe(middle) & members
		s.depths(members&^deeper, low, middle)
		members, low = deeper, middle
	}
	setAll(s.hits, members, low+1)
}
