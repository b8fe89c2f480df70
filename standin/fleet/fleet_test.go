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

// startFleet returns a fleet 15 s after its start.
func startFleet(t *testing.T, instances, dataCentres int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(fleet.Options{Instances: instances, DataCentres: dataCentres, Seed: 1, Configuration: fleet.SampleConfiguration(20, 5)})
	if err != nil {
		t.Fatal(err)
	}
	f.Run(15 * time.Second)
	return f
}

// statusOf returns the status of a member in the view of an instance. A member that is not
// in the view is dead.
func statusOf(observer, member *fleet.Instance) membership.Status {
	for _, r := range observer.Node.Members().Members() {
		if r.ID == member.ID {
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

func inDataCentre(dc core.DataCentre) func(*fleet.Instance) bool {
	return func(i *fleet.Instance) bool { return i.DataCentre == dc }
}

func outsideDataCentre(dc core.DataCentre) func(*fleet.Instance) bool {
	return func(i *fleet.Instance) bool { return i.DataCentre != dc }
}

// acrossBoundaryOf returns a function for Faults.Cut that selects the messages between a
// data centre and the others.
func acrossBoundaryOf(dc core.DataCentre) func(a, b *fleet.Instance) bool {
	return func(a, b *fleet.Instance) bool { return (a.DataCentre == dc) != (b.DataCentre == dc) }
}

// Guards against instances that don't discover each other or the configuration, and
// against a change that takes longer than the limit of 2 s for 9 instances. Of two
// operators that change the same revision one must succeed, and the other must get a
// conflict that shows the accepted change.
func TestNineInstancesApplyAcceptedChangeWithinTwoSeconds(t *testing.T) {
	f := startFleet(t, 9, 3)
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
	if rollout := f.Instances()[7].Node.RolloutStatus(revision, statusReplies(f, 7)); rollout.Applied != 9 || rollout.Total != 9 {
		t.Errorf("rollout: %+v", rollout)
	}
}

// statusReplies returns the replies of the running instances that an instance asks for
// their status.
func statusReplies(f *fleet.Fleet, observer int) []propagation.StatusReply {
	var replies []propagation.StatusReply
	for _, r := range f.Instances()[observer].Node.Readers() {
		for _, i := range f.Instances() {
			if i.ID == r.ID && i.Running() {
				replies = append(replies, i.Node.HandleStatus())
			}
		}
	}
	return replies
}

// Guards against a push tree that sends a change to a member repeatedly, and against one
// that misses members, which then wait for the slower pulls.
func TestPushReachesEachMemberOnce(t *testing.T) {
	f := startFleet(t, 60, 2)
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
	// Two readers of each data centre may read a change before it is pushed to them. The
	// upper bound allows half of the pushes to be repeated.
	if got := f.Traffic().Pushes - before; got < changes*56 || got > changes*60*3/2 {
		t.Errorf("%d pushes of %d changes to 60 members", got, changes)
	}
}

// Guards against members that drop each other after the whole fleet starts, because a
// delegate that has just started lists only some members of its data centre.
func TestColdStartConverges(t *testing.T) {
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
	// 18 readers read the head row 40 times each, and the configuration has 32 rows. If
	// each reader loads it once, 1,296 rows are read; the bound is twice that.
	if rows := f.Table().Counts().RowsRead; rows > 2*18*(40+32) {
		t.Errorf("%d rows read during the start", rows)
	}
}

// Guards against an unresponsive member whose address is still returned to callers, against
// a slow member that is dropped without being suspected first, and against a dropped member
// that can't rejoin after its pause.
func TestUnresponsiveMemberIsDroppedAndRejoins(t *testing.T) {
	f := startFleet(t, 24, 2)
	paused, observer := f.Instances()[2], f.Instances()[4]
	before := paused.Node.Members().Self().Incarnation
	paused.Pause(12 * time.Second)
	suspected, ok := f.RunUntil(8*time.Second, func() bool { return statusOf(observer, paused) == membership.StatusSuspect })
	if !ok {
		t.Fatal("the paused member was not suspected")
	}
	if dropped, ok := f.RunUntil(8*time.Second-suspected, func() bool { return statusOf(observer, paused) == membership.StatusDead }); !ok {
		t.Errorf("not dropped %s after it was suspected", dropped)
	}
	f.Run(20 * time.Second)
	if statusOf(observer, paused) != membership.StatusAlive {
		t.Error("the member did not rejoin after its pause")
	}
	if after := paused.Node.Members().Self().Incarnation; after <= before {
		t.Errorf("incarnation %d after %d", after, before)
	}
	for _, i := range f.Instances() {
		if n := len(i.Node.Members().Members()); n != 24 {
			t.Errorf("%s knows %d members after the pause", i.ID, n)
		}
	}
}

// Guards against message loss that makes members drop others that are running.
func TestLossDoesNotDropMembers(t *testing.T) {
	f := startFleet(t, 24, 2)
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

// proposeUnderFaults proposes changes while messages are lost, duplicated and reordered
// and instances are paused and restarted. It returns the last revision.
func proposeUnderFaults(t *testing.T, f *fleet.Fleet) core.Revision {
	t.Helper()
	f.SetFaults(fleet.Faults{Loss: 0.1, Duplicate: 0.3, Jitter: 3 * time.Second})
	rng := rand.New(rand.NewPCG(3, 4))
	revision := core.Revision(1)
	for n := range 40 {
		name := "Peak"
		if n%2 == 1 {
			name = "Ordinary"
		}
		proposer := f.Instances()[rng.IntN(len(f.Instances()))]
		revision = mustAccept(t, proposer.Propose(revision, configuration.SwitchPreset{Name: name}))
		f.Run(time.Duration(rng.Int64N(int64(time.Second))))
		f.Instances()[rng.IntN(len(f.Instances()))].Pause(3 * time.Second)
		if n%10 == 9 {
			f.Instances()[rng.IntN(len(f.Instances()))].Restart()
		}
	}
	return revision
}

// Guards against an instance that replaces its revision by an older one, and against a
// change that never arrives, when pushes are duplicated, reordered and delayed. The same
// run without the revision check must show reverts.
func TestRevisionsNeverRevert(t *testing.T) {
	f := startFleet(t, 12, 3)
	revision := proposeUnderFaults(t, f)
	f.SetFaults(fleet.Faults{})
	if took, ok := f.RunUntilInForce(9*time.Second, revision, nil); !ok {
		t.Errorf("revision %d is not in force everywhere after %s", revision, took)
	}
	if n := f.Reverts(); n != 0 {
		t.Errorf("%d reverts", n)
	}
	mutant := startFleet(t, 12, 3)
	for _, i := range mutant.Instances() {
		i.DisableRevisionCheck()
	}
	proposeUnderFaults(t, mutant)
	if mutant.Reverts() == 0 {
		t.Error("no revert without the revision check")
	}
}

// Guards against a lost data centre that delays changes in the others beyond 9 s, whose
// addresses are still returned to callers, or that can't rejoin.
func TestLostDataCentre(t *testing.T) {
	f := startFleet(t, 36, 3)
	for _, i := range f.Instances() {
		if i.DataCentre == "dc1" {
			i.Kill()
		}
	}
	proposer := f.Instances()[0]
	revision := mustAccept(t, proposer.Propose(1, configuration.SwitchPreset{Name: "Peak"}))
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
				t.Fatalf("%s still returns %s", i.ID, address)
			}
		}
	}
	if rollout := proposer.Node.RolloutStatus(revision, statusReplies(f, 0)); rollout.Total != 36 || len(rollout.Missing) != 12 {
		t.Errorf("in force on %d of %d, missing %d", rollout.Applied, rollout.Total, len(rollout.Missing))
	}
	// New processes rejoin with the old identities.
	for _, i := range f.Instances() {
		if i.DataCentre == "dc1" {
			i.Restart()
		}
	}
	f.Run(40 * time.Second)
	for _, i := range f.Instances() {
		for _, r := range i.Node.Members().Members() {
			if r.Status != membership.StatusAlive || !i.Node.Members().IsReachable(r) {
				t.Fatalf("%s has %+v after the data centre rejoined", i.ID, r)
			}
		}
		if !i.Ready().Ready {
			t.Errorf("%s: %s", i.ID, i.Ready().Reason)
		}
	}
}

// Guards against a partition between data centres that delays changes on the side that
// reaches the store, drops the unreachable members from its rollout for good, makes the
// other side refuse work although its instances reach each other, or leaves that side on
// an old revision after the partition heals.
func TestPartitionedDataCentreCatchesUp(t *testing.T) {
	f := startFleet(t, 24, 2)
	faults := fleet.Faults{Cut: acrossBoundaryOf("dc1"), StoreCut: func(i *fleet.Instance) bool { return i.DataCentre == "dc1" }}
	f.SetFaults(faults)
	revision := mustAccept(t, f.Instances()[0].Propose(1, configuration.SwitchPreset{Name: "Peak"}))
	if _, ok := f.RunUntilInForce(2*time.Second, revision, outsideDataCentre("dc1")); !ok {
		t.Error("the change is late on the side that reaches the store")
	}
	f.Run(time.Minute)
	for _, i := range f.Instances() {
		if !i.Ready().Ready {
			t.Errorf("%s reaches peers but is not ready: %s", i.ID, i.Ready().Reason)
		}
		if i.DataCentre == "dc1" && i.Applier.Revision() != 1 {
			t.Errorf("%s received a revision through the partition", i.ID)
		}
	}
	rollout := f.Instances()[0].Node.RolloutStatus(revision, nil)
	if len(rollout.Missing) != 12 {
		t.Errorf("missing %v", rollout.Missing)
	}
	// The peers are reachable again before the store is.
	faults.Cut = nil
	f.SetFaults(faults)
	if took, ok := f.RunUntilInForce(9*time.Second, revision, inDataCentre("dc1")); !ok {
		t.Errorf("not caught up through peers after %s", took)
	}
}

// Guards against an instance that accepts work although it can't confirm that its
// revision is in force, and against one that stays unready after contact is restored.
func TestIsolatedInstanceRefusesAfterNineSeconds(t *testing.T) {
	f := startFleet(t, 9, 3)
	isolated := f.Instances()[3]
	f.SetFaults(fleet.Faults{
		Cut:      func(a, b *fleet.Instance) bool { return a == isolated || b == isolated },
		StoreCut: func(i *fleet.Instance) bool { return i == isolated },
	})
	f.Run(7 * time.Second)
	if !isolated.Ready().Ready {
		t.Errorf("not ready after 7 s of isolation: %s", isolated.Ready().Reason)
	}
	f.Run(3 * time.Second)
	if isolated.Ready().Ready {
		t.Error("still ready after 10 s of isolation")
	}
	f.SetFaults(fleet.Faults{})
	if took, ok := f.RunUntil(10*time.Second, func() bool { return isolated.Ready().Ready }); !ok {
		t.Errorf("not ready %s after the isolation ended", took)
	}
}

// Guards against an instance that resumes after a long pause and accepts work under its
// old revision, because it treats messages from before the pause as recent contacts.
func TestPausedInstanceCatchesUpBeforeItAcceptsWork(t *testing.T) {
	f := startFleet(t, 12, 3)
	paused := f.Instances()[4]
	const pause = 12 * time.Second
	// The pause begins while a reply is in transit.
	before := paused.Traffic().Requests
	f.RunUntil(5*time.Second, func() bool { return paused.Traffic().Requests > before })
	paused.Pause(pause)
	f.Run(10 * time.Millisecond)
	revision := mustAccept(t, f.Instances()[0].Propose(1, configuration.SwitchPreset{Name: "Peak"}))
	// A paused process accepts no work, so only its readiness after the pause matters.
	f.Run(pause - 20*time.Millisecond)
	if took, ok := f.RunUntil(time.Second, func() bool { return paused.Ready().Ready && paused.Applier.Revision() < revision }); ok {
		t.Errorf("ready under the old revision %s after the pause", took)
	}
	took, ok := f.RunUntil(5*time.Second, func() bool { return paused.Ready().Ready })
	if !ok || paused.Applier.Revision() != revision {
		t.Errorf("%s after the pause: ready %v, revision %d", took, ok, paused.Applier.Revision())
	}
}

// Guards against an instance that can't start during a store outage although its peers
// have the configuration, and against one that becomes ready without a configuration.
func TestStartWithoutTheStore(t *testing.T) {
	f := startFleet(t, 9, 3)
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

// Guards against addresses that are unevenly distributed or include a leaving instance,
// and against answers without any running instance when half of the instances have
// failed and the members haven't noticed yet.
func TestAddressesAreBalancedAndIncludeRunningInstance(t *testing.T) {
	f := startFleet(t, 36, 3)
	f.Instances()[3].Leave()
	f.Run(5 * time.Second)
	members, rng := f.Instances()[0].Node.Members(), rand.New(rand.NewPCG(5, 5))
	failed := make(map[string]bool)
	for _, n := range rng.Perm(36)[:18] {
		failed[f.Instances()[n].Address] = true
	}
	const answers = 20000
	counts, unusable := make(map[string]int), 0
	for range answers {
		answer := members.Addresses(rng, "dc1")
		for _, address := range answer.Addresses {
			counts[address]++
		}
		if !slices.ContainsFunc(answer.Addresses, func(a string) bool { return !failed[a] }) {
			unusable++
		}
	}
	if counts[f.Instances()[3].Address] > 0 {
		t.Error("answers include a leaving instance")
	}
	for _, i := range f.Instances() {
		// 5 of the 8 addresses of an answer are from the 12 members of the caller's data
		// centre and 3 from the other 23. The tolerance of 10% covers random variation.
		want := answers * 3 / 23
		if i.DataCentre == "dc1" {
			want = answers * 5 / 12
		}
		if got := counts[i.Address]; i != f.Instances()[3] && (got < want*9/10 || got > want*11/10) {
			t.Errorf("%s is in %d answers, expected about %d", i.ID, got, want)
		}
	}
	if unusable > answers/100 {
		t.Errorf("%d of %d answers have only failed instances", unusable, answers)
	}
}
