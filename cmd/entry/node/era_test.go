package node

import (
	"strings"
	"testing"
	"time"

	"gorseline/core"
	standin "gorseline/standin/platform"
)

// Guards against an instance that goes back with the store: to an older configuration, to targets
// that have left, or without those that have registered since, and against one that misses what
// is written afterwards under versions that are given out again.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	s.eventually(3*time.Second, "n1 is announced", func() bool { return strings.Contains(i.output.String(), "Event=Announced Era=1") })
	copied := s.store.Copy()
	s.configure(2)
	s.store.Remove("servers", "i-0")
	late := s.targets[1].RegistryEntry("calls", "a", "ready")
	s.store.Put("servers", "i-late", late)
	has := func(id core.TargetID) bool {
		_, ok := i.roster.View().Find(id)
		return ok
	}
	s.eventually(3*time.Second, "the changes are in force", func() bool {
		return i.forwarder.Table().Version() == 2 && !has("i-0") && has("i-late")
	})
	s.store.GoBack(copied)
	s.eventually(3*time.Second, "the era is seen", func() bool { return strings.Contains(i.output.String(), "Event=StoreEraChanged") })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if i.forwarder.Table().Version() != 2 || has("i-0") || !has("i-late") {
			t.Fatalf("version %d, i-0 %v, i-late %v", i.forwarder.Table().Version(), has("i-0"), has("i-late"))
		}
	}
	s.store.RewriteExternal()
	s.configure(3)
	s.store.Remove("servers", "i-1")
	s.eventually(3*time.Second, "later changes are in force", func() bool {
		return i.forwarder.Table().Version() == 3 && !has("i-1")
	})
	if has("i-0") || !has("i-late") {
		t.Errorf("i-0 %v, i-late %v", has("i-0"), has("i-late"))
	}
	s.eventually(announceSpread+3*time.Second, "n1 is announced again", func() bool {
		return strings.Contains(i.output.String(), "Event=Announced Era=2")
	})
}

// Guards against a follower that takes the changes of a new era for those that follow what it has
// read, because the store has given out the same versions again while it was away.
func TestVersionsGivenOutAgainHideNoChange(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	copied := s.store.Copy()
	for range 3 {
		s.store.Put("servers", "i-1", s.targets[1].RegistryEntry("calls", "a", "draining"))
	}
	s.eventually(3*time.Second, "i-1 is leaving", func() bool {
		e, ok := i.roster.View().Find("i-1")
		return ok && e.Leaving
	})
	s.store.SetFaults(standin.Faults{Status: 503})
	s.store.GoBack(copied)
	s.store.Put("servers", "i-new", s.targets[0].RegistryEntry("calls", "a", "ready"))
	for range 100 { // more versions than the instance has seen
		s.store.Put("servers", "i-2", s.targets[2].RegistryEntry("models", "a", "ready"))
	}
	s.store.SetFaults(standin.Faults{})
	s.eventually(5*time.Second, "i-new is known", func() bool {
		_, ok := i.roster.View().Find("i-new")
		return ok
	})
}
