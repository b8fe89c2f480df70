package operation

import (
	"context"

	"gorseline/core"
)

// outcomeWrite is an unconfirmed write that records the outcome of a claim.
type outcomeWrite struct {
	key     string
	version uint64 // of the claim's row
	record  Record
	// claim is the write of the claim; it is set while its outcome is unknown.
	claim []core.Write
}

// writeStatus is the result of one attempt to record an outcome.
type writeStatus uint8

const (
	writeUnconfirmed writeStatus = iota // the write may be retried
	writeDone                           // the row holds the record
	writeSuperseded                     // the row holds another claim or outcome
)

// finish records the outcome of a claim and reports whether that is confirmed. After the
// given number of attempts, or after SettleTimeout, it queues the outcome for Flush.
// Outcomes of calls that were sent get one attempt only, because the caller should not
// wait for a store that is down.
func (e *Executor) finish(ctx context.Context, outcome outcomeWrite, attempts int) bool {
	ctx, cancel := e.writeContext(ctx)
	defer cancel()
	for n := 1; ; n++ {
		switch e.tryWrite(ctx, &outcome) {
		case writeDone:
			return true
		case writeSuperseded:
			return false
		}
		if n == attempts || ctx.Err() != nil {
			e.enqueue(outcome)
			return false
		}
		e.opts.Sleep(ctx, retryDelay)
	}
}

// tryWrite makes one attempt to confirm the claim, if needed, and to record its outcome. A
// retry after a lost reply gets a conflict with the record that it wrote before.
func (e *Executor) tryWrite(ctx context.Context, outcome *outcomeWrite) writeStatus {
	if outcome.claim != nil {
		result := e.opts.Table.Transact(ctx, outcome.record.Claim, outcome.claim)
		switch result.Kind {
		case core.TransactCommitted:
			outcome.version, outcome.claim = result.Versions[0], nil
		case core.TransactConflict:
			r, ok := decodeRecord(result.Conflicts[0])
			if !ok || r.Claim != outcome.record.Claim {
				return writeSuperseded
			}
			outcome.version, outcome.claim = result.Conflicts[0].Version, nil
		default:
			return writeUnconfirmed
		}
	}
	result := e.opts.Table.Transact(ctx, e.opts.NewAttemptID(), []core.Write{
		{Key: outcome.key, Value: outcome.record.encode(), Expected: outcome.version},
	})
	switch result.Kind {
	case core.TransactCommitted:
	case core.TransactConflict:
		r, ok := decodeRecord(result.Conflicts[0])
		if !ok || r.Claim != outcome.record.Claim || r.State != outcome.record.State {
			return writeSuperseded
		}
	default:
		return writeUnconfirmed
	}
	e.record(EventOperationRecorded, outcome.record.Target, outcome.record.Reason, outcome.key+" "+string(outcome.record.State))
	return writeDone
}

// enqueue queues an outcome for Flush. It drops the oldest one if there are more than
// MaxPending.
func (e *Executor) enqueue(outcome outcomeWrite) {
	e.mu.Lock()
	e.pending = append(e.pending, outcome)
	var evicted *outcomeWrite
	if len(e.pending) > e.opts.MaxPending {
		evicted = &e.pending[0]
		e.pending = e.pending[1:]
		delete(e.active, evicted.record.Claim)
		e.dropped++
	}
	e.mu.Unlock()
	if evicted != nil {
		e.record(EventOperationUnrecorded, evicted.record.Target, evicted.record.Reason, evicted.key)
	}
}

// Flush makes one attempt to record each pending outcome. It returns how many remain.
func (e *Executor) Flush(ctx context.Context) int {
	e.mu.Lock()
	queued := e.pending
	e.pending = nil
	e.mu.Unlock()
	for i := range queued {
		if e.tryWrite(ctx, &queued[i]) == writeUnconfirmed {
			e.enqueue(queued[i])
		} else {
			e.unmarkActive(queued[i].record.Claim)
		}
	}
	return e.Pending()
}

// Pending returns the number of outcomes that are not yet recorded.
func (e *Executor) Pending() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.pending)
}

// Dropped returns the number of outcomes that were dropped because of MaxPending.
func (e *Executor) Dropped() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dropped
}
