package retry

import (
	"sync/atomic"

	"gorseline/core"
)

// LastHeard is when a target last sent anything to this instance. It is safe for concurrent use.
type LastHeard struct{ at atomic.Int64 }

// Mark records that the target has sent something.
func (l *LastHeard) Mark(now core.Instant) { l.at.Store(int64(now)) }

// At returns the latest time recorded, or 0.
func (l *LastHeard) At() core.Instant { return core.Instant(l.at.Load()) }

// LastHeard returns the record of a target, which the relays of its streams keep up to date.
func (h *Health) LastHeard(id core.TargetID) *LastHeard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.target(id).heard
}

// RecordSilence records that a request has got nothing from a target for a while. It counts less
// than an attempt without an answer: it is forgotten at the target's next sign of life. It returns
// true if the target is avoided from now on.
func (h *Health) RecordSilence(now core.Instant, id core.TargetID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.target(id)
	wasOpen := t.isOpen()
	unit := h.random.Float64()
	t.silence.RecordFailure(now, unit)
	t.breaker.RecordSilence(now, unit)
	return !wasOpen && t.isOpen()
}

// RecordLife records that a silent target has gone on.
func (h *Health) RecordLife(now core.Instant, id core.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.targets[id]; ok {
		t.markAlive(now)
	}
}

func (t *targetHealth) isOpen() bool {
	return t.breaker.State() == CircuitOpen || t.silence.State() == CircuitOpen
}

// markAlive forgets the silences.
func (t *targetHealth) markAlive(now core.Instant) {
	t.heard.Mark(now)
	t.silence.Reset()
}
