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

// ClientSetOptions configure a Service.
type ClientSetOptions struct {
	Client       core.Table
	Clock        core.ClockProvider
	NewAttemptID func() core.AttemptID
	// Instances is the size of the fleet, Shards the number of leases.
	Instances int
	Shards    int
}

// ClientSet gives the parts of an instance their view of the table service. All views
// settle lost replies, share one circuit and keep to the instance's budget.
type ClientSet struct {
	// Leases is for shard leases and orders. Its writes are shared by the lease holders
	// only, of whom there are at most as many as shards.
	Leases core.Table
	// Shared is for configuration and other rare writes.
	Shared core.Table
	// Claims groups the writes of non-repeatable calls. Its Run must run.
	Claims *Batcher

	shards int
	leases *RateLimiter
	shared *RateLimiter
}

// NewClientSet returns the views of one client. It starts nothing.
func NewClientSet(opts ClientSetOptions) *ClientSet {
	circuit := NewCircuitBreaker(CircuitBreakerOptions{Table: opts.Client, Clock: opts.Clock})
	s := &ClientSet{
		shards: opts.Shards,
		leases: NewRateLimiter(RateLimiterOptions{Table: circuit, WritesPerSecond: leaseWrites, ReadsPerSecond: leaseReads}),
		shared: NewRateLimiter(RateLimiterOptions{Table: circuit, WritesPerSecond: sharedWrites, ReadsPerSecond: sharedReads, Burst: sharedBurst}),
	}
	s.SetInstances(opts.Instances)
	s.Leases = NewRetrier(RetrierOptions{Table: s.leases})
	s.Shared = NewRetrier(RetrierOptions{Table: s.shared})
	s.Claims = NewBatcher(BatcherOptions{
		Table: struct {
			core.Reader
			core.Scanner
			core.Transactor
		}{s.shared, s.shared, NewRetrier(RetrierOptions{Table: circuit})},
		NewAttemptID: opts.NewAttemptID,
		AwaitQuota:   func(ctx context.Context) error { return s.shared.AwaitWrite(ctx) },
	})
	return s
}

// SetInstances follows a change of the fleet's size.
func (s *ClientSet) SetInstances(n int) {
	s.leases.SetWritersAndReaders(min(n, s.shards), n)
	s.shared.SetInstances(n)
}
