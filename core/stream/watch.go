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

// maxHeartbeats bounds the heartbeats to callers that are being written at the
// same time. Over it a caller gets its heartbeat at a later look.
const maxHeartbeats = 256

// loop looks at all streams once per HeartbeatInterval, until there are none.
func (r *Relay) loop() {
	ticker := time.NewTicker(r.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ended:
		case <-ticker.C:
			r.look()
		}
		r.mu.Lock()
		r.looping = len(r.watches) > 0
		looping := r.looping
		r.mu.Unlock()
		if !looping {
			return
		}
	}
}

func (r *Relay) look() {
	r.mu.Lock()
	watches := make([]*watch, 0, len(r.watches))
	for w := range r.watches {
		watches = append(watches, w)
	}
	r.mu.Unlock()
	for _, w := range watches {
		if !w.inspect() {
			continue
		}
		select {
		case r.heartbeats <- struct{}{}:
			go func() {
				w.heartbeat()
				<-r.heartbeats
			}()
		default:
		}
	}
}

// watch is what the relay's loop knows of one stream. It finds engines that are silent and
// callers that don't read, and sends heartbeats to idle callers. The stream only
// counts its reads and writes, so that a token costs no clock reading, and it has
// no timer of its own, so that a look starts no goroutine for a busy stream.
type watch struct {
	relay *Relay
	// end ends the stream with a cause.
	end context.CancelCauseFunc

	phase  atomic.Uint32
	reads  atomic.Uint32
	writes atomic.Uint32
	begun  atomic.Bool // a token has been delivered

	// sinkMu is held during each call of the sink.
	sinkMu sync.Mutex
	sink   Sink

	mu         sync.Mutex
	closed     bool
	cancel     context.CancelCauseFunc // ends the current attempt
	seenReads  uint32
	seenWrites uint32
	missed     int
	stalled    int
}

func (w *watch) start() {
	r := w.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watches[w] = struct{}{}
	r.counters.open.Add(1)
	if r.leaving {
		w.end(errHandOver)
	}
	if !r.looping {
		r.looping = true
		go r.loop()
	}
}

// stop ends the watch. No call of the sink is under way when it returns.
func (w *watch) stop() {
	// The watch goes on while this waits for a heartbeat that is being written, so
	// that a caller that doesn't read is interrupted.
	w.sinkMu.Lock()
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.sinkMu.Unlock()
	r := w.relay
	r.mu.Lock()
	delete(r.watches, w)
	r.counters.open.Add(-1)
	last := len(r.watches) == 0
	r.mu.Unlock()
	if !last {
		return
	}
	select {
	case r.ended <- struct{}{}:
	default:
	}
}

// attempt names the attempt that is ended when its connection is silent.
func (w *watch) attempt(cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel, w.missed = cancel, 0
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
	reads, writes := w.reads.Load(), w.writes.Load()
	if w.phase.Load() == phaseRead && reads == w.seenReads {
		w.missed++
		if w.missed >= o.MissedHeartbeats && w.cancel != nil {
			w.relay.counters.silent.Add(1)
			w.cancel(core.ErrIdleTimeout)
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
	if time.Duration(w.stalled)*o.HeartbeatInterval >= o.WriteTimeout {
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
