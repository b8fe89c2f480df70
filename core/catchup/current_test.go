package catchup

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Guards against an instance that takes its copies for complete although its reads are old, or
// although a reader has announced versions that it doesn't have.
func TestCurrentAt(t *testing.T) {
	at := func(d time.Duration) core.Instant { return core.Instant(d) }
	tracker := New(random.New(1))
	check := func(what string, want core.Instant, wantOK bool) {
		t.Helper()
		if got, ok := tracker.CurrentAt(); got != want || ok != wantOK {
			t.Errorf("%s: %v %v, want %v %v", what, got, ok, want, wantOK)
		}
	}
	tracker.RecordRead(at(time.Second), Targets, true)
	if _, ok := tracker.CurrentAt(); ok {
		t.Error("current without a configuration")
	}
	tracker.RecordRead(at(2*time.Second), Configuration, true)
	check("both read", at(time.Second), true)
	tracker.RecordRead(at(3*time.Second), Targets, false)
	check("a failed read", at(time.Second), true)
	tracker.ConfirmTargets(at(3 * time.Second))
	check("targets confirmed", at(3*time.Second), true)
	tracker.ConfirmTargets(at(9 * time.Second))
	check("an older configuration", at(2*time.Second).Add(readValidity), true)
	tracker.SetVersion(Configuration, 5)
	tracker.SetVersion(Targets, 7)
	announce := func(read time.Duration, targets uint64) {
		tracker.ObserveReaderVersions(at(read).Add(readValidity), 5, targets)
	}
	announce(10*time.Second, 7)
	check("versions of a reader", at(10*time.Second), true)
	announce(11*time.Second, 9)
	announce(12*time.Second, 11)
	check("behind a reader", at(10*time.Second), true)
	tracker.SetVersion(Targets, 10)
	check("the first announced versions reached", at(11*time.Second), true)
	announce(13*time.Second, 12)
	tracker.SetVersion(Targets, 12)
	check("the next announced versions reached", at(13*time.Second), true)
}
