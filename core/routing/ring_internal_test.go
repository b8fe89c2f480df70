package routing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/common/random"
)

// naiveWalk sorts all usable targets by their distance from the request's place.
func naiveWalk(members []*node, req *core.Request, n int) []core.TargetID {
	place := placeOf(req)
	distance := func(m *node) uint64 { return random.Mix(m.hash+place%permutations) - place }
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

// Guards against a walk that leaves out, repeats or reorders targets, so that instances
// would disagree about the candidates of a prefix.
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
		n := rapid.IntRange(1, MaxCandidates).Draw(t, "room")
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

// naiveHits counts the leading blocks that a set contains.
func naiveHits(held map[uint64]bool, blocks []uint64) int {
	n := 0
	for n < len(blocks) && held[blocks[n]] {
		n++
	}
	return n
}

// Guards against a search that skips a length of prefix, and against hints that are left
// behind when an engine evicts blocks or is forgotten.
func TestHitsEqualCountingBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hints := NewPrefixIndex(1 << 14)
		states := make([]*core.TargetState, 40)
		held := make([]map[uint64]bool, len(states))
		sequence := make([]uint64, len(states))
		for i := range states {
			states[i] = &core.TargetState{Index: uint32(i * 3)}
			held[i] = map[uint64]bool{}
		}
		// Prompts share a trunk and differ after it.
		prompts := make([][]uint64, 4)
		for p := range prompts {
			trunk := rapid.IntRange(0, 20).Draw(t, "trunk")
			for b := range rapid.IntRange(1, 40).Draw(t, "length") {
				block := uint64(b + 1)
				if b >= trunk {
					block = uint64(p+1)<<20 | block
				}
				prompts[p] = append(prompts[p], block)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(states)-1).Draw(t, "target")
			blocks := rapid.SampledFrom(prompts).Draw(t, "prompt")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0: // evict from the end, as an engine does
				if n := naiveHits(held[i], blocks); n > 0 && !shared(blocks[n-1], held[i], prompts) {
					sequence[i]++
					hints.ApplyEvents(states[i].Index, []core.CacheEvent{{Sequence: sequence[i], Block: blocks[n-1], Evicted: true}})
					delete(held[i], blocks[n-1])
				}
			case 1:
				hints.RemoveTarget(states[i].Index)
				held[i], sequence[i] = map[uint64]bool{}, 0
			default:
				hints.Sent(states[i].Index, blocks)
				for _, block := range blocks {
					held[i][block] = true
				}
			}
		}
		hits := make([]int, len(states))
		for _, blocks := range prompts {
			req := &core.Request{PrefixBlocks: blocks, PromptTokens: len(blocks)*core.PrefixBlockTokens + 10}
			search := search{index: &hints.index, blocks: blocks, hits: hits, budget: 1 << 20}
			clear(hits)
			search.seats.fill(states)
			if all := search.probe(0); all != 0 {
				search.depths(all, 0, len(blocks))
			}
			exact := slices.Clone(hits)
			hints.Hits(req, states, hits)
			for i := range states {
				want := naiveHits(held[i], blocks)
				if exact[i] != want || hits[i] > want*core.PrefixBlockTokens || (hits[i] == 0) != (want == 0) {
					t.Fatalf("target %d: %d blocks and %d tokens, want %d blocks", i, exact[i], hits[i], want)
				}
			}
		}
	})
}

// shared reports whether a deeper block of another prompt in the set follows the block.
func shared(block uint64, held map[uint64]bool, prompts [][]uint64) bool {
	for _, blocks := range prompts {
		if at := slices.Index(blocks, block); at >= 0 && at+1 < len(blocks) && held[blocks[at+1]] {
			return true
		}
	}
	return false
}

// Guards against hints that outlive many lost events, and against unbounded memory.
func TestHintsAreBoundedAndForgetAfterGaps(t *testing.T) {
	hints := NewPrefixIndex(1000)
	for slot := range uint32(50) {
		blocks := make([]uint64, 90)
		for b := range blocks {
			blocks[b] = uint64(slot)<<32 | uint64(b)
		}
		hints.Sent(slot, blocks)
	}
	if n := hints.Blocks(); n > 1000 || n < 900 {
		t.Errorf("%d blocks are remembered, the bound is 1000", n)
	}
	state := []*core.TargetState{{Index: 49}}
	req := &core.Request{PrefixBlocks: []uint64{49 << 32}, PromptTokens: 100}
	hits := []int{0}
	hints.ApplyEvents(49, []core.CacheEvent{{Sequence: 5, Block: 1}, {Sequence: 20, Block: 2}, {Sequence: 20, Block: 49 << 32, Evicted: true}})
	if hints.Hits(req, state, hits); hits[0] != core.PrefixBlockTokens {
		t.Error("a short gap or a repeated event removed a hint")
	}
	hints.ApplyEvents(49, []core.CacheEvent{{Sequence: 60, Block: 3}})
	if hints.Hits(req, state, hits); hits[0] != 0 {
		t.Error("hints survived a gap of 53 events for 92 blocks")
	}
}
