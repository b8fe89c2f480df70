package routing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/common/random"
)

// naiveWalk sorts all usable targets by their distance from the request's ring position.
func naiveWalk(members []*node, req *core.Request, n int) []core.TargetID {
	position := positionOf(req)
	distance := func(m *node) uint64 { return random.Mix(m.hash+position%permutations) - position }
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *node) int {
		if distance(a) < distance(b) {
			return -1
		}
		return 1
	})
	var ids []core.TargetID
	for _, m := range sorted {
		if usable(m.state.Load(), req) && len(ids) < n {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// Guards against a walk that omits, repeats or reorders targets, so that instances would
// disagree on the candidates for a prefix.
func TestWalkEqualsSortingByDistance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 80).Draw(t, "targets")
		members := make([]*node, count)
		for i := range members {
			members[i] = newNode(core.Target{ID: core.TargetID(fmt.Sprint("t", i))}, uint32(i))
			if rapid.IntRange(0, 3).Draw(t, "drained") == 0 {
				members[i].update(func(s *core.TargetState) { s.Drained = true })
			}
		}
		req := &core.Request{
			Organisation: core.Organisation(rapid.StringN(1, 8, -1).Draw(t, "organisation")),
			PrefixBlocks: []uint64{rapid.Uint64().Draw(t, "block")},
		}
		n := rapid.IntRange(1, MaxCandidates).Draw(t, "limit")
		shuffled := rapid.Permutation(members).Draw(t, "order")
		var got []core.TargetID
		for _, state := range newRing(shuffled).walk(req, make([]*core.TargetState, 0, n)) {
			got = append(got, state.ID)
		}
		want := naiveWalk(members, req, n)
		if count <= skipFactor*n && !slices.Equal(got, want) || len(got) > len(want) || !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if len(got) == 0 && len(want) > 0 {
			t.Fatal("no candidate although one is usable")
		}
	})
}

// naiveHits returns the number of leading blocks that are cached.
func naiveHits(cached map[uint64]bool, blocks []uint64) int {
	n := 0
	for n < len(blocks) && cached[blocks[n]] {
		n++
	}
	return n
}

// Guards against a search that misses a length of prefix, and against entries that stay in
// the index after an engine has evicted blocks or was removed.
func TestHitsEqualCountingBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewPrefixIndex(1 << 14)
		states := make([]*core.TargetState, 40)
		cached := make([]map[uint64]bool, len(states))
		sequence := make([]uint64, len(states))
		for i := range states {
			states[i] = &core.TargetState{Index: uint32(i * 3)}
			cached[i] = map[uint64]bool{}
		}
		// Prompts share a prefix and differ after it.
		prompts := make([][]uint64, 4)
		for p := range prompts {
			prefixLength := rapid.IntRange(0, 20).Draw(t, "prefix length")
			for b := range rapid.IntRange(1, 40).Draw(t, "length") {
				block := uint64(b + 1)
				if b >= prefixLength {
					block = uint64(p+1)<<20 | block
				}
				prompts[p] = append(prompts[p], block)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(states)-1).Draw(t, "target")
			blocks := rapid.SampledFrom(prompts).Draw(t, "prompt")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0: // evict the last block, as an engine does
				if n := naiveHits(cached[i], blocks); n > 0 && !isFollowed(blocks[n-1], cached[i], prompts) {
					sequence[i]++
					index.ApplyEvents(states[i].Index, []core.CacheEvent{{Sequence: sequence[i], Block: blocks[n-1], Evicted: true}})
					delete(cached[i], blocks[n-1])
				}
			case 1:
				index.RemoveTarget(states[i].Index)
				cached[i], sequence[i] = map[uint64]bool{}, 0
			default:
				index.Sent(states[i].Index, blocks)
				for _, block := range blocks {
					cached[i][block] = true
				}
			}
		}
		hits := make([]int, len(states))
		for _, blocks := range prompts {
			req := &core.Request{PrefixBlocks: blocks, PromptTokens: len(blocks)*core.PrefixBlockTokens + 10}
			search := search{index: &index.index, blocks: blocks, hits: hits, budget: 1 << 20}
			clear(hits)
			search.slots.fill(states)
			if all := search.readHolders(0); all != 0 {
				search.searchDepths(all, 0, len(blocks))
			}
			exact := slices.Clone(hits)
			index.Hits(req, states, hits)
			for i := range states {
				want := naiveHits(cached[i], blocks)
				if exact[i] != want || hits[i] > want*core.PrefixBlockTokens || (hits[i] == 0) != (want == 0) {
					t.Fatalf("target %d: %d blocks and %d tokens, want %d blocks", i, exact[i], hits[i], want)
				}
			}
		}
	})
}

// isFollowed reports whether the block that follows in one of the prompts is cached.
func isFollowed(block uint64, cached map[uint64]bool, prompts [][]uint64) bool {
	for _, blocks := range prompts {
		if i := slices.Index(blocks, block); i >= 0 && i+1 < len(blocks) && cached[blocks[i+1]] {
			return true
		}
	}
	return false
}

// Guards against entries that stay in the index after many cache events were lost, and
// against an index that exceeds its capacity.
func TestPrefixIndexIsBoundedAndClearedByGaps(t *testing.T) {
	index := NewPrefixIndex(1000)
	for slot := range uint32(50) {
		blocks := make([]uint64, 90)
		for b := range blocks {
			blocks[b] = uint64(slot)<<32 | uint64(b)
		}
		index.Sent(slot, blocks)
	}
	if n := index.Blocks(); n > 1000 || n < 900 {
		t.Errorf("%d blocks in the index, the capacity is 1000", n)
	}
	state := []*core.TargetState{{Index: 49}}
	req := &core.Request{PrefixBlocks: []uint64{49 << 32}, PromptTokens: 100}
	hits := []int{0}
	index.ApplyEvents(49, []core.CacheEvent{{Sequence: 5, Block: 1}, {Sequence: 20, Block: 2}, {Sequence: 20, Block: 49 << 32, Evicted: true}})
	if index.Hits(req, state, hits); hits[0] != core.PrefixBlockTokens {
		t.Error("a short gap or a repeated event removed a block")
	}
	index.ApplyEvents(49, []core.CacheEvent{{Sequence: 60, Block: 3}})
	if index.Hits(req, state, hits); hits[0] != 0 {
		t.Error("blocks survived gaps of 53 events for 92 blocks")
	}
}
