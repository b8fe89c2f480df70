package table

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/pause"
)

const (
	// MaxBatchRows bounds the rows in one batch, unless a single transaction has more.
	MaxBatchRows = 64
	// BatchDelay is the minimum time for which the first transaction of a batch waits for
	// others.
	BatchDelay = 5 * time.Millisecond
)

// ErrQueueFull reports a transaction that was not sent because the queue is full.
var ErrQueueFull = errors.Wrap(core.ErrUnavailable, "table: write queue is full")

// BatcherOptions configure a Batcher.
type BatcherOptions struct {
	Table core.Table
	// NewAttemptID returns an ID that no process has used before.
	NewAttemptID func() core.AttemptID
	// AwaitQuota blocks until a transaction may be sent. Further writes join the batch
	// meanwhile. An error fails the batch as Unavailable. nil sends without waiting.
	AwaitQuota func(context.Context) error
	// MaxInFlight bounds the batches in flight; the default is 4.
	MaxInFlight int
	// QueueSize bounds the queued transactions; the default is 1024. Transactions beyond
	// it fail with ErrQueueFull.
	QueueSize int
	// Timeout bounds the commit of one batch, including its retries after conflicts; the
	// default is 10 s.
	Timeout time.Duration
}

// Batcher implements group commit: it combines independent transactions of many callers
// into one transaction of the table service. Transactions with a conflicting row get a
// conflict as their result, and the rest of the batch is sent again, so a caller never
// fails because of another one's conflict.
//
// A caller that repeats a transaction after an Unknown result may get its own row as a
// conflict, because the batch was sent under another attempt ID. Callers recognise their
// rows by an ID in the value. Batcher is safe for concurrent use.
type Batcher struct {
	core.RowReader
	core.RowScanner
	opts  BatcherOptions
	queue chan *pending
	slots chan struct{}
	done  chan struct{}
}

var _ core.Table = (*Batcher)(nil)

// pending is one caller's transaction.
type pending struct {
	attempt core.AttemptID
	writes  []core.Write
	result  chan core.TransactResult
	// claimed is set once: by the batch that sends the writes, or by a caller that gives up
	// first.
	claimed atomic.Bool
}

// NewBatcher returns a batcher. Transactions stay queued until Run is called.
func NewBatcher(opts BatcherOptions) *Batcher {
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = 4
	}
	if opts.QueueSize == 0 {
		opts.QueueSize = 1024
	}
	if opts.Timeout == 0 {
		opts.Timeout = 10 * time.Second
	}
	return &Batcher{
		RowReader: opts.Table, RowScanner: opts.Table, opts: opts,
		queue: make(chan *pending, opts.QueueSize), slots: make(chan struct{}, opts.MaxInFlight),
		done: make(chan struct{}),
	}
}

// Transact queues the writes and waits for their result. If ctx ends first, the result is
// Unavailable if no batch has been sent with the writes, and Unknown otherwise.
func (b *Batcher) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	p := &pending{attempt: attempt, writes: writes, result: make(chan core.TransactResult, 1)}
	select {
	case <-b.done:
		return core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
	default:
	}
	select {
	case b.queue <- p:
	default:
		return core.TransactResult{Kind: core.TransactUnavailable, Err: ErrQueueFull}
	}
	select {
	case result := <-p.result:
		return result
	case <-ctx.Done():
		if p.claimed.CompareAndSwap(false, true) {
			return core.TransactResult{Kind: core.TransactUnavailable, Err: ctx.Err()}
		}
		return core.TransactResult{Kind: core.TransactUnknown, Err: ctx.Err()}
	case <-b.done:
		// Before it closes done, Run sets the result of every transaction that it has sent
		// or failed. The others were not sent.
		select {
		case result := <-p.result:
			return result
		default:
			return core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
		}
	}
}

// Run collects and sends batches until ctx ends, and then waits for those in flight.
func (b *Batcher) Run(ctx context.Context) {
	defer close(b.done)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	var deferred *pending
	for {
		first := deferred
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-b.queue:
			}
		}
		var transactions []*pending
		transactions, deferred = b.collect(ctx, first)
		select {
		case <-ctx.Done():
			resolveAll(transactions, core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable})
			return
		case b.slots <- struct{}{}:
		}
		inFlight.Go(func() {
			defer func() { <-b.slots }()
			b.commit(context.WithoutCancel(ctx), transactions)
		})
	}
}

