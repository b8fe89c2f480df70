// Package ring provides a ring buffer that overwrites its oldest value when it is full.
package ring

// Ring is a ring buffer of fixed capacity. It is not safe for concurrent use.
type Ring[T any] struct {
	values  []T
	first   int
	count   int
	dropped uint64
}

// New returns an empty ring; capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{values: make([]T, capacity)}
}

// Push adds v. If the ring is full, v replaces the oldest value, which counts as dropped.
func (r *Ring[T]) Push(v T) {
	if r.count == len(r.values) {
		r.values[r.first] = v
		r.first = (r.first + 1) % len(r.values)
		r.dropped++
		return
	}
	r.values[(r.first+r.count)%len(r.values)] = v
	r.count++
}

// Snapshot returns the values from oldest to newest.
func (r *Ring[T]) Snapshot() []T {
	out := make([]T, 0, r.count)
	for i := range r.count {
		out = append(out, r.values[(r.first+i)%len(r.values)])
	}
	return out
}

// Drain removes and returns up to limit values, from oldest to newest.
func (r *Ring[T]) Drain(limit int) []T {
	n := min(limit, r.count)
	out := make([]T, 0, n)
	var zero T
	for range n {
		out = append(out, r.values[r.first])
		r.values[r.first] = zero
		r.first = (r.first + 1) % len(r.values)
	}
	r.count -= n
	return out
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int { return r.count }

// Dropped returns the number of values that Push has replaced.
func (r *Ring[T]) Dropped() uint64 { return r.dropped }
