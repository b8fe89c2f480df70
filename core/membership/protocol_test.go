package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
)

func protocol() *Protocol {
	header := func(core.Instant) (core.Revision, core.Revision, uint32) { return 0, 0, 0 }
	return New(Record{ID: "p", Address: "p", DataCentre: "d"}, rand.New(rand.NewPCG(1, 2)), header, nil)
}

func member(id core.InstanceID, status Status, incarnation uint64) Record {
	return Record{ID: id, Address: string(id), DataCentre: "d", Status: status, Incarnation: incarnation}
}

// Guards against late or reordered records that bring back a dropped member, undo
// a refutation or hide that a member leaves.
func TestNewerRecordsOverride(t *testing.T) {
	cases := []struct {
		old, update Record
		expected    Status
	}{
		{member("m", StatusAlive, 1), member("m", StatusSuspect, 1), StatusSuspect},
		{member("m", StatusSuspect, 1), member("m", StatusAlive, 1), StatusSuspect},
		{member("m", StatusSuspect, 1), member("m", StatusAlive, 2), StatusAlive},
		{member("m", StatusAlive, 2), member("m", StatusDead, 1), StatusAlive},
		{member("m", StatusLeaving, 2), member("m", StatusSuspect, 2), StatusLeaving},
		{member("m", StatusLeaving, 2), member("m", StatusDead, 2), StatusDead},
		{member("m", StatusDead, 2), member("m", StatusAlive, 2), StatusDead},
		{member("m", StatusDead, 2), member("m", StatusAlive, 3), StatusAlive},
	}
	for _, c := range cases {
		p := protocol()
		p.learn(0, member("m", StatusAlive, 0))
		p.learn(0, c.old)
		p.learn(0, c.update)
		if got, _ := p.view.get(Record{ID: "m"}); got.Status != c.expected {
			t.Errorf("%v then %v: %s", c.old, c.update, got.Status)
		}
	}
}

// Guards against a new process that keeps the identity of a dropped one and is
// never let in, and against a leaving member that refutes its leaving.
func TestSuspicionsAreRefuted(t *testing.T) {
	p := protocol()
	p.learn(0, member("p", StatusDead, 7))
	if self := p.Self(); self.Incarnation != 8 || self.Status != StatusAlive {
		t.Errorf("a new process refutes with %+v", self)
	}
	p.Leave(0)
	p.learn(0, member("p", StatusSuspect, 9))
	if self := p.Self(); self.Incarnation != 9 || self.Status != StatusLeaving {
		t.Errorf("a suspicion older than the leaving gave %+v", self)
	}
	p.learn(0, member("p", StatusDead, 9))
	if self := p.Self(); self.Incarnation != 10 || self.Status != StatusLeaving {
		t.Errorf("refuted with %+v", self)
	}
}

// Guards against messages that grow with the number of changes, and against
// records that are sent for ever.
func TestPiggybackIsBounded(t *testing.T) {
	p := protocol()
	for i := range 1000 {
		p.learn(0, member(core.InstanceID(fmt.Sprintf("m%d", i)), StatusAlive, 0))
	}
	if n := len(p.spread.queue); n > spreadLimit {
		t.Errorf("%d queued records", n)
	}
	total := 0
	for range 10000 {
		n := len(p.message(0, member("m1", StatusAlive, 0)).Updates)
		if n > updatesPerMessage {
			t.Fatalf("%d records in a message", n)
		}
		total += n
	}
	if limit := spreadLimit * sendFactor * 10; total > limit {
		t.Errorf("%d records sent, bound %d", total, limit)
	}
}

// Guards against a process that drops its peers after its own pause, because its
// probes from before the pause had no replies.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	p := protocol()
	p.learn(0, member("m", StatusAlive, 0))
	p.learn(0, member("s", StatusAlive, 0))
	p.Tick(0)
	probe := p.probe(0, member("m", StatusAlive, 0), false)
	p.learn(0, member("s", StatusSuspect, 0))
	woken := core.Instant(time.Minute)
	if calls := p.Failed(woken, probe); len(calls) != 0 {
		t.Errorf("a failure before the first tick gave %d calls", len(calls))
	}
	p.Tick(woken)
	if calls := p.Failed(woken, probe); len(calls) != 0 {
		t.Errorf("a failure from before the pause gave %d calls", len(calls))
	}
	for _, id := range []core.InstanceID{"m", "s"} {
		if r, _ := p.view.get(Record{ID: id}); r.Status == StatusDead || id == "m" && r.Status != StatusAlive {
			t.Errorf("%s is %s on waking", id, r.Status)
		}
	}
}

// Guards against callers that are sent away with nothing while the caller's data
// centre is lost.
func TestAddressesFillFromOtherDataCentres(t *testing.T) {
	p := protocol()
	for i := range 20 {
		r := member(core.InstanceID(fmt.Sprintf("m%d", i)), StatusAlive, 0)
		r.DataCentre = core.DataCentre(fmt.Sprintf("d%d", i%2))
		p.learn(0, r)
	}
	p.learn(0, Record{DataCentre: "d0", Status: StatusDead})
	answer := p.Addresses(p.rng, "d0")
	if len(answer.Addresses) != addressCount || answer.KeepFor != keepForInFlux {
		t.Errorf("%+v", answer)
	}
}
