package retry

import "time"

// Backoff spaces out attempts with exponentially growing, fully jittered delays: any
// delay up to the bound is equally likely, which spreads callers that failed together.
type Backoff struct {
	// Base bounds the first delay; every further bound is twice as long, up to Max.
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before retry number attempt, which counts from 1. unit is a
// random number from 0 up to 1.
func (b Backoff) Delay(attempt int, unit float64) time.Duration {
	return time.Duration(unit * float64(b.bound(attempt)))
}

func (b Backoff) bound(attempt int) time.Duration {
	bound := b.Base
	for i := 1; i < attempt && bound < b.Max; i++ {
		bound *= 2
	}
	return min(bound, b.Max)
}
