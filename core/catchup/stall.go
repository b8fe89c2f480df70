package catchup

import (
	"time"

	"gorseline/core"
)

const (
	// stallTime is the time between two ticks, which are 100 ms apart, from which the process stood still
	// meanwhile. For drainTime after that, what is received may have waited since.
	stallTime = 500 * time.Millisecond
	drainTime = time.Second
)

// stallDetector notices that the process stood still. Its user must lock it.
type stallDetector struct {
	// tickedAt is the time of the last tick, if hasTicked. The process stood still from stalledAt to
	// resumedAt, if hasStalled.
	hasTicked            bool
	tickedAt             core.Instant
	hasStalled           bool
	stalledAt, resumedAt core.Instant
}

// tick notes that the process runs, and whether it has stood still since the last tick.
func (d *stallDetector) tick(now core.Instant) {
	if d.hasTicked && now.Sub(d.tickedAt) >= stallTime {
		if !d.hasStalled || now.Sub(d.resumedAt) >= drainTime {
			d.stalledAt = d.tickedAt
		}
		d.hasStalled, d.resumedAt = true, now
	}
	d.hasTicked, d.tickedAt = true, now
}

// arrivedAfter returns a time before a message arrived that is handled now. It may have waited while the
// process stood still.
func (d *stallDetector) arrivedAfter(now core.Instant) core.Instant {
	if d.hasStalled && now.Sub(d.resumedAt) < drainTime {
		return d.stalledAt
	}
	return now
}
