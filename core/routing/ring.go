package routing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
)

// permutations is the number of independent orders of a ring's targets. Every target has
// one place in each, so that a walk meets it once, and the key chooses the order, so that
// the load of a lost target falls to several others.
const permutations = 8

// ring orders the targets of one model or service. It is immutable.
type ring struct {
	orders [permutations]order
}

// order is one circle of targets, sorted by the place that their hash gives them.
type order struct {
	places []uint64
	nodes  []*node
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
		place uint64
		node  *node
	}
	entries := make([]entry, len(members))
	for i, n := range members {
		entries[i] = entry{random.Mix(n.hash + permutation), n}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.place != b.place {
			return cmp.Compare(a.place, b.place)
		}
		return cmp.Compare(a.node.id, b.node.id)
	})
	o := order{places: make([]uint64, len(entries)), nodes: make([]*node, len(entries))}
	for i, e := range entries {
		o.places[i], o.nodes[i] = e.place, e.node
	}
	return o
}

// placeOf returns the hash of the organisation and first prompt block.
func placeOf(req *core.Request) uint64 {
	return random.Mix(xxhash.Sum64String(string(req.Organisation)) ^ random.Mix(req.AffinityKey()))
}

// find returns the first position whose place is not below the given one. Places are
// evenly spread, so it starts where the place would be on average; this takes less time
// than a binary search, whose branches can't be predicted.
func (o *order) find(place uint64) int {
	high, _ := bits.Mul64(place, uint64(len(o.places)))
	at := int(high)
	for at > 0 && o.places[at-1] >= place {
		at--
	}
	for at < len(o.places) && o.places[at] < place {
		at++
	}
	return at
}

// skipFactor bounds a walk to this many targets per place in the result, once one usable
// target was found, so that a fleet with many drained targets doesn't slow decisions.
const skipFactor = 4

// walk appends the usable targets that follow the request's place, in order, while the
// slice has room.
func (r *ring) walk(req *core.Request, into []*core.TargetState) []*core.TargetState {
	place := placeOf(req)
	o := &r.orders[place%permutations]
	at := o.find(place)
	before, room := len(into), cap(into)
	for step := range len(o.nodes) {
		if len(into) == room || len(into) > before && step >= skipFactor*(room-before) {
			break
		}
		if at == len(o.nodes) {
			at = 0
		}
		if state := o.nodes[at].state.Load(); usable(state, req) {
			into = append(into, state)
		}
		at++
	}
	return into
}
