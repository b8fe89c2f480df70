package check

import (
	"context"
	"time"

	"gorseline/core"
)

// callTimeout is the maximum time that an instance waits for the table. The reset of a
// connection may end the wait earlier.
const callTimeout = 2 * time.Second

// remoteTable is the table as one instance reaches it over the network. A pause or a kill
// of the instance doesn't stop a request that it has sent.
type remoteTable struct{ i *instance }

var _ core.Table = remoteTable{}

// Read reads rows.
func (t remoteTable) Read(_ context.Context, keys ...string) (rows []core.Row, err error) {
	err = core.ErrUnavailable
	t.i.w.roundTrip(t.delivery(), func() {
		if !t.i.w.isTableDown() {
			rows, err = t.i.w.table.Read(context.Background(), keys...)
		}
	}, func() { rows, err = nil, core.ErrUnavailable })
	return rows, err
}

// Scan lists rows.
func (t remoteTable) Scan(_ context.Context, prefix, after string, limit int) (rows []core.Row, err error) {
	err = core.ErrUnavailable
	t.i.w.roundTrip(t.delivery(), func() {
		if !t.i.w.isTableDown() {
			rows, err = t.i.w.table.Scan(context.Background(), prefix, after, limit)
		}
	}, func() { rows, err = nil, core.ErrUnavailable })
	return rows, err
}

// Transact runs a transaction.
func (t remoteTable) Transact(_ context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	w := t.i.w
	d := t.delivery()
	switch {
	case t.i.loseTableReplies > 0:
		t.i.loseTableReplies--
		d.replyLost = true
		w.faults["ReplyLost"]++
	case t.i.delayWrites > 0:
		t.i.delayWrites--
		d.replyLost = true
		d.latency = w.between(callTimeout, 40*time.Second)
		w.faults["LateWrite"]++
	}
	result := core.TransactResult{}
	w.roundTrip(d, func() {
		if w.isTableDown() {
			result = core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
			return
		}
		result = w.table.Transact(context.Background(), attempt, writes)
		if result.Kind == core.TransactCommitted {
			w.recordIntents(writes)
			w.recordReports(t.i, attempt, writes)
		}
	}, func() { result = core.TransactResult{Kind: core.TransactUnknown, Err: core.ErrUnavailable} })
	return result
}

func (w *world) isTableDown() bool { return w.outageUntil > w.now }

// delivery describes how one request and its reply are delivered.
type delivery struct {
	latency     time.Duration // until the request arrives
	requestLost bool          // the request never arrives
	replyLost   bool
	timeout     time.Duration // until the caller gives up without a reply
}

// delivery draws the delivery of one request to the table.
func (t remoteTable) delivery() delivery {
	w := t.i.w
	w.sleep(w.between(0, time.Millisecond)) // a pause may begin before the request is sent
	d := delivery{latency: w.between(time.Millisecond, 5*time.Millisecond), timeout: w.between(20*time.Millisecond, callTimeout)}
	if t.i.isPartitioned() {
		// A partition drops either the request or only its reply.
		d.requestLost, d.replyLost = w.chance(0.5), true
	}
	return d
}

// roundTrip sends a request and parks the current task until the reply or the timeout.
// onArrival runs when the request arrives. onTimeout runs when no reply came, and replaces
// the result that onArrival may have set.
func (w *world) roundTrip(d delivery, onArrival, onTimeout func()) {
	t := w.current
	if !d.requestLost {
		w.after(d.latency, onArrival)
	}
	if d.requestLost || d.replyLost {
		w.after(d.timeout, t.step)
		t.park()
		onTimeout()
		return
	}
	w.after(d.latency+w.between(time.Millisecond, 5*time.Millisecond), t.step)
	t.park()
}
