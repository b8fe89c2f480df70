package retry

import "sync"

// Budget allows second attempts as a part of the fresh requests. It is safe for
// concurrent use.
type Budget struct {
	mutex  sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget. Each fresh request earns ratio attempts; up to burst
// unused attempts are kept, so that a quiet instance can still retry.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit counts a fresh request.
func (b *Budget) Deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw uses up one attempt and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetRatio changes the attempts that a fresh request earns, as when another preset comes
// into force.
func (b *Budget) SetRatio(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio = ratio
}

// SetBurst changes how many unused attempts are kept.
func (b *Budget) SetBurst(burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
