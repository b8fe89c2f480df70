package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
)

func newProtocol() *Protocol {
	header := func(core.Instant) (core.Revision, core.Revision, uint32) { return 0, 0, 0 }
	return New(Record{ID: "p", Address: "p", DataCentre: "d"}, rand.New(rand.NewPCG(1, 2)), header, nil)
}

func member(id core.InstanceID, status Status, incarnation uint64) Record {
	return Record{ID: id, Address: string(id), DataCentre: "d", Status: status, Incarnation: incarnation}
}

// Guards against late or reordered records that revive a dead member, undo a refutation or
// hide that a member is leaving.
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
		p := newProtocol()
		p.mergeAndGossip(0, member("m", StatusAlive, 0))
		p.mergeAndGossip(0, c.old)
		p.mergeAndGossip(0, c.update)
		if got, _ := p.view.get(Record{ID: "m"}); got.Status != c.expected {
			t.Errorf("%v then %v: %s", c.old, c.update, got.Status)
		}
	}
}

// Guards against a restarted process with the ID of a dead member that is never accepted as
// a member again, and against a leaving member that becomes alive when it refutes a
// suspicion.
func TestSuspicionsAreRefuted(t *testing.T) {
	p := newProtocol()
	p.mergeAndGossip(0, member("p", StatusDead, 7))
	if self := p.Self(); self.Incarnation != 8 || self.Status != StatusAlive {
		t.Errorf("a new process refutes with %+v", self)
	}
	p.Leave(0)
	p.mergeAndGossip(0, member("p", StatusSuspect, 9))
	if self := p.Self(); self.Incarnation != 9 || self.Status != StatusLeaving {
		t.Errorf("a suspicion older than the leaving gave %+v", self)
	}
	p.mergeAndGossip(0, member("p", StatusDead, 9))
	if self := p.Self(); self.Incarnation != 10 || self.Status != StatusLeaving {
		t.Errorf("refuted with %+v", self)
	}
}

// Guards against messages that grow with the number of changes, and against records that
// are gossiped without end.
func TestPiggybackIsBounded(t *testing.T) {
	p := newProtocol()
	for i := range 1000 {
		p.mergeAndGossip(0, member(core.InstanceID(fmt.Sprintf("m%d", i)), StatusAlive, 0))
	}
	if n := len(p.gossip.records); n > maxQueuedRecords {
		t.Errorf("%d queued records", n)
	}
	total := 0
	for range 10000 {
		n := len(p.newMessage(0, member("m1", StatusAlive, 0)).Updates)
		if n > maxUpdatesPerMessage {
			t.Fatalf("%d records in a message", n)
		}
		total += n
	}
	if limit := maxQueuedRecords * retransmitFactor * 10; total > limit {
		t.Errorf("%d records sent, bound %d", total, limit)
	}
}

// Guards against a process that suspects its peers after a pause of its own, because the
// probes from before the pause got no replies.
func TestPausedProcessSuspectsNoPeers(t *testing.T) {
	p := newProtocol()
	p.mergeAndGossip(0, member("m", StatusAlive, 0))
	p.mergeAndGossip(0, member("s", StatusAlive, 0))
	p.Tick(0)
	probe := p.newProbe(0, member("m", StatusAlive, 0), false)
	p.mergeAndGossip(0, member("s", StatusSuspect, 0))
	resumed := core.Instant(time.Minute)
	if calls := p.HandleFailure(resumed, probe); len(calls) != 0 {
		t.Errorf("a failure before the first tick after the pause gave %d calls", len(calls))
	}
	p.Tick(resumed)
	if calls := p.HandleFailure(resumed, probe); len(calls) != 0 {
		t.Errorf("a failure from before the pause gave %d calls", len(calls))
	}
	for _, id := range []core.InstanceID{"m", "s"} {
		if r, _ := p.view.get(Record{ID: id}); r.Status == StatusDead || id == "m" && r.Status != StatusAlive {
			t.Errorf("%s is %s after the pause", id, r.Status)
		}
	}
}

