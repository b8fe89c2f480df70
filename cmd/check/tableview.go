package check

import (
	"context"
	"time"

	"gorseline/core"
)

// callTimeout is how long an instance waits for the table at most. A connection that
// is reset tells it earlier.
const callTimeout = 2 * time.Second

// tableView is the table as one instance reaches it. A request travels and runs on its
// own: a pause or a kill of the instance doesn't stop it.
type tableView struct{ i *instance }

var _ core.Table = tableView{}

// Read reads rows.
func (v tableView) Read(_ context.Context, keys ...string) (rows []core.Row, err error) {
	err = core.ErrUnavailable
	v.i.w.exchange(v.fate(), func() {
		if !v.i.w.isOut() {
			rows, err = v.i.w.table.Read(context.Background(), keys...)
		}
	}, func() { rows, err = nil, core.ErrUnavailable })
	return rows, err
}

// Scan lists rows.
func (v tableView) Scan(_ context.Context, prefix, after string, limit int) (rows []core.Row, err error) {
	err = core.ErrUnavailable
	v.i.w.exchange(v.fate(), func() {
		if !v.i.w.isOut() {
			rows, err = v.i.w.table.Scan(context.Background(), prefix, after, limit)
		}
	}, func() { rows, err = nil, core.ErrUnavailable })
	return rows, err
}

// Transact runs a transaction.
func (v tableView) Transact(_ context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	w := v.i.w
	fate := v.fate()
	switch {
	case v.i.loseReplies > 0:
		v.i.loseReplies--
		fate.replyLost = true
		w.faults["ReplyLost"]++
	case v.i.lateWrites > 0:
		v.i.lateWrites--
		fate.replyLost = true
		fate.travel = w.between(callTimeout, 40*time.Second)
		w.faults["LateWrite"]++
	}
	result := core.TransactResult{}
	w.exchange(fate, func() {
		if w.isOut() {
			result = core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
			return
		}
		result = w.table.Transact(context.Background(), attempt, writes)
		if result.Kind == core.TransactCommitted {
			w.noteIntents(writes)
		}
	}, func() { result = core.TransactResult{Kind: core.TransactUnknown, Err: core.ErrUnavailable} })
	return result
}

func (w *world) isOut() bool { return w.outage > w.now }

// fate is what happens to one request and its reply.
type fate struct {
	travel    time.Duration // until the request runs
	lost      bool          // the request never runs
	replyLost bool
	timeout   time.Duration
}

func (v tableView) fate() fate {
	w := v.i.w
	w.sleep(w.between(0, time.Millisecond)) // a pause may strike before the request is sent
	f := fate{travel: w.between(time.Millisecond, 5*time.Millisecond), timeout: w.between(20*time.Millisecond, callTimeout)}
	if v.i.isCut() {
		// A partition drops the request or only its reply.
		f.lost, f.replyLost = w.chance(0.5), true
	}
	return f
}

// exchange sends a request and parks until its reply or the timeout. run is called when
// the request arrives; lost replaces what it returned when no reply comes.
func (w *world) exchange(f fate, run, lost func()) {
	t := w.current
	if !f.lost {
		w.after(f.travel, run)
	}
	if f.lost || f.replyLost {
		w.after(f.timeout, t.step)
		t.park()
		lost()
		return
	}
	w.after(f.travel+w.between(time.Millisecond, 5*time.Millisecond), t.step)
	t.park()
}
