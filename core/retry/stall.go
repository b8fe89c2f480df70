package retry

import (
	"time"

	"gorseline/core"
)

// Patience determines how long to wait for an engine that doesn't answer. In an overload, as
// after a restart of all instances, the expected times of prompts are far too short. Prompts that
// were cancelled then and sent to the next engine, just as busy, would take the time that the
// others wait for. An engine that still completes prompts is therefore waited for.
type Patience struct {
	// Timeout is the time without any completed prompt after which an engine counts as
	// stalled.
	Timeout time.Duration
}

// Extend returns until when to wait for an engine that completed a prompt last at lastComputed.
// It returns false if the engine is stalled.
func (p Patience) Extend(now, lastComputed core.Instant) (core.Instant, bool) {
	until := lastComputed.Add(p.Timeout)
	return until, lastComputed != 0 && until > now
}
