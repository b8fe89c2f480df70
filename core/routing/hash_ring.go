package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
)

// permutations is the number of independent orders of a ring's targets. A target has one
// position in each order, so that a walk visits it once. The request's position selects
// the order, so that the load of a failed target is spread over several others.
const permutations = 8

// ring is a consistent-hash ring of the targets of one model or service. It is immutable.
type ring struct {
	orders [permutations]order
}

// order is one circular order of the targets, sorted by position. The position of nodes[i]
// is positions[i].
type order struct {
	positions []uint64
	nodes     []*node
}

func newRing(members []*node) *ring {
	r := &ring{}
	for p := range r.orders {
		r.orders[p] = newOrder(members, uint64(p))
	}
	return r
}

func newOrder(members []*node, permutation uint64) order {
	type entry struct {
		position uint64
		node     *node
	}
	entries := make([]entry, len(members))
	for i, n := range members {
		entries[i] = entry{random.Mix(n.hash + permutation), n}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.position != b.position {
			return cmp.Compare(a.position, b.position)
		}
		return cmp.Compare(a.node.id, b.node.id)
	})
	o := order{positions: make([]uint64, len(entries)), nodes: make([]*node, len(entries))}
	for i, e := range entries {
		o.positions[i], o.nodes[i] = e.position, e.node
	}
	return o
}

// positionOf returns the ring position of a request: a hash of its organisation and first
// prompt block.
func positionOf(req *core.Request) uint64 {
	return random.Mix(xxhash.Sum64String(string(req.Organisation)) ^ random.Mix(req.AffinityKey()))
}

// find returns the index of the first target at or after the given position, or the number
// of targets. Positions are uniformly distributed, so the search starts at the expected
// index. This is faster than a binary search, whose branches are unpredictable.
func (o *order) find(position uint64) int {
	high, _ := bits.Mul64(position, uint64(len(o.positions)))
	i := int(high)
	for i > 0 && o.positions[i-1] >= position {
		i--
	}
	for i < len(o.positions) && o.positions[i] < position {
		i++
	}
	return i
}

// skipFactor limits a walk that has found a usable target to this many visits per requested
// target, so that many drained targets in a fleet don't slow down decisions.
const skipFactor = 4

// walk appends to dst the usable targets that follow the request's position, in ring order,
// up to the capacity of dst.
func (r *ring) walk(req *core.Request, dst []*core.TargetState) []*core.TargetState {
	position := positionOf(req)
	o := &r.orders[position%permutations]
	i := o.find(position)
	before, limit := len(dst), cap(dst)
	for step := range len(o.nodes) {
		if len(dst) == limit || len(dst) > before && step >= skipFactor*(limit-before) {
			break
		}
		if i == len(o.nodes) {
			i = 0
		}
		if state := o.nodes[i].state.Load(); usable(state, req) {
			dst = append(dst, state)
		}
		i++
	}
	return dst
}
