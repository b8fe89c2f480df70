package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// CollectorCount is the number of collectors of a cell. All receive the events about the cell's
// targets; the first one that is alive publishes summaries, and the next takes over when it falls
// silent.
const CollectorCount = 2

// Candidate is an instance that may collect the loads of its cell.
type Candidate struct {
	ID core.InstanceID
	// Capacity is its processing capacity relative to others.
	Capacity uint32
}

// Collectors returns the indices of the instances that collect the loads of a cell, in their order:
// those of the largest capacity, and among equal ones those with the least hash.
func Collectors(cell []Candidate) []int {
	indices := make([]int, len(cell))
	hashes := make([]uint64, len(cell))
	for i := range cell {
		indices[i], hashes[i] = i, xxhash.Sum64String(string(cell[i].ID))
	}
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(cmp.Compare(cell[b].Capacity, cell[a].Capacity), cmp.Compare(hashes[a], hashes[b]))
	})
	return indices[:min(len(indices), CollectorCount)]
}
