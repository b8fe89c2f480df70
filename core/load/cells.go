package load

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// FleetWideLimit is the largest number of instances that tell one another of each send.
// Digests cost each instance one datagram per peer every few milliseconds. In larger fleets
// the instances and targets of one data centre are a cell, whose collectors publish the loads
// of its targets.
const FleetWideLimit = 24

// Cells determines which instances share the load of which targets. It is immutable.
type Cells struct {
	// Home is the data centre of this instance.
	Home core.DataCentre
	// IsFleetWide is set if all instances tell one another of each send.
	IsFleetWide bool
	// CallerShare is the share of the callers of this instance's data centre that come to this
	// instance, by the capacities of its instances. 0 means unknown.
	CallerShare float64
	// populated lists the data centres with instances in ascending order.
	populated []core.DataCentre
}

// NewCells returns the cells of a fleet with the given number of instances per data
// centre, for an instance in the data centre home.
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

// WithCallerShare returns a copy with the share of the callers that come to this instance.
func (c *Cells) WithCallerShare(share float64) *Cells {
	changed := *c
	changed.CallerShare = share
	return &changed
}

// Of returns the cell of a target in the data centre dc: dc itself, or a data centre chosen
// by rendezvous hashing if dc has no instances. If loads are shared fleet-wide it returns
// Home.
func (c *Cells) Of(id core.TargetID, dc core.DataCentre) core.DataCentre {
	if c.IsFleetWide || len(c.populated) == 0 {
		return c.Home
	}
	if _, found := slices.BinarySearch(c.populated, dc); found {
		return dc
	}
	best, highest := c.populated[0], uint64(0)
	for _, candidate := range c.populated {
		if weight := xxhash.Sum64String(string(candidate) + "/" + string(id)); weight > highest {
			best, highest = candidate, weight
		}
	}
	return best
}

// Includes reports whether a target in the data centre dc belongs to this instance's cell,
// so that the instance knows its load.
func (c *Cells) Includes(id core.TargetID, dc core.DataCentre) bool { return c.Of(id, dc) == c.Home }

// Count returns the number of cells.
func (c *Cells) Count() int {
	if c.IsFleetWide {
		return 1
	}
	return max(1, len(c.populated))
}

// CellProvider returns the cells of the current membership.
type CellProvider interface {
	Cells() *Cells
}
