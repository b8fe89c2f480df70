package retry

import (
	"sync"

	"gorseline/core"
)

// SharesOptions configures the limit on retries that all instances share.
type SharesOptions struct {
	// Ratio is the number of retries that each request adds to the budget of its service.
	Ratio float64
	// Burst is the number of unused retries per service that all instances together may
	// save up.
	Burst float64
	// Instances is the assumed number of instances until SetInstances is called.
	Instances int
}

// GrantedBurstShare is the fraction of the burst that is divided among the instances. The
// rest covers retries that reach their targets late, and instances that have not yet seen
// that the fleet has grown.
const GrantedBurstShare = 0.6

// Shares holds this instance's share of the retry budget of each service. It starts empty: the
// retries of all instances in any window are then at most what their requests in that window
// add and what the instances that ran at its start had saved up, however many restart. It is
// safe for concurrent use.
type Shares struct {
	options SharesOptions

	mu        sync.Mutex
	instances int
	services  map[core.Service]*Budget
}

// NewShares returns the shares of one instance.
func NewShares(options SharesOptions) *Shares {
	return &Shares{options: options, instances: max(1, options.Instances), services: map[core.Service]*Budget{}}
}

// budget returns the budget of a service and creates it if necessary.
func (s *Shares) budget(service core.Service) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, ok := s.services[service]
	if !ok {
		budget = NewEmptyBudget(s.options.Ratio, s.instanceBurst())
		s.services[service] = budget
	}
	return budget
}

// instanceBurst returns this instance's share of the burst. The caller must hold s.mu.
func (s *Shares) instanceBurst() float64 {
	return GrantedBurstShare * s.options.Burst / float64(s.instances)
}

// Deposit adds the ratio to the budget of a service. It is called once per request.
func (s *Shares) Deposit(service core.Service) { s.budget(service).Deposit() }

// Withdraw takes one retry from the budget of a service and reports whether one was left.
func (s *Shares) Withdraw(service core.Service) bool { return s.budget(service).Withdraw() }

// SetLimits sets the ratio and the burst of all services.
func (s *Shares) SetLimits(ratio, burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Ratio, s.options.Burst = ratio, burst
	for _, budget := range s.services {
		budget.SetRatio(ratio)
		budget.SetBurst(s.instanceBurst())
	}
}

// Instances returns the number of live instances that share the limits.
func (s *Shares) Instances() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances
}

// SetInstances sets the number of live instances, which share the burst. A number
// below 1 counts as 1.
func (s *Shares) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n = max(1, n); n == s.instances {
		return
	}
	s.instances = n
	for _, budget := range s.services {
		budget.SetBurst(s.instanceBurst())
	}
}

// ShareState describes this instance's share of the retry budget of a service.
type ShareState struct {
	// Left is the number of retries left, Share the largest number that can be saved up.
	Left, Share float64
	// Instances is the number of instances by which the burst is divided.
	Instances int
}

// State returns the state of the share of a service.
func (s *Shares) State(service core.Service) ShareState {
	budget := s.budget(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShareState{Left: budget.Tokens(), Share: s.instanceBurst(), Instances: s.instances}
}
