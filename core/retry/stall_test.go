package retry_test

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/retry"
)

// Guards against an engine that is given up while it completes prompts, and against one that is
// waited for although it has completed none since the timeout, or ever.
func TestPatienceFollowsCompletedPrompts(t *testing.T) {
	p := retry.Patience{Timeout: 300 * time.Millisecond}
	const now = core.Instant(10 * time.Second)
	for _, test := range []struct {
		lastComputed core.Instant
		wait         time.Duration // 0: stalled
	}{
		{0, 0},
		{now.Add(-time.Second), 0},
		{now.Add(-300 * time.Millisecond), 0},
		{now.Add(-100 * time.Millisecond), 200 * time.Millisecond},
		{now, 300 * time.Millisecond},
	} {
		until, ok := p.Extend(now, test.lastComputed)
		if ok != (test.wait > 0) || ok && until.Sub(now) != test.wait {
			t.Errorf("last prompt at %v: wait until %v, %v", test.lastComputed, until, ok)
		}
	}
}
