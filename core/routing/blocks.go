package routing

import (
	"math/bits"
	"slices"
	"sync"

	"gorseline/core"
)

const (
	// indexShards spreads the locks of the block index over the processor cores.
	indexShards = 64
	// fewHolders is the number of holders up to which a block lists them. Blocks that
	// most of a fleet holds use a bit per slot.
	fewHolders = 16
)

// blockIndex maps a block to the slots of the targets that hold it.
type blockIndex struct {
	shards [indexShards]indexShard
}

type indexShard struct {
	mutex  sync.RWMutex
	blocks map[uint64]holders
	_      [24]byte // keeps the locks of two shards off one cache line
}

// holders is a set of slots: few lists them until there are too many, then many holds a
// bit per slot.
type holders struct {
	few  []uint32
	many []uint64
}

func (x *blockIndex) init() {
	for i := range x.shards {
		x.shards[i].blocks = make(map[uint64]holders)
	}
}

func (x *blockIndex) shard(block uint64) *indexShard { return &x.shards[block%indexShards] }

func (x *blockIndex) add(block uint64, slot uint32) {
	shard := x.shard(block)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	set := shard.blocks[block]
	switch {
	case set.many != nil:
		set.many = setBit(set.many, slot)
	case len(set.few) < fewHolders:
		set.few = append(set.few, slot)
	default:
		for _, s := range set.few {
			set.many = setBit(set.many, s)
		}
		set.many, set.few = setBit(set.many, slot), nil
	}
	shard.blocks[block] = set
}

func (x *blockIndex) remove(block uint64, slot uint32) {
	shard := x.shard(block)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	set := shard.blocks[block]
	empty := true
	if set.many != nil {
		set.many[slot/64] &^= 1 << (slot % 64)
		empty = !slices.ContainsFunc(set.many, func(word uint64) bool { return word != 0 })
	} else if i := slices.Index(set.few, slot); i >= 0 {
		last := len(set.few) - 1
		set.few[i] = set.few[last]
		set.few = set.few[:last]
		empty = last == 0
	}
	if empty {
		delete(shard.blocks, block)
		return
	}
	shard.blocks[block] = set
}

func setBit(words []uint64, slot uint32) []uint64 {
	if missing := int(slot/64) + 1 - len(words); missing > 0 {
		words = append(words, make([]uint64, missing)...)
	}
	words[slot/64] |= 1 << (slot % 64)
	return words
}

// holders returns which of the seated candidates hold the block, as a bit mask.
func (x *blockIndex) holders(block uint64, seated *seats) uint64 {
	shard := x.shard(block)
	shard.mutex.RLock()
	set := shard.blocks[block]
	mask := set.among(seated)
	shard.mutex.RUnlock()
	return mask
}

func (h *holders) among(seated *seats) uint64 {
	var mask uint64
	for _, slot := range h.few {
		mask |= seated.find(slot)
	}
	if h.many == nil {
		return mask
	}
	for i, slot := range seated.slots[:seated.count] {
		if word := int(slot / 64); word < len(h.many) && h.many[word]>>(slot%64)&1 != 0 {
			mask |= 1 << i
		}
	}
	return mask
}

// seatRows is a power of two that keeps the table of 64 candidates a quarter full.
const seatRows = 4 * MaxCandidates

// seats finds the position of a candidate from its slot, by open addressing.
type seats struct {
	slots [MaxCandidates]uint32
	count int
	// rows hold positions plus one; 0 is free.
	rows [seatRows]uint8
}

func (s *seats) fill(candidates []*core.TargetState) {
	s.count = len(candidates)
	for i, state := range candidates {
		s.slots[i] = state.Index
		row := state.Index % seatRows
		for s.rows[row] != 0 {
			row = (row + 1) % seatRows
		}
		s.rows[row] = uint8(i + 1)
	}
}

// find returns the mask of the candidate with the given slot, or 0.
func (s *seats) find(slot uint32) uint64 {
	for row := slot % seatRows; s.rows[row] != 0; row = (row + 1) % seatRows {
		if i := s.rows[row] - 1; s.slots[i] == slot {
			return 1 << i
		}
	}
	return 0
}

func setAll(hits []int, members uint64, value int) {
	for ; members != 0; members &= members - 1 {
		hits[bits.TrailingZeros64(members)] = value
	}
}
