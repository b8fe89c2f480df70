// Package intake decides how much memory the requests of callers may hold together, and which of them make room when it is
// short.
package intake

import (
	"time"

	"gorseline/core"
)

const (
	// progressWindow is the shortest time over which the progress of a request is judged. Sound callers may pause for less.
	progressWindow = time.Second
	// slowRate is the rate in bytes a second below which an unfinished request counts as slow. A body of 4 MiB takes a
	// minute at this rate, longer than most requests may last.
	slowRate = 64 << 10
)

// Progress is how far a request has arrived. The zero value is that of a request that begins at the start of the process.
type Progress struct {
	arrived int64
	// last is the time of the latest arrival.
	last core.Instant
	// at and from are the time and the arrived bytes at the start of the window, nextAt and nextFrom those of the next one.
	at, nextAt     core.Instant
	from, nextFrom int64
}

// NewProgress returns the progress of a request that begins now.
func NewProgress(now core.Instant) Progress { return Progress{last: now, at: now, nextAt: now} }

// WithArrival returns the progress after bytes have arrived.
func (p Progress) WithArrival(now core.Instant, bytes int64) Progress {
	if now.Sub(p.nextAt) >= progressWindow {
		p.at, p.from = p.nextAt, p.nextFrom
		p.nextAt, p.nextFrom = now, p.arrived
	}
	p.arrived += bytes
	p.last = now
	return p
}

// IsSlow reports whether none or few bytes have arrived over the last window or longer.
func (p Progress) IsSlow(now core.Instant) bool {
	if now.Sub(p.last) >= progressWindow {
		return true
	}
	age := now.Sub(p.at)
	return age >= progressWindow && float64(p.arrived-p.from) < slowRate*age.Seconds()
}
