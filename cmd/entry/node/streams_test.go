package node

import (
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/roster"
)

// Guards against versions that are left out because their targets leave or have lapsed, and
// against evidence from copies that were never complete.
func TestObservedVersionsIncludeLeavingTargets(t *testing.T) {
	r := roster.New(time.Second)
	tracker := catchup.New(random.New(1))
	s := streamSource{tracker, r, func() *core.Forwarding { return nil }}
	var list []core.Registration
	for _, e := range []struct {
		id      core.TargetID
		version core.SoftwareVersion
		leaving bool
	}{{"a", "v1", true}, {"b", "v2", false}, {"c", "v2", false}, {"d", "v3", false}} {
		list = append(list, core.Registration{
			Target: core.Target{ID: e.id, Service: "chat"}, Version: e.version, Leaving: e.leaving,
		})
	}
	r.Replace(0, 1, list)
	r.MarkUnreachable(0)
	r.MarkReachable(core.Instant(2 * time.Second))
	r.Apply(core.Instant(2*time.Second), 2, []roster.Update{{ID: "d"}})
	o := s.Observation()
	versions := slices.Sorted(slices.Values(o.Versions["chat"]))
	if !slices.Equal(versions, []core.SoftwareVersion{"v1", "v2", "v3"}) || o.IsConfirmed {
		t.Errorf("versions %v, confirmed %v", versions, o.IsConfirmed)
	}
	tracker.RecordRead(5, catchup.Configuration, true)
	tracker.RecordRead(7, catchup.Targets, true)
	if o := s.Observation(); !o.IsConfirmed || o.AsOf != 5 {
		t.Errorf("confirmed %v as of %v", o.IsConfirmed, o.AsOf)
	}
}
