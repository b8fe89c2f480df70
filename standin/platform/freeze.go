package platform

import (
	"net"
	"time"
)

// Freeze makes the target send nothing for a time, in all of its streams, to new requests and to
// releases of handles. It
// then goes on as if nothing had happened.
func (t *Target) Freeze(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frozenUntil = time.Now().Add(d)
}

// waitWhileFrozen waits for the end of a freeze. It reports whether the client has kept the
// connection open.
func (t *Target) waitWhileFrozen(conn net.Conn) bool {
	for {
		t.mu.Lock()
		left := time.Until(t.frozenUntil)
		t.mu.Unlock()
		if left <= 0 {
			return true
		}
		if !waitUnlessClosed(conn, left) {
			return false
		}
	}
}

// recordEnd records the end of a run.
func (t *Target) recordEnd(run int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[run].EndedAt = time.Now()
}