// collect collects a batch until BatchDelay is over and the quota permits sending it. A
// transaction that doesn't fit, because of its size or because it writes a row of the
// batch, is returned as deferred and starts the next batch.
func (b *Batcher) collect(ctx context.Context, first *pending) (transactions []*pending, deferred *pending) {
	current := batch{keys: map[string]bool{}}
	current.add(first)
	ready := make(chan error, 1)
	go func() {
		pause.For(ctx, BatchDelay)
		ready <- b.awaitQuota(ctx)
	}()
	for {
		queue := b.queue
		if deferred != nil {
			queue = nil
		}
		select {
		case err := <-ready:
			if err != nil {
				resolveAll(current.transactions, core.TransactResult{Kind: core.TransactUnavailable, Err: err})
				return nil, deferred
			}
			return current.transactions, deferred
		case p := <-queue:
			if !current.add(p) {
				deferred = p
			}
		}
	}
}

func (b *Batcher) awaitQuota(ctx context.Context) error {
	if b.opts.AwaitQuota == nil {
		return nil
	}
	return b.opts.AwaitQuota(ctx)
}

// batch is a set of transactions without common rows.
type batch struct {
	transactions []*pending
	keys         map[string]bool
}

// add adds a transaction, or returns false if it doesn't fit.
func (b *batch) add(p *pending) bool {
	if len(b.transactions) > 0 && len(b.keys)+len(p.writes) > MaxBatchRows {
		return false
	}
	for _, w := range p.writes {
		if b.keys[w.Key] {
			return false
		}
	}
	for _, w := range p.writes {
		b.keys[w.Key] = true
	}
	b.transactions = append(b.transactions, p)
	return true
}

// commit sends a batch until every transaction has its result. A round that ends in a
// conflict removes at least the conflicting transactions.
func (b *Batcher) commit(ctx context.Context, transactions []*pending) {
	ctx, cancel := context.WithTimeout(ctx, b.opts.Timeout)
	defer cancel()
	transactions = claim(transactions)
	for round := 0; len(transactions) > 0; round++ {
		if round > 0 {
			if err := b.awaitQuota(ctx); err != nil {
				resolveAll(transactions, core.TransactResult{Kind: core.TransactUnavailable, Err: err})
				return
			}
		}
		attempt := transactions[0].attempt
		if len(transactions) > 1 {
			attempt = b.opts.NewAttemptID()
		}
		var writes []core.Write
		for _, p := range transactions {
			writes = append(writes, p.writes...)
		}
		result := b.opts.Table.Transact(ctx, attempt, writes)
		switch result.Kind {
		case core.TransactCommitted:
			for _, p := range transactions {
				n := len(p.writes)
				p.result <- core.TransactResult{Kind: core.TransactCommitted, Versions: result.Versions[:n:n]}
				result.Versions = result.Versions[n:]
			}
			return
		case core.TransactConflict:
			transactions = resolveConflicts(transactions, result.Conflicts)
		default:
			resolveAll(transactions, result)
			return
		}
	}
}

// resolveConflicts sets the result of the transactions with a conflicting row and returns
// the others.
func resolveConflicts(transactions []*pending, conflicts []core.Row) []*pending {
	rows := map[string]core.Row{}
	for _, row := range conflicts {
		rows[row.Key] = row
	}
	var others []*pending
	for _, p := range transactions {
		var conflicting []core.Row
		for _, w := range p.writes {
			if row, found := rows[w.Key]; found {
				conflicting = append(conflicting, row)
			}
		}
		if len(conflicting) == 0 {
			others = append(others, p)
			continue
		}
		p.result <- core.TransactResult{Kind: core.TransactConflict, Conflicts: conflicting}
	}
	if len(others) == len(transactions) {
		resolveAll(transactions, core.TransactResult{
			Kind: core.TransactUnknown, Err: errors.New("table: conflict names no row of the batch"),
		})
		return nil
	}
	return others
}

// claim returns the transactions whose caller has not given up. A caller that gives up
// afterwards gets an Unknown result.
func claim(transactions []*pending) []*pending {
	return slices.DeleteFunc(transactions, func(p *pending) bool { return !p.claimed.CompareAndSwap(false, true) })
}

// resolveAll sets the same result for all transactions.
func resolveAll(transactions []*pending, result core.TransactResult) {
	for _, p := range transactions {
		p.result <- result
	}
}