// Guards against an empty or short answer to callers whose data centre is lost.
func TestAddressesFillFromOtherDataCentres(t *testing.T) {
	p := newProtocol()
	for i := range 20 {
		r := member(core.InstanceID(fmt.Sprintf("m%d", i)), StatusAlive, 0)
		r.DataCentre = core.DataCentre(fmt.Sprintf("d%d", i%2))
		p.mergeAndGossip(0, r)
	}
	p.mergeAndGossip(0, Record{DataCentre: "d0", Status: StatusDead})
	answer := p.Addresses(p.rng, "d0")
	if len(answer.Addresses) != addressCount || answer.TTL != unstableAddressTTL {
		t.Errorf("%+v", answer)
	}
}

// Guards against answers that send callers to another data centre, to leaving or
// unresponsive members, or to small machines as often as to large ones.
func TestCallerAddressesAreLocalAndWeighted(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	header := func(core.Instant) (core.Revision, core.Revision, uint32) { return 0, 0, 0 }
	p := New(Record{ID: "self", DataCentre: "a", Callers: "self"}, rng, header, nil)
	add := func(id core.InstanceID, dc core.DataCentre, status Status, capacity uint32) {
		p.mergeAndGossip(0, Record{ID: id, DataCentre: dc, Callers: string(id), Status: status, Incarnation: 1, Capacity: capacity})
	}
	add("big", "a", StatusAlive, 100)
	for _, id := range []core.InstanceID{"s1", "s2", "s3", "s4", "s5", "s6"} {
		add(id, "a", StatusAlive, 10)
	}
	add("suspect", "a", StatusSuspect, 100)
	add("leaving", "a", StatusLeaving, 100)
	add("far", "b", StatusAlive, 100)
	add("silent", "a", StatusAlive, 100)
	isFresh := func(r Record) bool { return r.ID != "silent" }
	counts := map[string]int{}
	for range 1000 {
		answer := p.CallerAddresses(rng, "a", isFresh)
		if len(answer) != callerAddressCount {
			t.Fatalf("answer %v", answer)
		}
		for _, address := range answer {
			counts[address]++
		}
	}
	if counts["suspect"]+counts["leaving"]+counts["far"]+counts["silent"] > 0 {
		t.Errorf("counts %v", counts)
	}
	if counts["big"] < 2*counts["s1"] || counts["s1"] == 0 {
		t.Errorf("counts %v: not weighted by capacity", counts)
	}
	if answer := p.CallerAddresses(rng, "b", isFresh); len(answer) != 1 || answer[0] != "far" {
		t.Errorf("answer %v", answer)
	}
	if answer := p.CallerAddresses(rng, "elsewhere", isFresh); len(answer) != callerAddressCount {
		t.Errorf("answer %v", answer)
	}
}

// Guards against an instance that doesn't contact the listed ones for seconds because it has looked for
// some before the list could be read, as while the platform is away.
func TestListedInstanceIsContactedAtOnce(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 23 * time.Second} {
		p := newProtocol()
		now := core.Instant(time.Second)
		read := now.Add(after)
		for ; now < read; now = now.Add(100 * time.Millisecond) {
			p.Tick(now)
		}
		p.SetSeeds([]core.ListedInstance{{ID: "p", Address: "p", DataCentre: "d"}, {ID: "m", Address: "m", DataCentre: "d"}})
		calls := p.Tick(now)
		if len(calls) != 1 || calls[0].Kind != CallDigest || calls[0].To.ID != "m" {
			t.Errorf("list read after %v: calls %+v", after, calls)
		}
	}
}

// Guards against a fleet that starts together and in which every instance reads the
// platform until all instances have discovered each other.
func TestExpectedDelegatesAgreeBeforeJoining(t *testing.T) {
	header := func(core.Instant) (core.Revision, core.Revision, uint32) { return 0, 0, 0 }
	var list []core.ListedInstance
	for i := range 16 {
		list = append(list, core.ListedInstance{ID: core.InstanceID(fmt.Sprintf("n%d", i)), Address: "a", DataCentre: "d"})
	}
	delegates := 0
	for _, self := range list {
		p := New(Record{ID: self.ID, DataCentre: "d"}, rand.New(rand.NewPCG(1, 1)), header, nil)
		p.SetSeeds(list)
		if p.IsExpectedDelegate() {
			delegates++
		}
		if got := p.UnjoinedSeeds(); len(got) != 15 {
			t.Errorf("%d seeds that are not yet members", len(got))
		}
	}
	if delegates != DelegateCount {
		t.Errorf("%d delegates of 16 instances", delegates)
	}
}
