package table

import (
	"context"

	"gorseline/core"
)

// Rate limits of the whole fleet by use, in calls per second. They add up to 170 writes and
// 900 reads. The bursts of all instances come on top; the averages over ten minutes still
// stay below the table service's limits for the fleet, 200 writes and 1,000 reads per second.
const (
	// leaseWrites leaves room for orders: renewing 128 shard leases every 5 s takes 26.
	leaseWrites  = 60
	leaseReads   = 200
	sharedWrites = 110
	sharedReads  = 700
)

// sharedBurst is the burst of an instance's shared limiters, in calls.
const sharedBurst = 4

// ClientSetOptions configure a ClientSet.
type ClientSetOptions struct {
	Client       core.Table
	Clock        core.ClockProvider
	NewAttemptID func() core.AttemptID
	// Instances is the number of instances in the fleet, Shards the number of shard leases.
	Instances int
	Shards    int
}

// ClientSet holds the clients of the table service that an instance uses. All of them
// retry calls whose outcome is unknown, share one circuit breaker and respect the
// instance's share of the fleet's rate limits.
type ClientSet struct {
	// Leases is for shard leases and orders. Its write limit is divided among the lease
	// holders only, of which there are at most as many as shards.
	Leases core.Table
	// Shared is for the configuration and other infrequent writes.
	Shared core.Table
	// Claims batches the writes for calls that may not be repeated. It sends nothing until
	// its Run is called.
	Claims *Batcher

	shards int
	leases *RateLimiter
	shared *RateLimiter
}

// NewClientSet returns clients that send their calls through opts.Client. It starts no
// goroutine.
func NewClientSet(opts ClientSetOptions) *ClientSet {
	breaker := NewCircuitBreaker(CircuitBreakerOptions{Table: opts.Client, Clock: opts.Clock})
	s := &ClientSet{
		shards: opts.Shards,
		leases: NewRateLimiter(RateLimiterOptions{Table: breaker, WritesPerSecond: leaseWrites, ReadsPerSecond: leaseReads}),
		shared: NewRateLimiter(RateLimiterOptions{Table: breaker, WritesPerSecond: sharedWrites, ReadsPerSecond: sharedReads, Burst: sharedBurst}),
	}
	s.SetInstances(opts.Instances)
	s.Leases = NewRetrier(RetrierOptions{Table: s.leases})
	s.Shared = NewRetrier(RetrierOptions{Table: s.shared})
	s.Claims = NewBatcher(BatcherOptions{
		Table: struct {
			core.RowReader
			core.RowScanner
			core.Transactor
		}{s.shared, s.shared, NewRetrier(RetrierOptions{Table: breaker})},
		NewAttemptID: opts.NewAttemptID,
		AwaitQuota:   func(ctx context.Context) error { return s.shared.AwaitWrite(ctx) },
	})
	return s
}

// SetInstances sets the number of instances in the fleet, which changes this instance's
// share of the rate limits.
func (s *ClientSet) SetInstances(n int) {
	s.leases.SetWritersAndReaders(min(n, s.shards), n)
	s.shared.SetInstances(n)
}
