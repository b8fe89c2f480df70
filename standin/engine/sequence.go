package engine

import (
	"slices"
	"time"

	"gorseline/core"
)

// sequenceState is the state of a completion. The last three are final.
type sequenceState uint8

const (
	stateQueued sequenceState = iota
	stateRunning
	stateDone
	stateCancelled
	stateLost // dropped by a crash
)

// sequence is one completion. Engine.mu guards its fields.
type sequence struct {
	id          string
	request     core.RequestID
	attempt     core.AttemptID
	incarnation int

	seed         uint64
	outputLength int // output tokens of the complete answer
	promptTokens int
	blocks       []uint64
	priority     int
	prefillOnly  bool

	state                 sequenceState
	cachedTokens          int
	remainingPromptTokens int
	producedTokens        int // output tokens generated so far

	readers    map[chan struct{}]string // client names by notification channel
	detachedAt time.Time                // when a reader last detached
	endedAt    time.Time
}

func (seq *sequence) kvTokens() int { return seq.promptTokens + seq.outputLength }

// notifyReaders signals a change of the sequence to its readers, without blocking.
func (seq *sequence) notifyReaders() {
	for reader := range seq.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

// enqueue inserts seq after the waiting sequences of the same or a higher priority.
func (e *Engine) enqueue(seq *sequence) {
	at, _ := slices.BinarySearchFunc(e.queue, seq, func(a, b *sequence) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, at, seq)
	e.streams[seq.id] = seq
	e.wakeUp()
}

// attach adds a reader and returns its notification channel, which receives a value
// after each change. Opening a stream counts as a heartbeat of a client that sends
// heartbeats: its last one may be old because it had no stream here.
func (e *Engine) attach(seq *sequence, client string) chan struct{} {
	reader := make(chan struct{}, 1)
	seq.readers[reader] = client
	if _, ok := e.lastHeartbeats[client]; ok {
		e.lastHeartbeats[client] = time.Now()
	}
	return reader
}

func (e *Engine) detach(seq *sequence, reader chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(seq.readers, reader)
	seq.detachedAt = time.Now()
}

// end removes seq from the queue and, if it is queued or running, sets its final
// state. It notifies the readers.
func (e *Engine) end(seq *sequence, state sequenceState, now time.Time) {
	if seq.state == stateQueued {
		e.queue = slices.DeleteFunc(e.queue, func(other *sequence) bool { return other == seq })
	}
	if seq.state == stateQueued || seq.state == stateRunning {
		seq.state = state
		seq.endedAt = now
	}
	seq.notifyReaders()
}

// maintain cancels orphaned streams, deletes expired ones, advances a pending change
// and takes the load snapshot. It does nothing while the engine is paused or crashed,
// or before the next snapshot is due unless a change is pending.
func (e *Engine) maintain(now time.Time) {
	if e.faults.paused || e.faults.crashed {
		return
	}
	if now.Sub(e.snapshotAt) < e.options.LoadReportInterval && e.pending == nil {
		return
	}
	for id, seq := range e.streams {
		if !e.orphaned(seq, now) {
			continue
		}
		if seq.state == stateQueued || seq.state == stateRunning {
			e.end(seq, stateCancelled, now)
			e.counters.Orphaned++
		}
		if now.Sub(seq.endedAt) > e.options.OrphanTimeout {
			delete(e.streams, id)
		}
	}
	e.advanceChange(now)
	if now.Sub(e.snapshotAt) >= e.options.LoadReportInterval {
		e.takeSnapshot(now)
	}
}

// orphaned reports whether seq has had no reader for OrphanTimeout. A client that
// has sent heartbeats doesn't count as a reader once its last one is older than that.
func (e *Engine) orphaned(seq *sequence, now time.Time) bool {
	if len(seq.readers) == 0 {
		return now.Sub(seq.detachedAt) > e.options.OrphanTimeout
	}
	for _, client := range seq.readers {
		last, sendsHeartbeats := e.lastHeartbeats[client]
		if !sendsHeartbeats || now.Sub(last) <= e.options.OrphanTimeout {
			return false
		}
	}
	return true
}

// takeSnapshot records the load for the next load reports.
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
	for _, seq := range e.queue {
		report.QueuedPromptTokens += seq.promptTokens
	}
	for _, seq := range e.running {
		report.QueuedPromptTokens += seq.remainingPromptTokens
		report.KVUsed += seq.kvTokens()
	}
	e.snapshot, e.snapshotAt = report, now
}
