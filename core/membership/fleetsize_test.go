package membership_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/membership"
)

// Guards against limits that are divided by too few instances: those that are out of reach go on
// with their shares, and an instance that starts without its peers knows them from the list.
func TestFleetSizeCountsUnseenInstances(t *testing.T) {
	members := []membership.Record{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	list := []core.ListedInstance{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "gone"}}
	at := func(d time.Duration) core.Instant { return core.Instant(d) }

	size := membership.NewFleetSize()
	if got := size.Count(0); got != 0 {
		t.Errorf("%d without an observation, want 0 for unknown", got)
	}
	size.ObserveMembers(0, members[:1])
	if got := size.Count(0); got != 0 {
		t.Errorf("%d with itself only and no list, want 0 for unknown", got)
	}
	size.ObserveMembers(0, members)
	size.ObserveMembers(at(time.Minute), members[:1])
	if got := size.Count(at(time.Minute)); got != 3 {
		t.Errorf("%d while the others are out of reach, want 3", got)
	}
	size.ObserveMembers(at(membership.FleetMemory), members[:2])
	if got := size.Count(at(membership.FleetMemory + 1)); got != 2 {
		t.Errorf("%d after the third was gone for long, want 2", got)
	}

	alone := membership.NewFleetSize()
	for now := time.Duration(0); now < 3*membership.FleetMemory; now += time.Minute {
		alone.ObserveMembers(at(now), members[:1])
		alone.ObserveList(at(now), list, true)
		if got := alone.Count(at(now)); got != 4 {
			t.Fatalf("%d after %v without its peers, want the 4 of the list", got, now)
		}
	}

	joined := membership.NewFleetSize()
	joined.ObserveList(0, list, true)
	for now := time.Duration(0); now <= 2*membership.FleetMemory; now += time.Minute {
		joined.ObserveMembers(at(now), members)
		joined.ObserveList(at(now), list, false)
	}
	if got := joined.Count(at(2 * membership.FleetMemory)); got != 3 {
		t.Errorf("%d, want 3 without the instance that is only listed", got)
	}
}
