package routing

import (
	"math/bits"
	"slices"
	"sync"

	"gorseline/core"
)

const (
	// indexShards is the number of locks of the block index; more locks mean less contention
	// between processor cores.
	indexShards = 64
	// maxListedHolders is the size up to which a slot set is a list. Larger sets, such as
	// those of blocks that most of the fleet holds, are bitmaps.
	maxListedHolders = 16
)

// blockIndex maps a block to the slots of its holders, the targets that have it in their
// caches. The slot of a target is its core.TargetState.Index.
type blockIndex struct {
	shards [indexShards]indexShard
}

type indexShard struct {
	mutex   sync.RWMutex
	holders map[uint64]slotSet
	_       [24]byte // avoids false sharing between the locks of two shards
}

// slotSet is a set of slots, stored either as a list or as a bitmap.
type slotSet struct {
	list   []uint32
	bitmap []uint64
}

func (x *blockIndex) init() {
	for i := range x.shards {
		x.shards[i].holders = make(map[uint64]slotSet)
	}
}

func (x *blockIndex) shard(block uint64) *indexShard { return &x.shards[block%indexShards] }

func (x *blockIndex) add(block uint64, slot uint32) {
	shard := x.shard(block)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	set := shard.holders[block]
	switch {
	case set.bitmap != nil:
		set.bitmap = setBit(set.bitmap, slot)
	case len(set.list) < maxListedHolders:
		set.list = append(set.list, slot)
	default:
		for _, s := range set.list {
			set.bitmap = setBit(set.bitmap, s)
		}
		set.bitmap, set.list = setBit(set.bitmap, slot), nil
	}
	shard.holders[block] = set
}

func (x *blockIndex) remove(block uint64, slot uint32) {
	shard := x.shard(block)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	set := shard.holders[block]
	empty := true
	if set.bitmap != nil {
		set.bitmap[slot/64] &^= 1 << (slot % 64)
		empty = !slices.ContainsFunc(set.bitmap, func(word uint64) bool { return word != 0 })
	} else if i := slices.Index(set.list, slot); i >= 0 {
		last := len(set.list) - 1
		set.list[i] = set.list[last]
		set.list = set.list[:last]
		empty = last == 0
	}
	if empty {
		delete(shard.holders, block)
		return
	}
	shard.holders[block] = set
}

// setBit sets the bit of a slot. It extends the bitmap as needed.
func setBit(words []uint64, slot uint32) []uint64 {
	if missing := int(slot/64) + 1 - len(words); missing > 0 {
		words = append(words, make([]uint64, missing)...)
	}
	words[slot/64] |= 1 << (slot % 64)
	return words
}

// holders returns which of the candidates hold the block, as a bit mask of their indices.
func (x *blockIndex) holders(block uint64, candidates *slotTable) uint64 {
	shard := x.shard(block)
	shard.mutex.RLock()
	set := shard.holders[block]
	mask := set.intersect(candidates)
	shard.mutex.RUnlock()
	return mask
}

// intersect returns which of the candidates are in the set, as a bit mask of their indices.
func (set *slotSet) intersect(candidates *slotTable) uint64 {
	var mask uint64
	for _, slot := range set.list {
		mask |= candidates.find(slot)
	}
	if set.bitmap == nil {
		return mask
	}
	for i, slot := range candidates.slots[:candidates.count] {
		if word := int(slot / 64); word < len(set.bitmap) && set.bitmap[word]>>(slot%64)&1 != 0 {
			mask |= 1 << i
		}
	}
	return mask
}

// slotTableSize is a power of two and limits the table's load factor to a quarter.
const slotTableSize = 4 * MaxCandidates

// slotTable maps the slots of candidates to their indices. It is a hash table with open
// addressing.
type slotTable struct {
	slots [MaxCandidates]uint32
	count int
	// buckets hold indices plus one; 0 marks a free bucket.
	buckets [slotTableSize]uint8
}

func (s *slotTable) fill(candidates []*core.TargetState) {
	s.count = len(candidates)
	for i, state := range candidates {
		s.slots[i] = state.Index
		bucket := state.Index % slotTableSize
		for s.buckets[bucket] != 0 {
			bucket = (bucket + 1) % slotTableSize
		}
		s.buckets[bucket] = uint8(i + 1)
	}
}

// find returns the bit mask of the candidate with the given slot, or 0.
func (s *slotTable) find(slot uint32) uint64 {
	for bucket := slot % slotTableSize; s.buckets[bucket] != 0; bucket = (bucket + 1) % slotTableSize {
		if i := s.buckets[bucket] - 1; s.slots[i] == slot {
			return 1 << i
		}
	}
	return 0
}

// setAll sets the hits of the members, a bit mask of indices, to the value.
func setAll(hits []int, members uint64, value int) {
	for ; members != 0; members &= members - 1 {
		hits[bits.TrailingZeros64(members)] = value
	}
}
