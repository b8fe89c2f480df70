package roster_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/roster"
)

// Guards against a target that is used again after it has stated that it leaves, whatever the registry
// lists, and against a new process of it that is not used.
func TestStatedLeavingOutlivesRegistry(t *testing.T) {
	entry := func(started int64, sequence uint64) core.Registration {
		return core.Registration{Target: core.Target{ID: "t", Service: "s", Address: "a"}, Started: started, Sequence: sequence}
	}
	apply := func(r *roster.Roster, version uint64, list ...core.Registration) { r.Replace(0, version, list) }
	tests := map[string]struct {
		then     func(r *roster.Roster)
		isUsable bool
	}{
		"listed as ready": {func(r *roster.Roster) { apply(r, 2, entry(5, 2)) }, false},
		"older copy": {func(r *roster.Roster) {
			apply(r, core.VersionInEra(2, 1), entry(5, 1))
		}, false},
		"removed and listed again": {func(r *roster.Roster) {
			apply(r, 2)
			apply(r, 3, entry(5, 3))
		}, false},
		"lapsed": {func(r *roster.Roster) {
			r.MarkUnreachable(0)
			r.MarkReachable(core.Instant(time.Minute))
			r.Replace(core.Instant(time.Minute), 2, nil)
			r.Replace(core.Instant(time.Minute+time.Second), 3, []core.Registration{entry(5, 3)})
		}, false},
		"new process":     {func(r *roster.Roster) { apply(r, 2, entry(6, 1)) }, true},
		"stated too late": {func(r *roster.Roster) { apply(r, 2, entry(6, 1)); r.MarkLeaving("t", 5) }, true},
	}
	for name, test := range tests {
		r := roster.New(time.Second)
		apply(r, 1, entry(5, 1))
		if changes := r.MarkLeaving("t", 5); len(changes) != 1 || changes[0].Kind != roster.Leaving || len(r.View().Ready("s")) != 0 {
			t.Fatalf("%s: changes %+v", name, changes)
		}
		if changes := r.MarkLeaving("t", 5); len(changes) != 0 {
			t.Errorf("%s: changed twice: %+v", name, changes)
		}
		test.then(r)
		if isUsable := len(r.View().Ready("s")) > 0; isUsable != test.isUsable {
			t.Errorf("%s: usable %v", name, isUsable)
		}
	}
}
