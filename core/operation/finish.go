package operation

import (
	"context"

	"gorseline/core"
)

// entry is the end of a claim that is to be recorded.
type entry struct {
	key     string
	version uint64
	record  Record
	// claim is set while it is unknown whether the claim itself took effect.
	claim []core.Write
}

// settled says how far recording an entry got.
type settled uint8

const (
	settledLater settled = iota // the table gave no clear answer
	settledDone                 // the row holds the record
	settledOther                // the row belongs to another claim
)

// finish records the end of a claim and returns whether that is settled. After the
// given number of tries the entry is kept for Flush. An answer waits for one try only:
// its caller should not wait for a store that is down.
func (e *Executor) finish(ctx context.Context, end entry, tries int) bool {
	ctx, cancel := e.settleContext(ctx)
	defer cancel()
	for n := 1; ; n++ {
		switch e.try(ctx, &end) {
		case settledDone:
			return true
		case settledOther:
			return false
		}
		if n == tries || ctx.Err() != nil {
			e.keep(end)
			return false
		}
		e.opts.Sleep(ctx, settleDelay)
	}
}

// try makes one attempt to settle the claim, if needed, and to record its end. A
// repeat after a lost reply meets its own record as a conflict.
func (e *Executor) try(ctx context.Context, end *entry) settled {
	if end.claim != nil {
		result := e.opts.Table.Transact(ctx, end.record.Claim, end.claim)
		switch result.Kind {
		case core.TransactCommitted:
			end.version, end.claim = result.Versions[0], nil
		case core.TransactConflict:
			r, ok := decodeRecord(result.Conflicts[0])
			if !ok || r.Claim != end.record.Claim {
				return settledOther
			}
			end.version, end.claim = result.Conflicts[0].Version, nil
		default:
			return settledLater
		}
	}
	result := e.opts.Table.Transact(ctx, e.opts.NewAttemptID(), []core.Write{
		{Key: end.key, Value: end.record.encode(), Expected: end.version},
	})
	switch result.Kind {
	case core.TransactCommitted:
	case core.TransactConflict:
		r, ok := decodeRecord(result.Conflicts[0])
		if !ok || r.Claim != end.record.Claim || r.State != end.record.State {
			return settledOther
		}
	default:
		return settledLater
	}
	e.record(EventOperationRecorded, end.record.Target, end.record.Reason, end.key+" "+string(end.record.State))
	return settledDone
}

// keep holds an entry for Flush. The oldest gives way when too many wait.
func (e *Executor) keep(end entry) {
	e.mu.Lock()
	e.pending = append(e.pending, end)
	var lost *entry
	if len(e.pending) > e.opts.MaxPending {
		lost = &e.pending[0]
		e.pending = e.pending[1:]
		delete(e.active, lost.record.Claim)
		e.dropped++
	}
	e.mu.Unlock()
	if lost != nil {
		e.record(EventOperationUnrecorded, lost.record.Target, lost.record.Reason, lost.key)
	}
}

// Flush tries once to record each outcome that waits. It returns how many remain.
func (e *Executor) Flush(ctx context.Context) int {
	e.mu.Lock()
	waiting := e.pending
	e.pending = nil
	e.mu.Unlock()
	for i := range waiting {
		if e.try(ctx, &waiting[i]) == settledLater {
			e.keep(waiting[i])
		} else {
			e.release(waiting[i].record.Claim)
		}
	}
	return e.Pending()
}

// Pending returns how many outcomes wait to be recorded.
func (e *Executor) Pending() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.pending)
}

// Dropped returns how many outcomes were dropped because too many waited.
func (e *Executor) Dropped() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dropped
}
