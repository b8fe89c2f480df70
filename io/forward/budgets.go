package forward

import (
	"sync"

	"gorseline/core"
	"gorseline/core/retry"
)

// RetryBudgetOptions are the limit on repeated sends that all instances share.
type RetryBudgetOptions struct {
	// Ratio is the number of further sends that a request to a service earns.
	Ratio float64
	// Burst is the number of further sends that all instances may keep together.
	Burst float64
	// Instances is the assumed number of instances until SetInstances is called.
	Instances int
}

// slackShare is the part of the slack that is handed out. The rest covers instances that
// restart with a full share.
const slackShare = 0.6

// RetryBudgets holds this instance's share of the retry budget of each service. It is safe
// for concurrent use.
type RetryBudgets struct {
	options RetryBudgetOptions

	mu        sync.Mutex
	instances int
	services  map[core.Service]*retry.Budget
}

// NewRetryBudgets returns the budgets of an instance.
func NewRetryBudgets(options RetryBudgetOptions) *RetryBudgets {
	return &RetryBudgets{options: options, instances: max(1, options.Instances), services: map[core.Service]*retry.Budget{}}
}

func (b *RetryBudgets) budget(service core.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = retry.NewBudget(b.options.Ratio, b.burst())
		b.services[service] = budget
	}
	return budget
}

func (b *RetryBudgets) burst() float64 { return slackShare * b.options.Burst / float64(b.instances) }

// Earn counts a request to a service.
func (b *RetryBudgets) Earn(service core.Service) { b.budget(service).Deposit() }

// Take uses up one further send to a service and reports whether there was one.
func (b *RetryBudgets) Take(service core.Service) bool { return b.budget(service).Withdraw() }

// SetLimits follows a change of the settings.
func (b *RetryBudgets) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio, b.options.Burst = ratio, slack
	for _, budget := range b.services {
		budget.SetRatio(ratio)
		budget.SetBurst(b.burst())
	}
}

// Instances returns the number of live instances that shares are counted for.
func (b *RetryBudgets) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances
}

// SetInstances follows the number of live instances, which share the slack.
func (b *RetryBudgets) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(1, n); n == b.instances {
		return
	}
	b.instances = n
	for _, budget := range b.services {
		budget.SetBurst(b.burst())
	}
}
