// Package random provides a seeded source of randomness for decisions that many
// goroutines take at once.
package random

import "sync/atomic"

// increment is the odd constant of the SplitMix64 generator (Steele, Lea and
// Flood, 2014).
const increment = 0x9e3779b97f4a7c15

// Source is a SplitMix64 generator. It is safe for concurrent use and allocates
// nothing. The zero value is a source with seed 0.
type Source struct{ state atomic.Uint64 }

// New returns a source that yields the same values for the same seed.
func New(seed uint64) *Source {
	source := &Source{}
	source.state.Store(seed)
	return source
}

// Uint64 returns the next value.
func (s *Source) Uint64() uint64 { return Mix(s.state.Add(increment)) }

// IntN returns a value from 0 to n-1; n must be positive.
func (s *Source) IntN(n int) int { return int((s.Uint64() >> 32) * uint64(n) >> 32) }

// Float64 returns a value from 0 up to, but not including, 1.
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// Mix spreads the bits of x over the whole result. It is a bijection.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
