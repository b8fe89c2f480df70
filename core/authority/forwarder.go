package authority

import (
	"context"

	"gorseline/core"
)

// Forwarder delivers orders that another instance, the holder of the lease, forwards. It
// reads the fence and the intent again and delivers the order only if both are current. A
// stale order can then reach a target only if the holder and this instance are paused at
// the same time.
type Forwarder struct{ opts Options }

var _ core.Orderer = (*Forwarder)(nil)

// NewForwarder returns a forwarder. It uses the options Table, Clock,
// Orderer and OrderLifetime.
func NewForwarder(opts Options) *Forwarder { return &Forwarder{opts: opts} }

// Order delivers the order if it is the recorded intent and carries the current fence;
// otherwise it returns core.OrderStale. It returns core.OrderUnknown if the rows can't be
// read. OrderLifetime counts from before the read: a new holder waits that long before
// its first order, and the same holder before an order that follows an unanswered one.
func (f *Forwarder) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	ctx, cancel := f.opts.Clock.WithDeadline(ctx, f.opts.Clock.Now().Add(f.opts.OrderLifetime))
	defer cancel()
	rows, err := f.opts.Table.Read(ctx, ShardKey(order.Shard), OrderKey(order.Target))
	if err != nil || len(rows) != 2 {
		return core.OrderUnknown
	}
	intent, err := DecodeIntent(rows[1])
	if err != nil {
		return core.OrderUnknown
	}
	if FenceOf(rows[0]) != order.Fence || intent.Order != order {
		return core.OrderStale
	}
	return f.opts.Orderer.Order(ctx, address, order)
}
