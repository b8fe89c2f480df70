package catchup_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
)

func at(ms int) core.Instant { return core.Instant(time.Duration(ms) * time.Millisecond) }

// Guards against an instance that the platform refuses and that never learns of a new
// configuration, and against needless copies where the platform tells in time.
func TestConfigurationIsTakenFromAPeerThatIsAhead(t *testing.T) {
	c := catchup.New(random.New(1))
	c.SetVersion(catchup.Configuration, 4)
	c.ObservePeerVersion(at(1000), catchup.Configuration, "p1", 6)
	if due := c.DuePulls(at(1200)); len(due) > 0 {
		t.Errorf("due after 200 ms: %+v", due)
	}
	due := c.DuePulls(at(1300))
	if len(due) != 1 || due[0].Peer != "p1" || due[0].Resource != catchup.Configuration {
		t.Fatalf("due %+v", due)
	}
	if again := c.DuePulls(at(1400)); len(again) > 0 {
		t.Errorf("taken twice within 100 ms: %+v", again)
	}
	c.PullFailed(due[0])
	c.ObservePeerVersion(at(1900), catchup.Configuration, "p2", 6)
	if due := c.DuePulls(at(2200)); len(due) != 1 || due[0].Peer != "p2" {
		t.Errorf("no other peer after a failure: %+v", due)
	}
	c.SetVersion(catchup.Configuration, 6)
	if due := c.DuePulls(at(9000)); len(due) > 0 {
		t.Errorf("due although up to date: %+v", due)
	}
}

// Guards against copies of the target list on each renewal of an entry.
func TestTargetsAreTakenOnlyWhileOwnReadsFail(t *testing.T) {
	c := catchup.New(random.New(1))
	c.SetVersion(catchup.Targets, 10)
	c.ObservePeerVersion(at(0), catchup.Targets, "p", 20)
	if due := c.DuePulls(at(5000)); len(due) > 0 {
		t.Errorf("due %+v", due)
	}
	c.RecordRead(at(5000), catchup.Targets, false)
	if due := c.DuePulls(at(6000)); len(due) != 1 {
		t.Errorf("due %+v", due)
	}
}

// Guards against followers that go on relying on readers that have died.
func TestFollowerReadsWhenNoReaderIsHeardOf(t *testing.T) {
	c := catchup.New(random.New(1))
	c.SetFollower(true)
	if !c.MustRead(at(0)) {
		t.Error("a new follower relies on readers it has not heard of")
	}
	c.SetVersion(catchup.Configuration, 1)
	c.SetVersion(catchup.Targets, 1)
	c.ObserveReader(at(1000))
	if c.MustRead(at(1500)) {
		t.Error("reads although a reader was just heard of")
	}
	if !c.MustRead(at(2300)) {
		t.Error("still relies on a reader that was silent for 1.3 s")
	}
	c.ObservePeerVersion(at(2300), catchup.Targets, "p", 2)
	c.ObserveReader(at(2300))
	if due := c.DuePulls(at(2300)); len(due) != 1 {
		t.Errorf("a follower waits for its own read: %+v", due)
	}
}

// Guards against a follower that waits for a peer which can't send a large configuration
// in time (grown ksg-limits, trouble-2: 1,328 routes over links of 10 Mbit/s).
func TestFollowerReadsAfterAFailedTaking(t *testing.T) {
	c := catchup.New(random.New(1))
	c.SetFollower(true)
	c.SetVersion(catchup.Configuration, 5)
	c.SetVersion(catchup.Targets, 5)
	c.ObserveReader(at(1000))
	c.ObservePeerVersion(at(1000), catchup.Configuration, "p1", 7)
	c.ObservePeerVersion(at(1000), catchup.Configuration, "p2", 7)
	due := c.DuePulls(at(1000))
	if len(due) != 1 {
		t.Fatalf("due %+v", due)
	}
	c.PullFailed(due[0])
	if !c.MustRead(at(1100)) {
		t.Error("does not read the platform after a failed taking")
	}
	c.ObserveReader(at(1400))
	if again := c.DuePulls(at(1500)); len(again) != 1 || again[0].Peer == due[0].Peer {
		t.Errorf("due %+v after %s failed", again, due[0].Peer)
	}
}

// Guards against a reader whose word counts although its reads fail.
func TestReaderWithoutReadsIsNoReader(t *testing.T) {
	c := catchup.New(random.New(1))
	if c.HasRecentReads(at(0)) {
		t.Error("reads before the first one succeeded")
	}
	c.RecordRead(at(0), catchup.Configuration, true)
	c.RecordRead(at(0), catchup.Targets, true)
	if !c.HasRecentReads(at(1000)) || c.HasRecentReads(at(3000)) {
		t.Error("a successful read is good for 2 s")
	}
	c.RecordRead(at(3000), catchup.Configuration, true)
	c.RecordRead(at(3000), catchup.Targets, false)
	if c.HasRecentReads(at(3100)) {
		t.Error("reads although the registry is out of reach")
	}
}
