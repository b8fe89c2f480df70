package retry

import (
	"sync"

	"gorseline/core"
)

// GrantedBurstShare is the fraction of the burst that is divided among the instances. The
// rest covers retries that reach their targets late, and instances that have not yet seen
// that the fleet has grown.
const GrantedBurstShare = 0.6

// Shares holds this instance's share of the retry budget of each service. It starts empty: the
// retries of all instances in any window are then at most what their requests in that window
// add and what the instances that ran at its start had saved up, however many restart. It is
// safe for concurrent use.
type Shares struct {
	mu           sync.Mutex
	ratio, burst float64
	// instances is the size of the fleet; 0 means unknown.
	instances int
	services  map[core.Service]*Budget
}

// NewShares returns the shares of one instance. ratio is the number of retries that each request
// adds to the budget of its service, burst the number of unused retries per service that all
// instances together may save up.
func NewShares(ratio, burst float64) *Shares {
	return &Shares{ratio: ratio, burst: burst, services: map[core.Service]*Budget{}}
}

// budget returns the budget of a service and creates it if necessary.
func (s *Shares) budget(service core.Service) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, ok := s.services[service]
	if !ok {
		budget = NewEmptyBudget(s.ratio, s.instanceBurst())
		s.services[service] = budget
	}
	return budget
}

// instanceBurst returns this instance's share of the burst. While the size of the fleet is
// unknown, and in a fleet larger than the granted burst, it is a single retry, because less
// would allow none. The caller must hold s.mu.
func (s *Shares) instanceBurst() float64 {
	granted := GrantedBurstShare * s.burst
	if s.instances == 0 {
		return min(1, granted)
	}
	return max(min(1, granted), granted/float64(s.instances))
}

// Deposit adds the ratio to the budget of a service. It is called once per request.
func (s *Shares) Deposit(service core.Service) { s.budget(service).Deposit() }

// Withdraw takes n retries from the budget of a service. It returns false and takes none if fewer
// are left.
func (s *Shares) Withdraw(service core.Service, n int) bool { return s.budget(service).WithdrawN(n) }

// SetLimits sets the ratio and the burst of all services.
func (s *Shares) SetLimits(ratio, burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio, s.burst = ratio, burst
	for _, budget := range s.services {
		budget.SetRatio(ratio)
		budget.SetBurst(s.instanceBurst())
	}
}

// Instances returns the size of the fleet that shares the limits, or 0 if it isn't known.
func (s *Shares) Instances() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances
}

// SetInstances sets the size of the fleet that shares the burst. It must count instances that
// may be cut off from this one.
func (s *Shares) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == s.instances {
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
