package forward

import (
	"sync"

	"gorseline/core"
	"gorseline/core/retry"
)

// BudgetOptions are the limit on repeated sends that all instances share.
type BudgetOptions struct {
	// Ratio is the number of further sends that a request to a service earns.
	Ratio float64
	// Slack is the number of further sends that all instances may keep together.
	Slack float64
	// Instances is the assumed number of instances until SetInstances is called.
	Instances int
}

// slackShare is the part of the slack that is handed out. The rest covers instances that
// restart with a full share.
const slackShare = 0.6

// Budgets holds this instance's share of the retry budget of each service. It is safe
// for concurrent use.
type Budgets struct {
	options BudgetOptions

	mu        sync.Mutex
	instances int
	services  map[core.Service]*retry.Budget
}

// NewBudgets returns the budgets of an instance.
func NewBudgets(options BudgetOptions) *Budgets {
	return &Budgets{options: options, instances: max(1, options.Instances), services: map[core.Service]*retry.Budget{}}
}

func (b *Budgets) budget(service core.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = retry.NewBudget(b.options.Ratio, b.burst())
		b.services[service] = budget
	}
	return budget
}

func (b *Budgets) burst() float64 { return slackShare * b.options.Slack / float64(b.instances) }

// Earn counts a request to a service.
func (b *Budgets) Earn(service core.Service) { b.budget(service).Deposit() }

// Take uses up one further send to a service and reports whether there was one.
func (b *Budgets) Take(service core.Service) bool { return b.budget(service).Withdraw() }

// SetLimits follows a change of the settings.
func (b *Budgets) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Ratio, b.options.Slack = ratio, slack
	for _, budget := range b.services {
		budget.SetRatio(ratio)
		budget.SetBurst(b.burst())
	}
}

// Instances returns the number of live instances that shares are counted for.
func (b *Budgets) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances
}

// SetInstances follows the number of live instances, which share the slack.
func (b *Budgets) SetInstances(n int) {
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
