package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core"
)

// phase is what a stream's goroutine is doing.
type phase = uint32

const (
	// phaseWait covers pauses between attempts.
	phaseWait phase = iota
	phaseRead
	phaseWrite
)

// watch looks at one stream once per interval. It finds engines that are silent
// and callers that don't read, and sends heartbeats to idle callers. The stream
// only counts its reads and writes, so that a token costs no clock reading.
type watch struct {
	relay *Relay
	// end ends the stream with a cause.
	end      context.CancelCauseFunc
	deadline core.Instant

	phase  atomic.Uint32
	reads  atomic.Uint32
	writes atomic.Uint32
	begun  atomic.Bool // a token has been delivered

	// sinkMu is held during each call of the sink.
	sinkMu sync.Mutex
	sink   Sink

	mu         sync.Mutex
	closed     bool
	timer      *time.Timer
	cancel     context.CancelCauseFunc // ends the current attempt
	seenReads  uint32
	seenWrites uint32
	missed     int
	stalled    int
}

func (w *watch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.relay.options.HeartbeatInterval, w.look)
}

// stop ends the watch. No call of the sink is under way when it returns.
func (w *watch) stop() {
	// The timer still runs while this waits for a heartbeat that is being written,
	// so that a caller that doesn't read is interrupted.
	w.sinkMu.Lock()
	defer w.sinkMu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.timer.Stop()
}

// attempt names the attempt that is ended when its connection is silent.
func (w *watch) attempt(cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel, w.missed = cancel, 0
}

func (w *watch) look() {
	if w.inspect() {
		w.heartbeat()
	}
}

// inspect compares the counts with those of the last look and reports whether the
// caller needs a heartbeat.
func (w *watch) inspect() (heartbeat bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	o := &w.relay.options
	w.timer.Reset(o.HeartbeatInterval)
	if w.deadline != 0 && !w.begun.Load() && o.Clock.Now() >= w.deadline {
		w.end(errDeadline)
	}
	reads, writes := w.reads.Load(), w.writes.Load()
	if w.phase.Load() == phaseRead && reads == w.seenReads {
		w.missed++
		if w.missed >= o.MissedHeartbeats && w.cancel != nil {
			w.relay.counters.silent.Add(1)
			w.cancel(core.ErrSilent)
			w.cancel, w.missed = nil, 0
		}
	} else {
		w.missed = 0
	}
	idle := writes == w.seenWrites
	w.seenReads, w.seenWrites = reads, writes
	if !idle {
		w.stalled = 0
		return false
	}
	if w.sinkMu.TryLock() {
		w.sinkMu.Unlock()
		w.stalled = 0
		return true
	}
	w.stalled++
	if time.Duration(w.stalled)*o.HeartbeatInterval >= o.CallerStall {
		w.end(errStalled)
		w.sink.Interrupt()
	}
	return false
}

func (w *watch) heartbeat() {
	if !w.sinkMu.TryLock() {
		return
	}
	defer w.sinkMu.Unlock()
	w.mu.Lock()
	closed := w.closed
	w.mu.Unlock()
	if closed {
		return
	}
	if err := w.sink.Heartbeat(); err != nil {
		w.end(err)
		return
	}
	// A heartbeat is no write of the stream, so that the next look sends another.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seenWrites = w.writes.Add(1)
}

// write runs one call of the sink.
func (w *watch) write(call func(Sink) error) error {
	w.phase.Store(phaseWrite)
	w.sinkMu.Lock()
	err := call(w.sink)
	w.sinkMu.Unlock()
	w.writes.Add(1)
	return err
}
