package reach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/reach"
)

const second = core.Instant(time.Second)

// Guards against a path that is taken for lost because single targets fail, or not for long enough, and
// against one that isn't although all targets fail.
func TestPathIsLostWhenSeveralTargetsFail(t *testing.T) {
	tests := map[string]struct {
		targets []core.TargetID
		pause   time.Duration
		ready   int
		isLost  bool
	}{
		"one of many":         {[]core.TargetID{"a", "a", "a", "a"}, 0, 14, false},
		"three of many":       {[]core.TargetID{"a", "b", "c"}, 0, 14, true},
		"all of two":          {[]core.TargetID{"a", "b"}, 0, 2, true},
		"one of two":          {[]core.TargetID{"a", "a"}, 0, 2, false},
		"the only one":        {[]core.TargetID{"a"}, 0, 1, true},
		"a gone one":          {[]core.TargetID{"a"}, 0, 0, true},
		"at different times":  {[]core.TargetID{"a", "b", "c"}, 2 * time.Second, 14, false},
		"within a short time": {[]core.TargetID{"a", "b", "c"}, time.Second, 14, true},
	}
	for name, test := range tests {
		p := reach.NewPaths()
		now := second
		for _, id := range test.targets {
			p.RecordFailed(now, "s", id, test.ready)
			now = now.Add(test.pause)
		}
		if p.IsCut("s") != test.isLost || p.IsCut("other") {
			t.Errorf("%s: lost %v", name, p.IsCut("s"))
		}
	}
}

// Guards against a path that stays lost after a connection, and against failures from before it that
// count later.
func TestConnectionRestoresPath(t *testing.T) {
	p := reach.NewPaths()
	for i := range 3 {
		p.RecordFailed(second, "s", core.TargetID(fmt.Sprint(i)), 9)
	}
	if lost := p.Lost(); len(lost) != 1 || lost[0].Service != "s" || len(lost[0].Targets) != 3 {
		t.Fatalf("lost %+v", lost)
	}
	select {
	case <-p.LostChanged():
	default:
		t.Error("the loss isn't told")
	}
	if after, ok := p.RecordConnected(3*second, "s", "9"); !ok || after != 2*time.Second {
		t.Errorf("restored after %v, %v", after, ok)
	}
	p.RecordFailed(3*second, "s", "0", 9)
	if p.IsCut("s") || !p.RecordNoTarget(3*second, "s") {
		t.Error("a failure counts for too much or too little")
	}
}

// Guards against a path that is taken for lost because the same targets fail again and again while
// another one can be reached.
func TestTargetsThatFailAloneAreNoEvidence(t *testing.T) {
	p := reach.NewPaths()
	now := second
	fail := func(ids ...core.TargetID) {
		for _, id := range ids {
			p.RecordFailed(now, "s", id, 4)
		}
	}
	fail("a", "b", "c")
	p.RecordConnected(now, "s", "d")
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		fail("a", "b", "c")
		if p.IsCut("s") {
			t.Fatalf("lost after %v by targets that fail alone", now.Sub(second))
		}
	}
	p.RecordConnected(now, "s", "a")
	fail("a")
	if p.IsCut("s") {
		t.Error("lost by one of two targets")
	}
	if fail("d"); !p.IsCut("s") {
		t.Error("not lost although no target can be reached")
	}
	p.RecordConnected(now, "s", "d")
	now = now.Add(4 * time.Second)
	fail("a", "b")
	if p.IsCut("s") {
		t.Error("lost by two of four")
	}
	if fail("c"); !p.IsCut("s") {
		t.Error("failures of long ago still keep targets from counting")
	}
}

