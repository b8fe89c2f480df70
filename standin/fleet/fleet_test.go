package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
	"gorseline/standin/fleet"
	"gorseline/standin/table"
)

func running(t *testing.T, instances, centres int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(fleet.Options{Instances: instances, DataCentres: centres, Seed: 1, Configuration: fleet.SampleConfiguration(20, 5)})
	if err != nil {
		t.Fatal(err)
	}
	f.Run(15 * time.Second)
	return f
}

func statusOf(by, of *fleet.Instance) membership.Status {
	for _, r := range by.Node.Members().Members() {
		if r.ID == of.ID {
			return r.Status
		}
	}
	return membership.StatusDead
}

func mustAccept(t *testing.T, p configuration.Proposal) core.Revision {
	t.Helper()
	if p.Kind != configuration.ProposalAccepted {
		t.Fatalf("proposal: %+v", p)
	}
	return p.Revision
}

func inCentre(dc core.DataCentre) func(*fleet.Instance) bool {
	return func(i *fleet.Instance) bool { return i.DataCentre == dc }
}

func outside(dc core.DataCentre) func(*fleet.Instance) bool {
	return func(i *fleet.Instance) bool { return i.DataCentre != dc }
}

// cutBetween loses all messages between a data centre and the others.
func cutBetween(dc core.DataCentre) func(a, b *fleet.Instance) bool {
	return func(a, b *fleet.Instance) bool { return (a.DataCentre == dc) != (b.DataCentre == dc) }
}

// Guards against instances that never learn of each other or of the
// configuration, and against a change that takes longer than the 2 s stated for 9
// instances. One of two racing operators must win, the other must see the winner.
func TestNineInstancesApplyTheWinnerWithinTwoSeconds(t *testing.T) {
	f := running(t, 9, 3)
	for _, i := range f.Instances() {
		if n := len(i.Node.Members().Members()); n != 9 {
			t.Errorf("%s knows %d members", i.ID, n)
		}
		if r := i.Ready(); !r.Ready {
			t.Errorf("%s: %s", i.ID, r.Reason)
		}
	}
	first := f.Instances()[0].Propose(1, configuration.SwitchPreset{Name: "Peak"})
	second := f.Instances()[4].Propose(1, configuration.DrainTarget{Target: "engine-0001"})
	revision := mustAccept(t, first)
	if second.Kind != configuration.ProposalConflict || second.Head.Operator != string(f.Instances()[0].ID) || second.Head.PresetInForce != "Peak" {
		t.Errorf("the second operator got %+v", second)
	}
	if took, ok := f.RunUntilInForce(2*time.Second, revision, nil); !ok {
		t.Errorf("not in force everywhere after %s", took)
	}
	f.Run(5 * time.Second)
	if on := f.Instances()[7].Node.RolloutStatus(revision, statusReplies(f, 7)); on.Applied != 9 || on.Total != 9 {
		t.Errorf("in force on %+v", on)
	}
}

func statusReplies(f *fleet.Fleet, by int) []propagation.StatusReply {
	var replies []propagation.StatusReply
	for _, r := range f.Instances()[by].Node.Readers() {
		for _, i := range f.Instances() {
			if i.ID == r.ID && i.Running() {
				replies = append(replies, i.Node.HandleStatus())
			}
		}
	}
	return replies
}

// Guards against a push tree that sends a change to a member again and again, and
// against one that leaves members to the slower pulls.
func TestPushReachesEachMemberOnce(t *testing.T) {
	f := running(t, 60, 2)
	before := f.Traffic().Pushes
	revision := core.Revision(1)
	const changes = 10
	for n := range changes {
		name := []string{"Peak", "Ordinary"}[n%2]
		revision = mustAccept(t, f.Instances()[n].Propose(revision, configuration.SwitchPreset{Name: name}))
		if took, ok := f.RunUntilInForce(2*time.Second, revision, nil); !ok {
			t.Errorf("revision %d: not in force everywhere after %s", revision, took)
		}
		f.Run(3 * time.Second)
	}
	// Two readers of a data centre may read a change before it is pushed to them;
	// half of the changes being pushed twice is the bound.
	if got := f.Traffic().Pushes - before; got < changes*56 || got > changes*60*3/2 {
		t.Errorf("%d pushes of %d changes to 60 members", got, changes)
	}
}

