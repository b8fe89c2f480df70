package load

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// FleetWideLimit is the number of instances up to which all share all loads. Digests cost each
// instance a datagram per peer and a few milliseconds, so that larger fleets share loads
// within cells: the instances of a data centre and the targets next to them.
const FleetWideLimit = 24

// Cells says which instances share the load of which targets. It is immutable.
type Cells struct {
	// Home is the own data centre.
	Home core.DataCentre
	// IsFleetWide means that all instances share all loads.
	IsFleetWide bool
	// populated are the data centres with instances, in order.
	populated []core.DataCentre
}

// NewCells returns the cells of a fleet with the given number of instances per data
// centre.
func NewCells(home core.DataCentre, instances map[core.DataCentre]int) *Cells {
	c := &Cells{Home: home}
	total := 0
	for dc, n := range instances {
		if n > 0 {
			total += n
			c.populated = append(c.populated, dc)
		}
	}
	slices.Sort(c.populated)
	c.IsFleetWide = total <= FleetWideLimit
	return c
}

// Of returns the data centre whose instances share the load of a target: its own, or one
// chosen by rendezvous hashing if it has no instances.
func (c *Cells) Of(id core.TargetID, dc core.DataCentre) core.DataCentre {
	if c.IsFleetWide || len(c.populated) == 0 {
		return c.Home
	}
	if _, found := slices.BinarySearch(c.populated, dc); found {
		return dc
	}
	best, most := c.populated[0], uint64(0)
	for _, candidate := range c.populated {
		if weight := xxhash.Sum64String(string(candidate) + "/" + string(id)); weight > most {
			best, most = candidate, weight
		}
	}
	return best
}

// Includes reports whether this instance knows the load of a target.
func (c *Cells) Includes(id core.TargetID, dc core.DataCentre) bool { return c.Of(id, dc) == c.Home }

// CellProvider gives the cells as the members are now.
type CellProvider interface {
	Cells() *Cells
}
