package table

import (
	"context"

	"gorseline/core"
)

// Calls per second of the whole fleet, by use. They add up to 170 writes and 900 reads;
// the saved-up calls of all instances come on top, and both stay under the fleet's
// limits of 200 and 1,000 over ten minutes. Leases need 26 writes at 128 shards renewed
// every 5 s; the rest is for orders.
const (
	leaseWrites  = 60
	leaseReads   = 200
	sharedWrites = 110
	sharedReads  = 700
	sharedBurst  = 4
)

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Client   core.Table
	Clock    core.ClockProvider
	Attempts func() core.AttemptID
	// Instances is the size of the fleet, Shards the number of leases.
	Instances int
	Shards    int
}

// Service gives the parts of an instance their view of the table service. All views
// settle lost replies, share one circuit and keep to the instance's budget.
type Service struct {
	// Leases is for shard leases and orders. Its writes are shared by the lease holders
	// only, of whom there are at most as many as shards.
	Leases core.Table
	// Shared is for configuration and other rare writes.
	Shared core.Table
	// Claims groups the writes of non-repeatable calls. Its Run must run.
	Claims *Group

	shards int
	leases *Budget
	shared *Budget
}

// NewService returns the views of one client. It starts nothing.
func NewService(opts ServiceOptions) *Service {
	circuit := NewCircuit(CircuitOptions{Table: opts.Client, Clock: opts.Clock})
	s := &Service{
		shards: opts.Shards,
		leases: NewBudget(BudgetOptions{Table: circuit, Writes: leaseWrites, Reads: leaseReads}),
		shared: NewBudget(BudgetOptions{Table: circuit, Writes: sharedWrites, Reads: sharedReads, Burst: sharedBurst}),
	}
	s.SetInstances(opts.Instances)
	s.Leases = NewSettler(SettlerOptions{Table: s.leases})
	s.Shared = NewSettler(SettlerOptions{Table: s.shared})
	s.Claims = NewGroup(GroupOptions{
		Table: struct {
			core.Reader
			core.Scanner
			core.Transactor
		}{s.shared, s.shared, NewSettler(SettlerOptions{Table: circuit})},
		Attempts: opts.Attempts,
		Await:    func(ctx context.Context) error { return s.shared.AwaitWrite(ctx) },
	})
	return s
}

// SetInstances follows a change of the fleet's size.
func (s *Service) SetInstances(n int) {
	s.leases.SetShares(min(n, s.shards), n)
	s.shared.SetInstances(n)
}
