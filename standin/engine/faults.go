package engine

import (
	"time"

	"gorseline/core"
)

// Counters tells what an engine ran.
type Counters struct {
	// Started counts accepted completions, Finished the complete ones.
	Started   int
	Finished  int
	Cancelled int
	Orphaned  int
	Resumed   int
	Refused   int
	// PromptTokens were computed, OutputTokens generated.
	PromptTokens int
	OutputTokens int
	// ImportedTokens came from other engines.
	ImportedTokens     int
	OrdersAccepted     int
	StaleOrdersRefused int
	// StaleOrdersAccepted counts orders with an old fence that were carried out because
	// the engine doesn't check fences.
	StaleOrdersAccepted int
	RoleChanges         int
	ModelLoads          int
	Heartbeats          int
	// StartedByRequest counts accepted completions per request.
	StartedByRequest map[core.RequestID]int
}

// faults is the state of the fault controls. Closed channels mean "not in force".
type faults struct {
	crashed  bool
	paused   bool
	halfOpen bool
	changed  chan struct{} // closed and replaced at each change
	cutAfter int           // tokens, -1 for none
	cuts     int           // streams still to cut
	delay    time.Duration
	double   bool
	reorder  bool
}

func newFaults() faults { return faults{changed: make(chan struct{}), cutAfter: -1} }

func (e *Engine) setFault(set func(*faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set(&e.faults)
	close(e.faults.changed)
	e.faults.changed = make(chan struct{})
	e.wakeUp()
}

// Crash loses all streams, the cache and a pending order, and breaks all
// connections. Until Restart each request's connection is broken too.
func (e *Engine) Crash() {
	e.setFault(func(f *faults) {
		f.crashed = true
		e.lose()
	})
}

// CrashAndRestart is a crash after which the engine is back before any request meets it down.
func (e *Engine) CrashAndRestart() { e.setFault(func(*faults) { e.lose() }) }

// lose drops all that a crash loses. The lock must be held.
func (e *Engine) lose() {
	e.life++
	now := time.Now()
	for _, q := range e.streams {
		e.end(q, stateLost, now)
	}
	clear(e.streams)
	clear(e.clients)
	e.queue, e.running, e.pending = nil, nil, nil
	e.cache.clear()
}

// Restart ends a crash. The engine comes back with its last applied role.
func (e *Engine) Restart() { e.setFault(func(f *faults) { f.crashed = false }) }

// Pause stops all work and all answers; Pause(false) goes on where it stopped.
func (e *Engine) Pause(on bool) { e.setFault(func(f *faults) { f.paused = on }) }

// HalfOpen makes the engine accept requests without ever answering, and leaves
// open streams silent. Work goes on.
func (e *Engine) HalfOpen(on bool) { e.setFault(func(f *faults) { f.halfOpen = on }) }

// CutStreams breaks the connections of the next count streams after the given
// number of tokens. The streams can be resumed.
func (e *Engine) CutStreams(count, tokens int) {
	e.setFault(func(f *faults) { f.cuts, f.cutAfter = count, tokens })
}

// DelayPieces holds each piece back by d.
func (e *Engine) DelayPieces(d time.Duration) { e.setFault(func(f *faults) { f.delay = d }) }

// DuplicatePieces sends each piece twice.
func (e *Engine) DuplicatePieces(on bool) { e.setFault(func(f *faults) { f.double = on }) }

// ReorderPieces swaps pairs of pieces where two are available.
func (e *Engine) ReorderPieces(on bool) { e.setFault(func(f *faults) { f.reorder = on }) }

// SetLeaving makes load reports ask for no new work.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// Counters returns what the engine has run so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.StartedByRequest = make(map[core.RequestID]int, len(e.counters.StartedByRequest))
	for request, n := range e.counters.StartedByRequest {
		c.StartedByRequest[request] = n
	}
	return c
}

// Load returns the load at this moment, without the lag of the reports.
func (e *Engine) Load() core.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept, at := e.snapshot, e.takenAt
	e.takeSnapshot(time.Now())
	now := e.snapshot
	e.snapshot, e.takenAt = kept, at
	return now
}

// OpenStreams returns the number of streams with a reader.
func (e *Engine) OpenStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := 0
	for _, q := range e.streams {
		if len(q.readers) > 0 {
			open++
		}
	}
	return open
}
