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
	check("nothing read", 0, false)
	tracker.RecordRead(at(time.Second), Targets, true)
	check("configuration not read", 0, false)
	tracker.RecordRead(at(2*time.Second), Configuration, true)
	check("both read", at(time.Second), true)
	tracker.RecordRead(at(3*time.Second), Targets, false)
	check("a failed read", at(time.Second), true)
	tracker.SetVersion(Configuration, 5)
	tracker.SetVersion(Targets, 7)
	tracker.ObserveReaderVersions(at(4*time.Second), 5, 7)
	check("versions of a reader", at(4*time.Second), true)
	tracker.ObserveReaderVersions(at(5*time.Second), 5, 9)
	tracker.ObserveReaderVersions(at(6*time.Second), 5, 11)
	check("behind a reader", at(4*time.Second), true)
	tracker.SetVersion(Targets, 10)
	check("the first announced versions reached", at(5*time.Second), true)
	tracker.ObserveReaderVersions(at(7*time.Second), 5, 12)
	tracker.SetVersion(Targets, 12)
	check("the next announced versions reached", at(7*time.Second), true)
}
