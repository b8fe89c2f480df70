package retry

import "sync"

// Budget is a token bucket that limits retries and hedges to a fraction of the requests. It
// is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget. Each request adds ratio tokens, and an attempt costs one
// token. The budget keeps up to burst tokens, so that an instance with few requests can
// still retry.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// NewEmptyBudget returns a budget without tokens. Processes that replace each other then never
// spend more than the tokens of their requests.
func NewEmptyBudget(ratio, burst float64) *Budget { return &Budget{ratio: ratio, burst: burst} }

// Deposit adds the tokens of a new request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw takes the token of one attempt. It returns false if none is left.
func (b *Budget) Withdraw() bool { return b.WithdrawN(1) }

// WithdrawN takes the tokens of n attempts. It returns false and takes none if fewer are left.
func (b *Budget) WithdrawN(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// SetRatio changes the number of tokens per request, as when another preset is activated.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// SetBurst changes the maximum number of tokens and drops those above it.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
