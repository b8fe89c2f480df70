package roster_test

import (
	"testing"

	"gorseline/core"
	"gorseline/core/roster"
)

// written returns an entry that its target wrote with a sequence number.
func written(id core.TargetID, sequence uint64, leaving bool) core.Registration {
	r := entry(id)
	r.Sequence, r.Leaving = sequence, leaving
	return r
}

// restored returns a roster that knew the targets kept, new and leaving when the registry came
// back from a copy. The copy still lists the target gone, lists leaving as ready, and lacks new.
func restored() *roster.Roster {
	r := roster.New(minOutage)
	first := core.VersionInEra(1, 50)
	r.Replace(0, first, []core.Registration{
		written("kept", 9, false), written("leaving", 7, true), written("new", 1, false), written("gone", 4, false),
	})
	r.Apply(at(1000), first+1, []roster.Update{{ID: "gone"}})
	r.Replace(at(2000), core.VersionInEra(2, 40), []core.Registration{
		written("kept", 8, false), written("leaving", 6, false), written("gone", 4, false),
	})
	return r
}

// Guards against a registry from an older copy that brings back a removed target, makes a leaving
// one ready, or takes one out that had just registered.
func TestOlderCopyOfTheRegistryChangesNoTarget(t *testing.T) {
	r := restored()
	expectReady(t, r, "kept", "new")
	if e, ok := r.View().Find("leaving"); !ok || !e.Leaving {
		t.Error("the leaving target is missing or ready")
	}
	r.Expire(at(3900))
	expectReady(t, r, "kept", "new")
	// A second list within the grace, as after a lost history, changes nothing either.
	r.Replace(at(3950), core.VersionInEra(2, 41), []core.Registration{written("kept", 8, false)})
	expectReady(t, r, "kept", "new")
}

// Guards against versions of the earlier era that keep out all changes of the new one, which are
// given out again from lower numbers.
func TestChangesOfTheNewEraApply(t *testing.T) {
	r := restored()
	r.Apply(at(2500), core.VersionInEra(2, 41), []roster.Update{{ID: "kept"}})
	expectReady(t, r, "new")
	back := written("gone", 5, false)
	r.Apply(at(2600), core.VersionInEra(2, 42), []roster.Update{{ID: "gone", Registration: &back}})
	expectReady(t, r, "gone", "new")
	if changes := r.Apply(at(2700), core.VersionInEra(1, 90), []roster.Update{{ID: "new"}}); len(changes) > 0 {
		t.Errorf("an answer of the earlier era changed %v", changes)
	}
}

// Guards against a target that the copy lacks and that is used for ever although it does not
// write its entry again.
func TestEntryMissingInTheCopyExpires(t *testing.T) {
	r := restored()
	again := written("new", 2, false)
	r.Apply(at(3000), core.VersionInEra(2, 43), []roster.Update{{ID: "new", Registration: &again}})
	r.Expire(at(4100))
	expectReady(t, r, "kept", "new")

	r = restored()
	r.Expire(at(4100))
	expectReady(t, r, "kept")
}
