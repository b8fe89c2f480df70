package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gorseline/core"
)

// Engine is one stand-in engine. It serves nothing until Run is called.
type Engine struct {
	options Options
	mux     *http.ServeMux
	client  *http.Client // reaches other engines
	wake    chan struct{}
	done    chan struct{}

	mu       sync.Mutex
	streams  map[string]*sequence
	queue    []*sequence // by priority, then by arrival
	running  []*sequence
	cache    *prefixCache
	nextID   int
	life     int // grows with each crash; streams of an earlier life are lost
	applied  state
	pending  *change
	snapshot core.LoadReport
	takenAt  time.Time
	leaving  bool
	clients  map[string]time.Time // last heartbeat per client
	counters Counters
	faults   faults
}

// state is what an engine is after the last order that took effect.
type state struct {
	role     core.Role
	model    core.Model
	adapter  string
	version  string
	fence    core.Fence
	sequence uint64
	attempt  core.AttemptID
}

// New returns an engine that has not started.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options: options,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		streams: map[string]*sequence{},
		cache:   newPrefixCache(options.PrefixCacheBlocks),
		clients: map[string]time.Time{},
		applied: state{role: options.Role, model: options.Model, version: options.WeightsVersion},
		faults:  newFaults(),
	}
	transport := &http.Transport{DialContext: options.Dial, DisableKeepAlives: true}
	e.client = &http.Client{Transport: transport, Timeout: 10 * time.Second}
	e.counters.StartedByRequest = map[core.RequestID]int{}
	e.mux = e.routes()
	return e
}

// Done is closed when Run has returned.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Run generates tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.done)
	e.mu.Lock()
	e.takeSnapshot(time.Now())
	e.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e.mu.Lock()
		step := e.planStep(time.Now())
		e.mu.Unlock()
		if step.duration > 0 || !step.busy() {
			wait := step.duration
			if !step.busy() {
				wait = e.options.LoadReportInterval
			}
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			case <-e.wakeWhen(!step.busy()):
			}
		} else if ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		e.finishStep(time.Now(), step)
		e.mu.Unlock()
	}
}

// wakeWhen returns the wake channel if idle and nil otherwise: new work joins the
// batch only between steps.
func (e *Engine) wakeWhen(idle bool) <-chan struct{} {
	if idle {
		return e.wake
	}
	return nil
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step is one iteration of the batch.
type step struct {
	life     int
	prefill  []share
	decode   []*sequence
	duration time.Duration
}

// share is the part of a step's prompt tokens that one sequence gets.
type share struct {
	sequence *sequence
	tokens   int
}

func (s step) busy() bool { return len(s.prefill)+len(s.decode) > 0 }

// planStep admits waiting sequences and shares the next step's work out.
func (e *Engine) planStep(now time.Time) step {
	e.housekeep(now)
	s := step{life: e.life}
	if e.faults.paused || e.faults.crashed {
		return s
	}
	e.admit()
	budget := e.prefillChunk()
	prefilled := 0
	for _, q := range e.running {
		if q.remaining == 0 {
			s.decode = append(s.decode, q)
			continue
		}
		if n := min(budget, q.remaining); n > 0 {
			s.prefill = append(s.prefill, share{q, n})
			budget -= n
			prefilled += n
		}
	}
	if !s.busy() {
		return s
	}
	s.duration = e.options.StepBase + time.Duration(len(s.decode))*e.options.StepPerSequence
	s.duration += time.Duration(float64(prefilled) / e.options.PrefillRate * float64(time.Second))
	return s
}

// prefillChunk is the prompt budget of a step: a decode engine keeps its steps
// short, a prefill engine has no decode to delay.
func (e *Engine) prefillChunk() int {
	switch e.applied.role {
	case core.RolePrefill:
		return 4 * e.options.PrefillChunk
	case core.RoleDecode:
		return max(1, e.options.PrefillChunk/4)
	default:
		return e.options.PrefillChunk
	}
}

func (e *Engine) admit() {
	used := 0
	for _, q := range e.running {
		used += q.kvTokens()
	}
	for len(e.queue) > 0 && len(e.running) < e.options.BatchSize {
		q := e.queue[0]
		if used+q.kvTokens() > e.options.KVCapacity && len(e.running) > 0 {
			return
		}
		used += q.kvTokens()
		e.queue = e.queue[1:]
		cached := e.cache.match(q.blocks)
		q.cachedTokens = cached * core.PrefixBlockTokens
		// The last token is always computed: it yields the first token of output.
		q.remaining = max(1, q.promptTokens-q.cachedTokens)
		q.state = stateRunning
		e.running = append(e.running, q)
	}
}

// finishStep gives the sequences of a step their tokens.
func (e *Engine) finishStep(now time.Time, s step) {
	if s.life != e.life {
		return
	}
	for _, part := range s.prefill {
		part.sequence.remaining -= part.tokens
		e.counters.PromptTokens += part.tokens
		if part.sequence.remaining == 0 {
			e.cache.add(now, part.sequence.blocks)
			e.produce(now, part.sequence, 1)
		}
	}
	for _, q := range s.decode {
		e.produce(now, q, e.options.TokensPerStep)
	}
	kept := e.running[:0]
	for _, q := range e.running {
		if q.state == stateRunning {
			kept = append(kept, q)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.housekeep(now)
}

func (e *Engine) produce(now time.Time, q *sequence, tokens int) {
	if q.state != stateRunning {
		return
	}
	n := min(tokens, q.length-q.produced)
	q.produced += n
	e.counters.OutputTokens += n
	if q.produced >= q.length {
		q.state = stateDone
		q.endedAt = now
		e.counters.Finished++
	}
	q.notify()
}