// Guards against a start of the whole fleet after which members drop each other
// because a delegate that has just started lists only some of its data centre.
func TestColdStartSettles(t *testing.T) {
	f, err := fleet.New(fleet.Options{Instances: 120, DataCentres: 6, Seed: 1, Configuration: fleet.SampleConfiguration(20, 5)})
	if err != nil {
		t.Fatal(err)
	}
	f.Run(20 * time.Second)
	for range 20 {
		for _, i := range f.Instances() {
			if n := len(i.Node.Members().Members()); n != 120 || !i.Ready().Ready {
				t.Fatalf("%s after the start: %s knows %d members, %+v", time.Duration(f.Now()), i.ID, n, i.Ready())
			}
		}
		f.Run(time.Second)
	}
	// 18 readers read the head 40 times, and the configuration has 32 rows. If each
	// reader loaded it once, 1,296 rows would be read; twice that is the bound.
	if rows := f.Table().Counts().RowsRead; rows > 2*18*(40+32) {
		t.Errorf("%d rows read in the start", rows)
	}
}

// Guards against a silent member that keeps receiving callers, against one that
// was only slow and is lost, and against one that can't return.
func TestSilentMemberIsDroppedAndReturns(t *testing.T) {
	f := running(t, 24, 2)
	silent, witness := f.Instances()[2], f.Instances()[4]
	before := silent.Node.Members().Self().Incarnation
	silent.Pause(12 * time.Second)
	suspected, ok := f.RunUntil(8*time.Second, func() bool { return statusOf(witness, silent) == membership.StatusSuspect })
	if !ok {
		t.Fatal("the silent member was not suspected")
	}
	if dropped, ok := f.RunUntil(8*time.Second-suspected, func() bool { return statusOf(witness, silent) == membership.StatusDead }); !ok {
		t.Errorf("not dropped %s after it was suspected", dropped)
	}
	f.Run(20 * time.Second)
	if statusOf(witness, silent) != membership.StatusAlive {
		t.Error("the member did not return after its pause")
	}
	if after := silent.Node.Members().Self().Incarnation; after <= before {
		t.Errorf("incarnation %d after %d", after, before)
	}
	for _, i := range f.Instances() {
		if n := len(i.Node.Members().Members()); n != 24 {
			t.Errorf("%s knows %d members after the pause", i.ID, n)
		}
	}
}

// Guards against loss of messages that drops members although they answer.
func TestLossDoesNotDropMembers(t *testing.T) {
	f := running(t, 24, 2)
	f.SetFaults(fleet.Faults{Loss: 0.05, Jitter: 20 * time.Millisecond})
	dropped := 0
	for range 60 {
		f.Run(time.Second)
		for _, i := range f.Instances() {
			dropped += 24 - len(i.Node.Members().Members())
		}
	}
	if dropped > 0 {
		t.Errorf("members missing in %d of %d views", dropped, 60*24)
	}
}

// storm proposes changes while messages are lost, duplicated and reordered and
// instances are paused and restarted.
func storm(t *testing.T, f *fleet.Fleet) core.Revision {
	t.Helper()
	f.SetFaults(fleet.Faults{Loss: 0.1, Duplicate: 0.3, Jitter: 3 * time.Second})
	rng := rand.New(rand.NewPCG(3, 4))
	revision := core.Revision(1)
	for n := range 40 {
		name := "Peak"
		if n%2 == 1 {
			name = "Ordinary"
		}
		by := f.Instances()[rng.IntN(len(f.Instances()))]
		revision = mustAccept(t, by.Propose(revision, configuration.SwitchPreset{Name: name}))
		f.Run(time.Duration(rng.Int64N(int64(time.Second))))
		f.Instances()[rng.IntN(len(f.Instances()))].Pause(3 * time.Second)
		if n%10 == 9 {
			f.Instances()[rng.IntN(len(f.Instances()))].Restart()
		}
	}
	return revision
}

