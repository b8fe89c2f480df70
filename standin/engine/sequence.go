package engine

import (
	"slices"
	"time"

	"gorseline/core"
)

type sequenceState uint8

const (
	stateQueued sequenceState = iota
	stateRunning
	stateDone
	stateCancelled
	stateLost
)

// sequence is one completion. The engine's mutex guards its fields.
type sequence struct {
	id      string
	request core.RequestID
	attempt core.AttemptID
	life    int

	seed         uint64
	length       int
	promptTokens int
	blocks       []uint64
	priority     int
	prefillOnly  bool

	state        sequenceState
	cachedTokens int
	remaining    int // prompt tokens still to compute
	produced     int // tokens of output

	readers    map[chan struct{}]string
	detachedAt time.Time // when the last reader left
	endedAt    time.Time
}

func (q *sequence) kvTokens() int { return q.promptTokens + q.length }

// notify tells the readers that the sequence has changed.
func (q *sequence) notify() {
	for reader := range q.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

// enqueue puts q behind the waiting sequences of the same or a higher priority.
func (e *Engine) enqueue(q *sequence) {
	at, _ := slices.BinarySearchFunc(e.queue, q, func(a, b *sequence) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, at, q)
	e.streams[q.id] = q
	e.wakeUp()
}

// attach adds a reader; the returned channel gets a value after each change. Opening a
// stream is a sign of life of its client, whose last heartbeat may be old because it
// had no stream here.
func (e *Engine) attach(q *sequence, client string) chan struct{} {
	reader := make(chan struct{}, 1)
	q.readers[reader] = client
	if _, announced := e.clients[client]; announced {
		e.clients[client] = time.Now()
	}
	return reader
}

func (e *Engine) detach(q *sequence, reader chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(q.readers, reader)
	q.detachedAt = time.Now()
}

// end stops a sequence that has not finished.
func (e *Engine) end(q *sequence, state sequenceState, now time.Time) {
	if q.state == stateQueued {
		e.queue = slices.DeleteFunc(e.queue, func(other *sequence) bool { return other == q })
	}
	if q.state == stateQueued || q.state == stateRunning {
		q.state = state
		q.endedAt = now
	}
	q.notify()
}

// housekeep cancels streams that nobody reads, forgets old text, carries out a
// pending order and takes the load snapshot.
func (e *Engine) housekeep(now time.Time) {
	if e.faults.paused || e.faults.crashed {
		return
	}
	if now.Sub(e.takenAt) < e.options.LoadReportInterval && e.pending == nil {
		return
	}
	for id, q := range e.streams {
		if !e.orphaned(q, now) {
			continue
		}
		if q.state == stateQueued || q.state == stateRunning {
			e.end(q, stateCancelled, now)
			e.counters.Orphaned++
		}
		if now.Sub(q.endedAt) > e.options.OrphanTimeout {
			delete(e.streams, id)
		}
	}
	e.advanceChange(now)
	if now.Sub(e.takenAt) >= e.options.LoadReportInterval {
		e.takeSnapshot(now)
	}
}

// orphaned reports whether nobody has read q for OrphanTimeout. A client that once
// sent heartbeats and stopped doesn't count as a reader.
func (e *Engine) orphaned(q *sequence, now time.Time) bool {
	if len(q.readers) == 0 {
		return now.Sub(q.detachedAt) > e.options.OrphanTimeout
	}
	for _, client := range q.readers {
		last, announced := e.clients[client]
		if !announced || now.Sub(last) <= e.options.OrphanTimeout {
			return false
		}
	}
	return true
}

func (e *Engine) takeSnapshot(now time.Time) {
	report := core.LoadReport{
		QueuedRequests:  len(e.queue),
		Running:         len(e.running),
		KVCapacity:      e.options.KVCapacity,
		Role:            e.applied.role,
		Model:           e.applied.model,
		WeightsVersion:  e.applied.version,
		Changing:        e.pending != nil,
		Leaving:         e.leaving,
		AppliedFence:    e.applied.fence,
		AppliedSequence: e.applied.sequence,
	}
	for _, q := range e.queue {
		report.QueuedPromptTokens += q.promptTokens
	}
	for _, q := range e.running {
		report.QueuedPromptTokens += q.remaining
		report.KVUsed += q.kvTokens()
	}
	e.snapshot, e.takenAt = report, now
}
