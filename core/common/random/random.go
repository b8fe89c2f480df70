// Package random provides a seeded pseudorandom generator that many goroutines can use at
// once.
package random

import "sync/atomic"

// increment is the constant of the SplitMix64 generator (Steele, Lea and Flood, 2014).
const increment = 0x9e3779b97f4a7c15

// Source is a SplitMix64 generator. It is safe for concurrent use and allocates
// nothing. The zero value is a source with seed 0.
type Source struct{ state atomic.Uint64 }

// New returns a source whose values are determined by the seed.
func New(seed uint64) *Source {
	source := &Source{}
	source.state.Store(seed)
	return source
}

// Uint64 returns the next value.
func (s *Source) Uint64() uint64 { return Mix(s.state.Add(increment)) }

// IntN returns a value in [0, n); n must be positive and less than 1<<32.
func (s *Source) IntN(n int) int { return int((s.Uint64() >> 32) * uint64(n) >> 32) }

// Float64 returns a value in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// Mix is the finaliser of SplitMix64: a bijective hash in which each bit of x affects all
// bits of the result.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
