// Package weights is a stand-in of the platform's rate-limited weight store. Only
// engines fetch from it.
package weights

import (
	"sync"
	"time"
)

// Store lets one fetch begin per interval; others queue. It is safe for concurrent use.
type Store struct {
	interval time.Duration

	mu      sync.Mutex
	next    time.Time // when the next fetch may begin
	outage  bool
	fetches int
}

// New returns a store that lets one fetch begin per interval.
func New(interval time.Duration) *Store { return &Store{interval: interval} }

// SetOutage makes the store refuse fetches, or take them again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// ReserveFetch takes a place for a fetch and returns the time until it begins. It returns false
// during an outage.
func (s *Store) ReserveFetch(now time.Time) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 0, false
	}
	begin := s.next
	if begin.Before(now) {
		begin = now
	}
	s.next = begin.Add(s.interval)
	s.fetches++
	return begin.Sub(now), true
}

// Fetches returns how many fetches were taken.
func (s *Store) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}