// Guards against a lost path whose probes always try the same targets, because those that were down
// before it was lost are never listed as failed.
func TestTargetsOfLostPathAreListed(t *testing.T) {
	p := reach.NewPaths()
	for _, id := range []core.TargetID{"a", "b", "c"} {
		p.RecordFailed(second, "s", id, 5)
	}
	p.RecordConnected(second, "s", "d")
	p.RecordFailed(second, "s", "d", 5)
	p.RecordFailed(second, "s", "e", 5)
	if !p.IsCut("s") {
		t.Fatal("not lost although no target can be reached")
	}
	p.RecordFailed(second, "s", "a", 5)
	if lost := p.Lost(); len(lost) != 1 || !slices.Equal(lost[0].Targets, []core.TargetID{"a", "d", "e"}) {
		t.Errorf("lost %+v", lost)
	}
}

// Guards against a service without targets that counts as unreached though no connection has failed.
func TestMissingTargetsAreNotLost(t *testing.T) {
	p := reach.NewPaths()
	if p.RecordNoTarget(second, "s") || p.IsCut("s") {
		t.Error("lost without a failed connection")
	}
	p.RecordFailed(second, "s", "a", 9)
	if p.RecordNoTarget(9*second, "s") {
		t.Error("lost by an old failure")
	}
}

func peer(address, dc string, isCut bool) core.DetourPeer {
	return core.DetourPeer{Address: address, DataCentre: core.DataCentre(dc), IsCut: isCut}
}

// Guards against requests that leave the data centre without need, and against few instances that carry
// the requests of all others there.
func TestDetoursStayLocalUnlessMostAreCut(t *testing.T) {
	tests := map[string]struct {
		peers     []core.DetourPeer
		wantOther bool
	}{
		"one of three cut": {[]core.DetourPeer{peer("l1", "home", false), peer("l2", "home", false), peer("o1", "other", false)}, false},
		"two of three cut": {[]core.DetourPeer{peer("l1", "home", false), peer("l2", "home", true), peer("o1", "other", false)}, true},
		"alone":            {[]core.DetourPeer{peer("o1", "other", false)}, true},
	}
	for name, test := range tests {
		d := reach.NewDetours("home", random.New(1))
		hasOther := false
		for range 50 {
			address, ok := d.Choose(second, "s", test.peers, nil)
			if !ok || address == "l2" && test.wantOther {
				t.Fatalf("%s: chose %q", name, address)
			}
			hasOther = hasOther || address == "o1"
		}
		if hasOther != test.wantOther {
			t.Errorf("%s: other data centre used: %v", name, hasOther)
		}
	}
}

// Guards against one instance that gets most detours, and against counts that stay after their end.
func TestDetoursAreSpread(t *testing.T) {
	d := reach.NewDetours("home", random.New(1))
	var peers []core.DetourPeer
	for i := range 6 {
		peers = append(peers, peer(fmt.Sprint(i), "home", false))
	}
	counts := map[string]int{}
	var ends []func()
	for range 60 {
		address, _ := d.Choose(second, "s", peers, nil)
		ends = append(ends, d.Start(address))
		counts[address]++
	}
	for address, count := range counts {
		if count > 14 {
			t.Errorf("%s got %d of 60", address, count)
		}
	}
	for _, end := range ends {
		end()
	}
	if address, ok := d.Choose(second, "s", peers[:1], nil); !ok || address != "0" {
		t.Errorf("chose %q, %v", address, ok)
	}
}

// Guards against instances that are asked again at once although they can't help, and against ones that
// are never asked again, or not for other services.
func TestInstanceThatCannotHelpIsAvoidedForAWhile(t *testing.T) {
	d := reach.NewDetours("home", random.New(1))
	peers := []core.DetourPeer{peer("a", "home", false)}
	d.Avoid(second, "a", "s")
	if address, ok := d.Choose(second, "s", peers, nil); ok {
		t.Errorf("chose %q", address)
	}
	if _, ok := d.Choose(second, "other", peers, nil); !ok {
		t.Error("avoided for another service")
	}
	if _, ok := d.Choose(3*second, "s", peers, nil); !ok {
		t.Error("avoided for too long")
	}
	if _, ok := d.Choose(3*second, "s", peers, map[string]bool{"a": true}); ok {
		t.Error("chosen twice for one request")
	}
}
