// Package weights is a stand-in for the platform's rate-limited store of model weights.
// Only engines fetch from it.
package weights

import (
	"sync"
	"time"
)

// Store is a rate limiter that starts one fetch per interval and queues the others. It is
// safe for concurrent use.
type Store struct {
	interval time.Duration

	mu        sync.Mutex
	nextStart time.Time // when the next fetch may start
	outage    bool
	fetches   int
}

// New returns a store that starts one fetch per interval.
func New(interval time.Duration) *Store { return &Store{interval: interval} }

// SetOutage makes the store refuse fetches, or accept them again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// ReserveFetch reserves the next start of a fetch and returns the time from now until
// then. It returns false during an outage.
func (s *Store) ReserveFetch(now time.Time) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 0, false
	}
	start := s.nextStart
	if start.Before(now) {
		start = now
	}
	s.nextStart = start.Add(s.interval)
	s.fetches++
	return start.Sub(now), true
}

// Fetches returns the number of reserved fetches.
func (s *Store) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}
