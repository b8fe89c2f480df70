package roster_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gorseline/core"
	"gorseline/core/roster"
)

const lapse = time.Second

func at(ms int) core.Instant { return core.Instant(time.Duration(ms) * time.Millisecond) }

func entry(id core.TargetID) core.Registration {
	return core.Registration{Target: core.Target{ID: id, Service: "s", Address: "1.2.3.4:5"}, Slots: 4}
}

func ready(r *roster.Roster) []core.TargetID {
	ids := []core.TargetID{}
	for _, e := range r.View().Ready("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

func newRoster(ids ...core.TargetID) *roster.Roster {
	r := roster.New(lapse)
	var list []core.Registration
	for _, id := range ids {
		list = append(list, entry(id))
	}
	r.Replace(0, 1, list)
	return r
}

func expect(t *testing.T, r *roster.Roster, want ...core.TargetID) {
	t.Helper()
	if diff := cmp.Diff(append([]core.TargetID{}, want...), ready(r)); diff != "" {
		t.Error(diff)
	}
}

// Guards against new work for a target that has left or is leaving.
func TestLeavingTargetsAreNotReady(t *testing.T) {
	r := newRoster("a", "b", "c")
	leaving := entry("a")
	leaving.Leaving = true
	r.Apply(at(100), 2, []roster.Update{{ID: "a", Registration: &leaving}, {ID: "b"}})
	expect(t, r, "c")
	if _, ok := r.View().Find("a"); !ok {
		t.Error("a leaving target is forgotten")
	}
}

// Guards against a target that gets work after it left because one read of the registry
// had failed before (hunt ksg-limits, trouble-1 seed 225078122248).
func TestFailedReadIsNoOutage(t *testing.T) {
	r := newRoster("a", "b", "c", "d")
	r.MarkUnreachable(at(1000))
	r.MarkReachable(at(1100))
	r.Apply(at(1200), 2, []roster.Update{{ID: "a"}})
	expect(t, r, "b", "c", "d")
}

// Guards against a service without targets after an outage of the registry in which their
// entries lapsed, and against the use of those that don't come back.
func TestEntriesThatLapseInAnOutage(t *testing.T) {
	r := newRoster("a", "b", "c", "d")
	r.MarkUnreachable(at(1000))
	r.MarkReachable(at(5000))
	r.Replace(at(5000), 9, []core.Registration{entry("d")})
	expect(t, r, "a", "b", "c", "d")
	b := entry("b")
	r.Apply(at(5500), 10, []roster.Update{{ID: "b", Registration: &b}})
	r.Expire(at(5900))
	if r.View().Len() != 4 {
		t.Errorf("%d entries before the grace is over", r.View().Len())
	}
	r.Expire(at(7000))
	expect(t, r, "b", "d")
}

// Guards against the use of a single target that lapsed in an outage: it probably left.
func TestSingleLapsedEntryIsAvoided(t *testing.T) {
	r := newRoster("a", "b", "c", "d")
	r.MarkUnreachable(at(1000))
	r.MarkReachable(at(5000))
	r.Apply(at(5100), 2, []roster.Update{{ID: "a"}})
	expect(t, r, "b", "c", "d")
}

// Guards against an old entry that arrives late and makes a leaving target ready again,
// and against a restart under the same ID that is taken for an old entry.
func TestOlderEntryIsIgnored(t *testing.T) {
	r := newRoster()
	put := func(version, beat uint64, started int64, leaving bool) []roster.Change {
		e := entry("a")
		e.Sequence, e.Started, e.Leaving = beat, started, leaving
		return r.Apply(0, version, []roster.Update{{ID: "a", Registration: &e}})
	}
	put(2, 5, 1000, true)
	put(3, 4, 1000, false)
	expect(t, r)
	put(4, 9, 900, false)
	expect(t, r)
	if changes := put(5, 1, 2000, false); len(changes) != 1 || changes[0].Kind != roster.Restarted {
		t.Errorf("changes %+v", changes)
	}
	expect(t, r, "a")
}

// Guards against a list from a peer that takes back what the registry has told since.
func TestOlderListIsIgnored(t *testing.T) {
	r := newRoster("a", "b")
	r.Apply(0, 5, []roster.Update{{ID: "a"}})
	if changes := r.Replace(0, 4, []core.Registration{entry("a"), entry("b")}); len(changes) > 0 {
		t.Errorf("changes %+v", changes)
	}
	expect(t, r, "b")
}
