package engine

import (
	"time"

	"gorseline/core"
)

// Counters counts the work of an engine since its creation.
type Counters struct {
	// Started counts accepted completions and Finished those that generated all of
	// their tokens.
	Started   int
	Finished  int
	Cancelled int // by a client's request
	Orphaned  int // cancelled because they had no reader
	Resumed   int
	Refused   int
	// PromptTokens counts computed prompt tokens and OutputTokens generated tokens.
	PromptTokens int
	OutputTokens int
	// ImportedTokens counts prompt tokens whose KV cache came from another engine.
	ImportedTokens     int
	OrdersAccepted     int
	StaleOrdersRefused int
	// StaleOrdersAccepted counts orders with an outdated fencing token that were
	// accepted because the engine doesn't check fencing tokens.
	StaleOrdersAccepted int
	RoleChanges         int
	ModelLoads          int
	Heartbeats          int
	// StartedByRequest counts accepted completions by request.
	StartedByRequest map[core.RequestID]int
}

// faults is the state of fault injection.
type faults struct {
	crashed        bool
	paused         bool
	halfOpen       bool
	changed        chan struct{} // closed and replaced at each change
	cutAfterTokens int           // -1 for none
	remainingCuts  int           // stream readers still to cut
	pieceDelay     time.Duration
	duplicate      bool
	reorder        bool
}

func newFaults() faults { return faults{changed: make(chan struct{}), cutAfterTokens: -1} }

func (e *Engine) setFault(set func(*faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set(&e.faults)
	close(e.faults.changed)
	e.faults.changed = make(chan struct{})
	e.wakeUp()
}

// Crash drops all streams, the cache and a pending order, and aborts all
// connections. Until Restart the engine also aborts the connection of each request.
func (e *Engine) Crash() {
	e.setFault(func(f *faults) {
		f.crashed = true
		e.dropState()
	})
}

// CrashAndRestart crashes and restarts the engine at once, so that no request arrives
// in between.
func (e *Engine) CrashAndRestart() { e.setFault(func(*faults) { e.dropState() }) }

// dropState drops everything that a crash loses. The caller must hold e.mu.
func (e *Engine) dropState() {
	e.incarnation++
	now := time.Now()
	for _, seq := range e.streams {
		e.end(seq, stateLost, now)
	}
	clear(e.streams)
	clear(e.lastHeartbeats)
	e.queue, e.running, e.pending = nil, nil, nil
	e.prefixCache.clear()
}

// Restart ends a crash. The engine keeps its last applied configuration.
func (e *Engine) Restart() { e.setFault(func(f *faults) { f.crashed = false }) }

// SetPaused pauses or resumes the engine. A paused engine sends no answers and does no
// work after the current step.
func (e *Engine) SetPaused(paused bool) { e.setFault(func(f *faults) { f.paused = paused }) }

// SetHalfOpen makes the engine accept requests without answering, and send nothing on
// open streams. Work continues.
func (e *Engine) SetHalfOpen(halfOpen bool) { e.setFault(func(f *faults) { f.halfOpen = halfOpen }) }

// CutStreams aborts the connections of the next count stream readers after the given
// number of tokens. The streams can be resumed.
func (e *Engine) CutStreams(count, tokens int) {
	e.setFault(func(f *faults) { f.remainingCuts, f.cutAfterTokens = count, tokens })
}

// SetPieceDelay sets the delay of each piece.
func (e *Engine) SetPieceDelay(d time.Duration) { e.setFault(func(f *faults) { f.pieceDelay = d }) }

// SetDuplicatePieces makes the engine send each piece twice.
func (e *Engine) SetDuplicatePieces(duplicate bool) {
	e.setFault(func(f *faults) { f.duplicate = duplicate })
}

// SetReorderPieces makes the engine swap consecutive pieces in pairs where two are
// available.
func (e *Engine) SetReorderPieces(reorder bool) { e.setFault(func(f *faults) { f.reorder = reorder }) }

// SetLeaving sets the leaving flag of load reports, which asks for no new work.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Counters returns a copy of the engine's counters.
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

// Load returns the current load, without the delay of load reports.
func (e *Engine) Load() core.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot, snapshotAt := e.snapshot, e.snapshotAt
	e.takeSnapshot(time.Now())
	current := e.snapshot
	e.snapshot, e.snapshotAt = snapshot, snapshotAt
	return current
}

// OpenStreams returns the number of streams that have at least one reader.
func (e *Engine) OpenStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := 0
	for _, seq := range e.streams {
		if len(seq.readers) > 0 {
			open++
		}
	}
	return open
}
