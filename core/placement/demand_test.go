package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/placement"
)

// fleet simulates engines that complete an ordered role change after a delay.
type fleet struct {
	planner   *placement.DemandPlanner
	engines   []placement.EngineLoad
	changes   []core.RoleChange
	now       core.Instant
	changeDue map[core.TargetID]core.Instant
	to        map[core.TargetID]core.Role
	refused   placement.Refusals
}

func newFleet(prefill, decode int) *fleet {
	f := &fleet{
		planner:   placement.NewDemandPlanner(placement.DemandOptions{}),
		changeDue: map[core.TargetID]core.Instant{}, to: map[core.TargetID]core.Role{},
	}
	for i := range prefill + decode {
		e := placement.EngineLoad{
			ID: core.TargetID(fmt.Sprintf("e%02d", i)), DataCentre: core.DataCentre(rune('a' + i%3)), Role: core.RolePrefill, Slots: 16,
		}
		if i >= prefill {
			e.Role = core.RoleDecode
		}
		f.engines = append(f.engines, e)
	}
	return f
}

// run simulates seconds with the given share of busy prefill engines and of decode slots
// in use.
func (f *fleet) run(seconds int, busy, slotUse float64) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for i := range f.engines {
			e := &f.engines[i]
			if at, ok := f.changeDue[e.ID]; ok && f.now >= at {
				e.Role = f.to[e.ID]
				delete(f.changeDue, e.ID)
			}
			e.Prompts, e.Generating = 0, 0
			if e.Role == core.RoleDecode {
				e.Generating = int(slotUse * 16)
			} else if float64(i%10) < busy*10 {
				e.Prompts = 3
			}
		}
		for _, change := range f.planner.Plan(f.now, f.engines, f.refused) {
			f.changes = append(f.changes, change)
			f.changeDue[change.Target], f.to[change.Target] = f.now.Add(4*time.Second), change.To
		}
	}
}

func (f *fleet) prefillEngines() int {
	n := 0
	for _, e := range f.engines {
		if e.Role == core.RolePrefill {
			n++
		}
	}
	return n
}

// Guards against a fleet in which only a third of the engines computes prompts when the
// first requests arrive, because most engines start in the decode role.
func TestStartingShareIsOrderedAtOnce(t *testing.T) {
	f := newFleet(5, 9)
	f.run(6, 0, 0)
	if f.prefillEngines() != 9 || len(f.changes) != 4 {
		t.Errorf("%d prefill engines after %d changes", f.prefillEngines(), len(f.changes))
	}
}

// Guards against changes that begin when a burst of some seconds is already over.
func TestShortBurstsMoveNoRoles(t *testing.T) {
	f := newFleet(9, 5)
	for range 8 {
		f.run(3, 1, 0.2)
		f.run(3, 0.2, 0.9)
	}
	if len(f.changes) > 0 {
		t.Errorf("changes %+v", f.changes)
	}
}

// Guards against a split of roles that stays after a lasting shift of the mix while one
// kind of work waits, and against the loss of all engines of one role.
func TestLastingShiftMovesRoles(t *testing.T) {
	f := newFleet(9, 5)
	f.run(90, 1, 0.1)
	if got := f.prefillEngines(); got <= 9 || got > 12 {
		t.Errorf("%d of 14 engines in the prefill role while prompts wait and slots are free", got)
	}
	f.run(90, 0.1, 1.2)
	if got := f.prefillEngines(); got > 8 || got < 1 {
		t.Errorf("%d of 14 engines in the prefill role while answers wait for slots", got)
	}
}

// Guards against a slot threshold that is never reached because requests are refused
// first. It happens when bursts of long answers hold most slots while the prefill engines
// are idle. It was found in a run of scale-1 on ksg-limits, at a slot use of 0.85.
func TestRefusalsForSlotsMoveRoles(t *testing.T) {
	f := newFleet(9, 4)
	f.refused = placement.Refusals{NoSlot: 0.2}
	f.run(9, 0.25, 0.85)
	if len(f.changes) != 1 || f.changes[0].To != core.RoleDecode {
		t.Fatalf("changes %+v, want one change to the decode role within 9 s", f.changes)
	}
}

// Guards against changes that cost more than the refusals of one burst of some seconds. It
// was found in a run of quiet-1 on ksg-limits: an engine was out of service for a change
// while prompts were refused.
func TestRefusalsOfOneBurstMoveNoRoles(t *testing.T) {
	f := newFleet(9, 5)
	for range 5 {
		f.refused = placement.Refusals{NoSlot: 0.3}
		f.run(2, 0.3, 0.85)
		f.refused = placement.Refusals{}
		f.run(3, 0.3, 0.6)
		f.refused = placement.Refusals{Backlog: 0.3}
		f.run(2, 0.8, 0.6)
	}
	if len(f.changes) > 0 {
		t.Errorf("changes %+v", f.changes)
	}
}

// Guards against refusals that are counted for the whole gap in which another instance
// planned.
func TestGapBetweenPlansCountsOnce(t *testing.T) {
	f := newFleet(9, 5)
	f.run(3, 0.3, 0.6)
	f.now = f.now.Add(time.Minute)
	f.refused = placement.Refusals{NoSlot: 0.3}
	f.run(1, 0.3, 0.6)
	if len(f.changes) > 0 {
		t.Errorf("changes %+v", f.changes)
	}
}

// Guards against engines that are taken from the role with the greater shortage when both
// roles are overloaded.
func TestRolesFollowTheGreaterShortage(t *testing.T) {
	f := newFleet(9, 4)
	f.refused = placement.Refusals{NoSlot: 0.05, Backlog: 0.3}
	f.run(30, 1, 1)
	if len(f.changes) > 0 {
		t.Errorf("changes %+v while prompts are refused six times as often", f.changes)
	}
}

// Guards against engines that change back and forth under a steady load.
func TestSteadyLoadMovesNoRoles(t *testing.T) {
	f := newFleet(9, 5)
	f.run(120, 0.5, 0.5)
	if len(f.changes) > 0 {
		t.Errorf("changes %+v", f.changes)
	}
}

// Guards against role changes that leave a service of one or two engines without a role.
func TestFewEnginesKeepBothRoles(t *testing.T) {
	one := newFleet(0, 1)
	one.run(20, 1, 1)
	if len(one.changes) > 0 {
		t.Errorf("changes of the only engine: %+v", one.changes)
	}
	two := newFleet(0, 2)
	two.run(20, 1, 0.1)
	if got := two.prefillEngines(); got != 1 {
		t.Errorf("%d of 2 engines in the prefill role", got)
	}
}

// Guards against a fleet that keeps too few decode engines because an engine has just moved to
// prefill: when decode engines leave right after that, one must move back at once.
func TestLostDecodeEnginesAreReplacedAtOnce(t *testing.T) {
	f := newFleet(6, 3)
	f.run(12, 1, 0.1)
	if got := f.prefillEngines(); got != 7 {
		t.Fatalf("%d prefill engines after a lasting need of prompts, want 7", got)
	}
	i := slices.IndexFunc(f.engines, func(e placement.EngineLoad) bool { return e.Role == core.RoleDecode })
	f.engines = slices.Delete(f.engines, i, i+1)
	f.run(6, 1, 0.1)
	if got := f.prefillEngines(); got != 6 {
		t.Errorf("%d of 8 engines in the prefill role 6 s after one of 2 decode engines left, want 6", got)
	}
}