// Guards against a revision that reverts under duplicated, reordered and delayed
// pushes, and against a change that never arrives. Without the comparison of
// revisions the same run must show reverts.
func TestRevisionsNeverRevert(t *testing.T) {
	f := running(t, 12, 3)
	revision := storm(t, f)
	f.SetFaults(fleet.Faults{})
	if took, ok := f.RunUntilInForce(9*time.Second, revision, nil); !ok {
		t.Errorf("revision %d is not in force everywhere after %s", revision, took)
	}
	if n := f.Reverts(); n != 0 {
		t.Errorf("%d reverts", n)
	}
	mutant := running(t, 12, 3)
	for _, i := range mutant.Instances() {
		i.DisableRevisionCheck()
	}
	storm(t, mutant)
	if mutant.Reverts() == 0 {
		t.Error("without the comparison of revisions no revert was seen")
	}
}

// Guards against a lost data centre that delays changes elsewhere beyond 9 s or
// stays in the answers to callers.
func TestLostDataCentre(t *testing.T) {
	f := running(t, 36, 3)
	for _, i := range f.Instances() {
		if i.DataCentre == "dc1" {
			i.Kill()
		}
	}
	by := f.Instances()[0]
	revision := mustAccept(t, by.Propose(1, configuration.SwitchPreset{Name: "Peak"}))
	if took, ok := f.RunUntilInForce(9*time.Second, revision, nil); !ok {
		t.Errorf("not in force after %s", took)
	}
	f.Run(20 * time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, i := range f.Instances() {
		if !i.Running() {
			continue
		}
		for _, address := range i.Node.Members().Addresses(rng, "dc1").Addresses {
			if address[:5] == "10.1." {
				t.Fatalf("%s still answers %s", i.ID, address)
			}
		}
	}
	if on := by.Node.RolloutStatus(revision, statusReplies(f, 0)); on.Total != 36 || len(on.Missing) != 12 {
		t.Errorf("in force on %d of %d, missing %d", on.Applied, on.Total, len(on.Missing))
	}
	// New processes with the old identities return.
	for _, i := range f.Instances() {
		if i.DataCentre == "dc1" {
			i.Restart()
		}
	}
	f.Run(40 * time.Second)
	for _, i := range f.Instances() {
		for _, r := range i.Node.Members().Members() {
			if r.Status != membership.StatusAlive || !i.Node.Members().IsReachable(r) {
				t.Fatalf("%s sees %+v after the return", i.ID, r)
			}
		}
		if !i.Ready().Ready {
			t.Errorf("%s: %s", i.ID, i.Ready().Reason)
		}
	}
}

// Guards against a partition of data centres that stops changes on the side with
// the store, drops the members for good, or leaves the other side behind.
func TestPartitionedDataCentreCatchesUp(t *testing.T) {
	f := running(t, 24, 2)
	cut := fleet.Faults{Cut: cutBetween("dc1"), StoreCut: func(i *fleet.Instance) bool { return i.DataCentre == "dc1" }}
	f.SetFaults(cut)
	revision := mustAccept(t, f.Instances()[0].Propose(1, configuration.SwitchPreset{Name: "Peak"}))
	if _, ok := f.RunUntilInForce(2*time.Second, revision, outside("dc1")); !ok {
		t.Error("the side with the store is late")
	}
	f.Run(time.Minute)
	for _, i := range f.Instances() {
		if !i.Ready().Ready {
			t.Errorf("%s has peers but is not ready: %s", i.ID, i.Ready().Reason)
		}
		if i.DataCentre == "dc1" && i.Applier.Revision() != 1 {
			t.Errorf("%s learned a revision through the partition", i.ID)
		}
	}
	on := f.Instances()[0].Node.RolloutStatus(revision, nil)
	if len(on.Missing) != 12 {
		t.Errorf("missing %v", on.Missing)
	}
	// The peers come back before the store does.
	cut.Cut = nil
	f.SetFaults(cut)
	if took, ok := f.RunUntilInForce(9*time.Second, revision, inCentre("dc1")); !ok {
		t.Errorf("not caught up through peers after %s", took)
	}
}

// Guards against an instance that keeps taking work although it can't know
// whether its revision is in force, and against one that never recovers.
func TestIsolatedInstanceRefusesAfterNineSeconds(t *testing.T) {
	f := running(t, 9, 3)
	alone := f.Instances()[3]
	f.SetFaults(fleet.Faults{
		Cut:      func(a, b *fleet.Instance) bool { return a == alone || b == alone },
		StoreCut: func(i *fleet.Instance) bool { return i == alone },
	})
	f.Run(7 * time.Second)
	if !alone.Ready().Ready {
		t.Errorf("refuses after 7 s: %s", alone.Ready().Reason)
	}
	f.Run(3 * time.Second)
	if alone.Ready().Ready {
		t.Error("still takes work after 10 s")
	}
	f.SetFaults(fleet.Faults{})
	if took, ok := f.RunUntil(10*time.Second, func() bool { return alone.Ready().Ready }); !ok {
		t.Errorf("not ready %s after the cut ended", took)
	}
}

// Guards against an instance that wakes from a long pause and takes new work under
// its old revision, because messages that waited look like fresh contacts.
func TestPausedInstanceCatchesUpBeforeItTakesWork(t *testing.T) {
	f := running(t, 12, 3)
	paused := f.Instances()[4]
	const pause = 12 * time.Second
	// The pause begins while a reply is on its way.
	before := paused.Traffic().Requests
	f.RunUntil(5*time.Second, func() bool { return paused.Traffic().Requests > before })
	paused.Pause(pause)
	f.Run(10 * time.Millisecond)
	revision := mustAccept(t, f.Instances()[0].Propose(1, configuration.SwitchPreset{Name: "Peak"}))
	// A paused process takes no work, so only what it would do after waking counts.
	f.Run(pause - 20*time.Millisecond)
	if took, ok := f.RunUntil(time.Second, func() bool { return paused.Ready().Ready && paused.Applier.Revision() < revision }); ok {
		t.Errorf("ready under the old revision %s after waking", took)
	}
	took, ok := f.RunUntil(5*time.Second, func() bool { return paused.Ready().Ready })
	if !ok || paused.Applier.Revision() != revision {
		t.Errorf("%s after waking: ready %v, revision %d", took, ok, paused.Applier.Revision())
	}
}

// Guards against an instance that can't start while the store is down although
// its peers have the configuration, and against one that starts with nothing.
func TestStartWithoutTheStore(t *testing.T) {
	f := running(t, 9, 3)
	f.Table().SetFaults(table.Faults{Outage: true})
	f.Instances()[5].Restart()
	if took, ok := f.RunUntil(5*time.Second, func() bool { return f.Instances()[5].Ready().Ready }); !ok {
		t.Errorf("not ready %s after its start: %s", took, f.Instances()[5].Ready().Reason)
	}
	for _, i := range f.Instances() {
		i.Restart()
	}
	f.Run(30 * time.Second)
	for _, i := range f.Instances() {
		if i.Ready().Ready {
			t.Errorf("%s is ready without any configuration", i.ID)
		}
	}
	f.Table().SetFaults(table.Faults{})
	if took, ok := f.RunUntilInForce(15*time.Second, 1, nil); !ok {
		t.Errorf("no configuration %s after the outage", took)
	}
}

// Guards against callers that gather on few instances, that are sent to leaving
// ones, or whose answer is useless when half of the instances have just gone.
func TestAddressesAreSpreadAndSurvive(t *testing.T) {
	f := running(t, 36, 3)
	f.Instances()[3].Leave()
	f.Run(5 * time.Second)
	members, rng := f.Instances()[0].Node.Members(), rand.New(rand.NewPCG(5, 5))
	gone := make(map[string]bool)
	for _, n := range rng.Perm(36)[:18] {
		gone[f.Instances()[n].Address] = true
	}
	const answers = 20000
	counts, useless := make(map[string]int), 0
	for range answers {
		answer := members.Addresses(rng, "dc1")
		for _, address := range answer.Addresses {
			counts[address]++
		}
		if !slices.ContainsFunc(answer.Addresses, func(a string) bool { return !gone[a] }) {
			useless++
		}
	}
	if counts[f.Instances()[3].Address] > 0 {
		t.Error("a leaving instance is in the answers")
	}
	for _, i := range f.Instances() {
		// 5 of 8 addresses go to the 12 members of the caller's data centre and 3
		// to the other 23; 10% covers the random choice.
		want := answers * 3 / 23
		if i.DataCentre == "dc1" {
			want = answers * 5 / 12
		}
		if got := counts[i.Address]; i != f.Instances()[3] && (got < want*9/10 || got > want*11/10) {
			t.Errorf("%s is in %d answers, expected about %d", i.ID, got, want)
		}
	}
	if useless > answers/100 {
		t.Errorf("%d of %d answers hold only instances that went", useless, answers)
	}
}
