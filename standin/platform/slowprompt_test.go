package platform_test

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a stream that may run once at most, comes late in the grace period and is cut at its end, since
// its prompt takes far longer than those before it.
func TestStreamWithSlowPromptThatRunsOnceIsNotCut(t *testing.T) {
	f := newLearnedFixture(t, "decode")
	f.targets[0].SetSlowPath("/slow", 2500*time.Millisecond)
	const left = 400 * time.Millisecond
	f.forwarder.StartDraining(left + pauseAllowance)
	time.AfterFunc(left+pauseAllowance, func() { f.forwarder.EndRequests() })
	got := f.sendStream("late", "/single/slow", 20)
	isRefused := got.status == http.StatusServiceUnavailable && len(f.runs("late")) == 0
	if isWhole := got.status == http.StatusOK && got.err == nil; !isRefused && !isWhole {
		t.Errorf("%+v after %d runs", got, len(f.runs("late")))
	}
}
