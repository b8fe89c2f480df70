package retry

import (
	"maps"
	"sync"
	"time"

	"gorseline/core"
)

// MaxPause bounds a pause that a target asks for.
const MaxPause = time.Hour

// maxPauses bounds the targets whose pauses are known.
const maxPauses = 4096

// Pauses holds the times for which targets have asked this instance to send them nothing. It is safe for
// concurrent use.
type Pauses struct {
	mu     sync.Mutex
	pauses map[core.TargetID]pause
}

// pause is the pause of one process of a target.
type pause struct {
	started int64
	until   core.Instant
}

// NewPauses returns a Pauses without pauses.
func NewPauses() *Pauses { return &Pauses{pauses: map[core.TargetID]pause{}} }

// Record records that the process of a target asks for a pause from now on. Of several pauses the one
// that ends last holds. It returns false if that one was known before.
func (p *Pauses) Record(now core.Instant, target *core.Registration, length time.Duration) bool {
	until := now.Add(min(length, MaxPause))
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.pauses[target.ID]
	if ok && known.started == target.Started && known.until >= until {
		return false
	}
	if len(p.pauses) >= maxPauses {
		maps.DeleteFunc(p.pauses, func(_ core.TargetID, other pause) bool { return now >= other.until })
	}
	p.pauses[target.ID] = pause{target.Started, until}
	return true
}

// Left returns how much longer a target must be sent nothing, or 0.
func (p *Pauses) Left(now core.Instant, target *core.Registration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.pauses[target.ID]
	if !ok || known.started != target.Started {
		return 0
	}
	return max(0, known.until.Sub(now))
}
