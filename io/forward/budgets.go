package forward

import (
	"sync"

	"gorseline/core"
	"gorseline/core/retry"
)

// RetryBudgetOptions configures the limit on retries that all instances share.
type RetryBudgetOptions struct {
	// Ratio is the number of retries that each request adds to the budget of its service.
	Ratio float64
	// Burst is the number of unused retries per service that all instances together may
	// save up.
	Burst float64
	// Instances is the assumed number of instances until SetInstances is called.
	Instances int
}

// GrantedBurstShare is the fraction of the burst that is divided among the instances. The
// rest covers instances that restart with a full share.
const GrantedBurstShare = 0.6

// RetryBudgets holds this instance's share of the retry budget of each service. It is safe
// for concurrent use.
type RetryBudgets struct {
	options RetryBudgetOptions

	mu        sync.Mutex
	instances int
	services  map[core.Service]*retry.Budget
}

// NewRetryBudgets returns the retry budgets of one instance.
func NewRetryBudgets(options RetryBudgetOptions) *RetryBudgets {
	return &RetryBudgets{options: options, instances: max(1, options.Instances), services: map[core.Service]*retry.Budget{}}
}

// budget returns the budget of a service and creates it if necessary.
func (b *RetryBudgets) budget(service core.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = retry.NewBudget(b.options.Ratio, b.instanceBurst())
		b.services[service] = budget
	}
	return budget
}

// instanceBurst returns this instance's share of the burst. The caller must hold b.mu.
func (b *RetryBudgets) instanceBurst() float64 {
	return GrantedBurstShare * b.options.Burst / float64(b.instances)
}

// Deposit adds the ratio to the budget of a service. It is called once per request.
func (b *RetryBudgets) Deposit(service core.Service) { b.budget(service).Deposit() }

// Withdraw takes one retry from the budget of a service and reports whether one was left.
func (b *RetryBudgets) Withdraw(service core.Service) bool { return b.budget(service).Withdraw() }

// SetLimits sets the ratio and the burst of all services.
func (b *RetryBudgets) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio, b.options.Burst = ratio, burst
	for _, budget := range b.services {
		budget.SetRatio(ratio)
		budget.SetBurst(b.instanceBurst())
	}
}

// Instances returns the number of live instances that share the limits.
func (b *RetryBudgets) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances
}

// SetInstances sets the number of live instances, which share the burst. A number
// below 1 counts as 1.
func (b *RetryBudgets) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(1, n); n == b.instances {
		return
	}
	b.instances = n
	for _, budget := range b.services {
		budget.SetBurst(b.instanceBurst())
	}
}
