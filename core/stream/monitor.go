package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core"
)

// phase is the activity of a stream's goroutine.
type phase = uint32

const (
	// phaseBackoff covers the delays between attempts.
	phaseBackoff phase = iota
	phaseRead
	phaseWrite
)

// maxConcurrentHeartbeats bounds the goroutines that write heartbeats at the same
// time. Above it a caller gets its heartbeat at a later inspection.
const maxConcurrentHeartbeats = 256

// loop inspects all streams once per HeartbeatInterval and returns when there are none.
func (r *Relay) loop() {
	ticker := time.NewTicker(r.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.allEnded:
		case <-ticker.C:
			r.inspectAll()
		}
		r.mu.Lock()
		r.loopRunning = len(r.monitors) > 0
		loopRunning := r.loopRunning
		r.mu.Unlock()
		if !loopRunning {
			return
		}
	}
}

// inspectAll inspects each stream and sends heartbeats to idle callers.
func (r *Relay) inspectAll() {
	r.mu.Lock()
	monitors := make([]*monitor, 0, len(r.monitors))
	for m := range r.monitors {
		monitors = append(monitors, m)
	}
	r.mu.Unlock()
	for _, m := range monitors {
		if !m.inspect() {
			continue
		}
		select {
		case r.heartbeatSlots <- struct{}{}:
			go func() {
				m.sendHeartbeat()
				<-r.heartbeatSlots
			}()
		default:
		}
	}
}

// monitor is the state of one stream that the relay's loop inspects. It detects silent
// engines and callers that don't read, and sends heartbeats to idle callers. The stream
// only counts its reads and writes, which saves a clock reading per token. It has no
// timer of its own, so that a busy stream needs no goroutine besides that of its caller.
type monitor struct {
	relay *Relay
	// cancelStream ends the stream with a cause.
	cancelStream context.CancelCauseFunc

	phase          atomic.Uint32
	reads          atomic.Uint32
	writes         atomic.Uint32
	tokenDelivered atomic.Bool // a token has been delivered

	// sinkMu is held during each call of the sink.
	sinkMu sync.Mutex
	sink   Sink

	mu               sync.Mutex
	closed           bool
	cancelAttempt    context.CancelCauseFunc // nil after the attempt was cancelled
	lastReads        uint32
	lastWrites       uint32
	silentIntervals  int // consecutive inspections without a read from the engine
	stalledIntervals int // consecutive inspections during one call of the sink
}

// start registers the stream with the relay and starts the loop if necessary.
func (m *monitor) start() {
	r := m.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.monitors[m] = struct{}{}
	r.counters.open.Add(1)
	if r.handingOver {
		m.cancelStream(errHandedOver)
	}
	if !r.loopRunning {
		r.loopRunning = true
		go r.loop()
	}
}

// stop removes the stream from the relay. No call of the sink is in progress when it
// returns.
func (m *monitor) stop() {
	// The stream stays monitored while stop waits for a heartbeat that is being written,
	// so a stalled caller is still interrupted.
	m.sinkMu.Lock()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.sinkMu.Unlock()
	r := m.relay
	r.mu.Lock()
	delete(r.monitors, m)
	r.counters.open.Add(-1)
	last := len(r.monitors) == 0
	r.mu.Unlock()
	if !last {
		return
	}
	select {
	case r.allEnded <- struct{}{}:
	default:
	}
}

// setAttempt sets the function that cancels the current attempt when its connection is
// silent.
func (m *monitor) setAttempt(cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelAttempt, m.silentIntervals = cancel, 0
}

// inspect compares the counts of reads and writes with those of the previous inspection.
// It cancels a silent attempt, ends the stream of a stalled caller and reports whether
// the caller needs a heartbeat.
func (m *monitor) inspect() (heartbeat bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	o := &m.relay.options
	reads, writes := m.reads.Load(), m.writes.Load()
	if m.phase.Load() == phaseRead && reads == m.lastReads {
		m.silentIntervals++
		if m.silentIntervals >= o.MissedHeartbeats && m.cancelAttempt != nil {
			m.relay.counters.silent.Add(1)
			m.cancelAttempt(core.ErrIdleTimeout)
			m.cancelAttempt, m.silentIntervals = nil, 0
		}
	} else {
		m.silentIntervals = 0
	}
	idle := writes == m.lastWrites
	m.lastReads, m.lastWrites = reads, writes
	if !idle {
		m.stalledIntervals = 0
		return false
	}
	if m.sinkMu.TryLock() {
		m.sinkMu.Unlock()
		m.stalledIntervals = 0
		return true
	}
	m.stalledIntervals++
	if time.Duration(m.stalledIntervals)*o.HeartbeatInterval >= o.WriteTimeout {
		m.cancelStream(errStalled)
		m.sink.Interrupt()
	}
	return false
}

// sendHeartbeat sends a heartbeat unless the sink is in use or the stream has ended.
func (m *monitor) sendHeartbeat() {
	if !m.sinkMu.TryLock() {
		return
	}
	defer m.sinkMu.Unlock()
	m.mu.Lock()
	closed := m.closed
	m.mu.Unlock()
	if closed {
		return
	}
	if err := m.sink.Heartbeat(); err != nil {
		m.cancelStream(err)
		return
	}
	// The heartbeat doesn't count as a write of the stream: a caller that stays idle
	// gets another one at the next inspection.
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastWrites = m.writes.Add(1)
}

// write runs one call of the sink and counts it.
func (m *monitor) write(call func(Sink) error) error {
	m.phase.Store(phaseWrite)
	m.sinkMu.Lock()
	err := call(m.sink)
	m.sinkMu.Unlock()
	m.writes.Add(1)
	return err
}
