package scaling

import (
	"cmp"
	"slices"

	"gorseline/core"
)

// needs are the numbers of servers that a mix must provide in all data centres together.
type needs struct {
	// regular is the least number of regular servers.
	regular int
	// work is the least number of servers of both kinds, and afterLoss the number that must
	// remain after the loss of the reclaimable servers of any one data centre. Regular
	// servers are ordered for these if there are no reclaimable ones.
	work, afterLoss int
	// capacity and spareAfterLoss are the same with headroom for bursts, which is provided
	// by reclaimable servers only.
	capacity, spareAfterLoss int
}

// offer is what can be ordered in one data centre.
type offer struct {
	dataCentre core.DataCentre
	price      float64
	// maxRegular and maxReclaimable bound the servers of each kind, as they are paused.
	maxRegular, maxReclaimable int
	regular, reclaimable       int
	// presentRegular is the number of regular servers that are there already. They are kept
	// before others are ordered elsewhere.
	presentRegular int
}

// hasSpareRegular reports whether more regular servers are there than the mix uses so far.
func (o *offer) hasSpareRegular() bool {
	return o.regular < o.presentRegular
}

// mix finds the cheapest numbers of servers that satisfy the needs.
type mix struct {
	offers           []offer
	min, max         int
	reclaimablePrice float64
}

// solve sets the numbers of all offers.
func (m *mix) solve(n needs) {
	for range n.regular {
		m.addRegular(compareRegular)
	}
	for i := range m.offers {
		m.fillToMin(&m.offers[i])
	}
	for m.afterLoss() < n.spareAfterLoss && m.addReclaimable(true) {
	}
	for m.afterLoss() < n.afterLoss && m.addRegular(comparePrice) {
	}
	for m.total() < n.capacity && m.addReclaimable(false) {
	}
	for m.total() < n.work && m.addRegular(comparePrice) {
	}
	for m.afterLoss() < n.afterLoss && m.replaceReclaimable() {
	}
}

// fillToMin orders at least the least number in a data centre.
func (m *mix) fillToMin(o *offer) {
	for o.regular+o.reclaimable < m.min {
		switch {
		case o.reclaimable < o.maxReclaimable:
			o.reclaimable++
		case o.regular < o.maxRegular:
			o.regular++
		default:
			return
		}
	}
}

// addReclaimable adds a reclaimable server in the data centre with the fewest, optionally only if
// it helps after the loss of a data centre. It returns false if there is none.
func (m *mix) addReclaimable(mustHelp bool) bool {
	o, open := m.nextReclaimable()
	if o == nil {
		return false
	}
	// A further server in the only data centre that has any doesn't remain after its loss.
	if mustHelp && open < 2 && o.reclaimable >= m.maxReclaimable() {
		return false
	}
	o.reclaimable++
	return true
}

// nextReclaimable returns the data centre with the fewest reclaimable servers that has room for
// more, the cheapest of several, and the number of those with room; nil without any.
func (m *mix) nextReclaimable() (next *offer, open int) {
	for i := range m.offers {
		o := &m.offers[i]
		if o.reclaimable >= o.maxReclaimable || o.regular+o.reclaimable >= m.max || !m.isCheaper(o) {
			continue
		}
		open++
		if next == nil || o.reclaimable < next.reclaimable || o.reclaimable == next.reclaimable && o.price < next.price {
			next = o
		}
	}
	return next, open
}

// isCheaper reports whether a reclaimable server costs less there than a regular one anywhere.
func (m *mix) isCheaper(o *offer) bool {
	for i := range m.offers {
		other := &m.offers[i]
		hasRoom := other.regular < other.maxRegular && other.regular+other.reclaimable < m.max
		if hasRoom && other.price <= o.price*m.reclaimablePrice {
			return false
		}
	}
	return true
}

// compareRegular orders data centres by their regular servers, the fewest first.
func compareRegular(a, b *offer) int {
	return cmp.Or(cmp.Compare(a.regular, b.regular), cmp.Compare(a.price, b.price))
}

// comparePrice orders data centres by price.
func comparePrice(a, b *offer) int {
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.regular, b.regular))
}

// addRegular adds a regular server in the first data centre by the given order, of those that
// have present ones to spare if there are any. It returns false if there is no room.
func (m *mix) addRegular(compare func(a, b *offer) int) bool {
	var next *offer
	for i := range m.offers {
		o := &m.offers[i]
		if o.regular >= o.maxRegular || o.regular+o.reclaimable >= m.max {
			continue
		}
		isBefore := next == nil || compare(o, next) < 0
		if next != nil && o.hasSpareRegular() != next.hasSpareRegular() {
			isBefore = o.hasSpareRegular()
		}
		if isBefore {
			next = o
		}
	}
	if next == nil {
		return false
	}
	next.regular++
	return true
}

// replaceReclaimable replaces a reclaimable server by a regular one in the data centre with
// the most reclaimable servers. It returns false if none can be replaced.
func (m *mix) replaceReclaimable() bool {
	most := m.maxReclaimable()
	i := slices.IndexFunc(m.offers, func(o offer) bool {
		return o.reclaimable == most && o.reclaimable > 0 && o.regular < o.maxRegular
	})
	if i < 0 {
		return false
	}
	m.offers[i].reclaimable--
	m.offers[i].regular++
	return true
}

func (m *mix) total() int {
	n := 0
	for _, o := range m.offers {
		n += o.regular + o.reclaimable
	}
	return n
}

func (m *mix) maxReclaimable() int {
	most := 0
	for _, o := range m.offers {
		most = max(most, o.reclaimable)
	}
	return most
}

func (m *mix) afterLoss() int {
	return m.total() - m.maxReclaimable()
}
