package membership

import (
	"time"

	"gorseline/core"
)

// FleetMemory is how long an instance counts after it was last seen. It covers partitions of
// the usual length, in which the instances on the other side go on.
const FleetMemory = 10 * time.Minute

// FleetSize estimates how many instances may be running, for limits that the instances divide
// among themselves. Instances that this one doesn't see may be cut off from it and still use
// their shares, so they go on counting. It is not safe for concurrent use.
type FleetSize struct {
	seen map[core.InstanceID]core.Instant
	// isListed is set once the platform's list of instances has been read.
	isListed bool
}

// NewFleetSize returns an estimate without observations.
func NewFleetSize() *FleetSize { return &FleetSize{seen: map[core.InstanceID]core.Instant{}} }

// ObserveMembers records the current members, this instance included.
func (f *FleetSize) ObserveMembers(now core.Instant, members []Record) {
	for i := range members {
		f.seen[members[i].ID] = now
	}
}

// ObserveList records the platform's list of instances. The list keeps instances that were
// removed long ago, so only the first one counts, and later ones while isAlone tells that this
// instance sees no others.
func (f *FleetSize) ObserveList(now core.Instant, list []core.ListedInstance, isAlone bool) {
	if f.isListed && !isAlone {
		return
	}
	f.isListed = true
	for i := range list {
		f.seen[list[i].ID] = now
	}
}

// Count returns the number of instances that may be running, or 0 if it isn't known because
// neither the list nor another instance has been seen.
func (f *FleetSize) Count(now core.Instant) int {
	for id, at := range f.seen {
		if now.Sub(at) > FleetMemory {
			delete(f.seen, id)
		}
	}
	if !f.isListed && len(f.seen) < 2 {
		return 0
	}
	return max(1, len(f.seen))
}
