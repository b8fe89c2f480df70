package catchup_test

import (
	"testing"

	"gorseline/core/catchup"
	"gorseline/core/common/random"
)

// Guards against instances that all read on after their first reads, although these are as recent as
// those of a reader, and against one that never reads again.
func TestFirstReadsLastUntilAReaderIsHeard(t *testing.T) {
	tests := map[string]uint64{"a platform with content": 5, "a platform without targets": 0}
	for name, version := range tests {
		tracker := catchup.New(random.New(1))
		tracker.SetVersion(catchup.Configuration, 5)
		tracker.SetVersion(catchup.Targets, version)
		tracker.RecordRead(at(10), catchup.Configuration, true)
		if version == 0 && !tracker.MustRead(at(20)) {
			t.Errorf("%s: the targets are never read", name)
		}
		tracker.RecordRead(at(30), catchup.Targets, true)
		if tracker.MustRead(at(1200)) {
			t.Errorf("%s: reads again after 1.2 s", name)
		}
		if !tracker.MustRead(at(1300)) {
			t.Errorf("%s: does not read although it has heard no reader", name)
		}
		tracker.ObserveReader(at(1250))
		if tracker.MustRead(at(1300)) {
			t.Errorf("%s: reads beside a reader", name)
		}
		tracker.ObservePeerVersion(at(1300), catchup.Targets, "p", 9)
		if due := tracker.DuePulls(at(1400)); len(due) != 1 {
			t.Errorf("%s: due %+v", name, due)
		}
	}
}
