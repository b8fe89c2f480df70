package retry

import "time"

// Backoff is an exponential backoff with full jitter: each delay is uniformly distributed
// from 0 to the bound, so that callers that failed at the same time don't retry together.
type Backoff struct {
	// Base bounds the first delay. The bound doubles with each retry, up to Max.
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before a retry; attempt counts retries from 1. unit is a random
// number in [0, 1).
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
