package intake

import (
	"math"
	"time"

	"gorseline/core"
)

// Pace is the least progress that the body of a request must make. The zero value demands none.
type Pace struct {
	// Stall is the longest time in which nothing arrives; 0 means no limit.
	Stall time.Duration
	// Rate is the mean rate in bytes a second that a body must keep once it has taken longer than Start; 0 means no limit.
	Rate  int64
	Start time.Duration
}

// Deadline returns the time by which more of a body must arrive that began at a time and of which some bytes have arrived, the
// last ones now.
func (p Pace) Deadline(began, now core.Instant, arrived int64) core.Instant {
	deadline := core.Instant(math.MaxInt64)
	if p.Stall > 0 {
		deadline = now.Add(p.Stall)
	}
	if p.Rate > 0 {
		allowed := p.Start + time.Duration(float64(arrived)/float64(p.Rate)*float64(time.Second))
		deadline = min(deadline, began.Add(allowed))
	}
	return deadline
}
