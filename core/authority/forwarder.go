package authority

import (
	"context"

	"gorseline/core"
)

// Forwarder is the second instance of a delivery: it reads the fence again and
// passes the order on only while that fence is in force. A stale order then needs
// two pauses that coincide, of the holder and of this instance.
type Forwarder struct{ opts Options }

var _ core.Orderer = (*Forwarder)(nil)

// NewForwarder returns a forwarder. It uses Table, Clock, Orderer and
// OrderLifetime of the options.
func NewForwarder(opts Options) *Forwarder { return &Forwarder{opts: opts} }

// Order delivers the order if its fence is in force. The time allowed counts from
// before the fence was read: a successor waits that long before its own first order.
func (f *Forwarder) Order(ctx context.Context, address string, order core.Order) core.OrderResult {
	ctx, cancel := f.opts.Clock.WithDeadline(ctx, f.opts.Clock.Now().Add(f.opts.OrderLifetime))
	defer cancel()
	rows, err := f.opts.Table.Read(ctx, ShardKey(order.Shard))
	if err != nil || len(rows) != 1 {
		return core.OrderUnknown
	}
	if FenceOf(rows[0]) != order.Fence {
		return core.OrderStale
	}
	return f.opts.Orderer.Order(ctx, address, order)
}
