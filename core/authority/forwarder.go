package authority

import (
	"context"

	"gorseline/core"
)

// Forwarder is the second instance of a delivery: it reads the fence and the intent
// again and passes the order on only while both are in force. A stale order then needs
// two pauses that coincide, of the holder and of this instance.
type Forwarder struct{ opts Options }

var _ core.Orderer = (*Forwarder)(nil)

// NewForwarder returns a forwarder. It uses Table, Clock, Orderer and
// OrderLifetime of the options.
func NewForwarder(opts Options) *Forwarder { return &Forwarder{opts: opts} }

// Order delivers the order if it is the recorded intent under the fence in force. The
// time allowed counts from before the rows were read: a successor waits that long before
// its first order, and the holder before the order that follows an unanswered one.
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
