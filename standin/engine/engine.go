package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gorseline/core"
)

// Engine is a fake model engine. It generates no tokens until Run is called.
type Engine struct {
	options Options
	mux     *http.ServeMux
	client  *http.Client  // for KV imports from other engines
	wake    chan struct{} // receives a value when an idle engine may have work
	done    chan struct{}

	mu             sync.Mutex
	streams        map[string]*sequence
	queue          []*sequence // by descending priority, then by arrival
	running        []*sequence
	prefixCache    *prefixCache
	nextID         int
	incarnation    int // incremented by each crash; streams of earlier incarnations are lost
	applied        configuration
	pending        *pendingChange
	snapshot       core.LoadReport
	snapshotAt     time.Time
	leaving        bool
	lastHeartbeats map[string]time.Time // last heartbeat per client
	counters       Counters
	faults         faults
}

// configuration is the state that an order sets, with the fencing token, the sequence
// number and the attempt of that order.
type configuration struct {
	role     core.Role
	model    core.Model
	adapter  string
	version  string
	fence    core.Fence
	sequence uint64
	attempt  core.AttemptID
}

// New returns an engine that is not running. Zero options get their defaults.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:        options,
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
		streams:        map[string]*sequence{},
		prefixCache:    newPrefixCache(options.PrefixCacheBlocks),
		lastHeartbeats: map[string]time.Time{},
		applied:        configuration{role: options.Role, model: options.Model, version: options.WeightsVersion},
		faults:         newFaults(),
	}
	transport := &http.Transport{DialContext: options.Dial, DisableKeepAlives: true}
	e.client = &http.Client{Transport: transport, Timeout: 10 * time.Second}
	e.counters.StartedByRequest = map[core.RequestID]int{}
	e.mux = e.routes()
	return e
}

// Done returns a channel that is closed when Run returns.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Run generates tokens until ctx is done. It must be called once.
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
			case <-e.wakeIfIdle(!step.busy()):
			}
		} else if ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		e.finishStep(time.Now(), step)
		e.mu.Unlock()
	}
}

// wakeIfIdle returns the wake channel if idle and nil otherwise, because new work
// joins the batch only between steps.
func (e *Engine) wakeIfIdle(idle bool) <-chan struct{} {
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

// step is one iteration of continuous batching.
type step struct {
	incarnation int
	prefill     []prefillShare
	decode      []*sequence
	duration    time.Duration
}

// prefillShare is the number of prompt tokens that a step computes for a sequence.
type prefillShare struct {
	sequence *sequence
	tokens   int
}

func (s step) busy() bool { return len(s.prefill)+len(s.decode) > 0 }

// planStep admits waiting sequences and plans the next step.
func (e *Engine) planStep(now time.Time) step {
	e.maintain(now)
	s := step{incarnation: e.incarnation}
	if e.faults.paused || e.faults.crashed {
		return s
	}
	e.admit()
	budget := e.prefillBudget()
	prefilled := 0
	for _, seq := range e.running {
		if seq.remainingPromptTokens == 0 {
			s.decode = append(s.decode, seq)
			continue
		}
		if n := min(budget, seq.remainingPromptTokens); n > 0 {
			s.prefill = append(s.prefill, prefillShare{seq, n})
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

// prefillBudget returns the maximum prompt tokens of a step. It is small on decode
// engines to keep their steps short, and large on prefill engines, which have no
// decoding to delay.
func (e *Engine) prefillBudget() int {
	switch e.applied.role {
	case core.RolePrefill:
		return 4 * e.options.PrefillChunk
	case core.RoleDecode:
		return max(1, e.options.PrefillChunk/4)
	default:
		return e.options.PrefillChunk
	}
}

// admit moves waiting sequences to the batch while it has room and their KV cache
// fits. A sequence that exceeds the KV capacity is admitted to an empty batch.
func (e *Engine) admit() {
	used := 0
	for _, seq := range e.running {
		used += seq.kvTokens()
	}
	for len(e.queue) > 0 && len(e.running) < e.options.BatchSize {
		seq := e.queue[0]
		if used+seq.kvTokens() > e.options.KVCapacity && len(e.running) > 0 {
			return
		}
		used += seq.kvTokens()
		e.queue = e.queue[1:]
		cached := e.prefixCache.match(seq.blocks)
		seq.cachedTokens = cached * core.PrefixBlockTokens
		// The last prompt token is always computed: it yields the first output token.
		seq.remainingPromptTokens = max(1, seq.promptTokens-seq.cachedTokens)
		seq.state = stateRunning
		e.running = append(e.running, seq)
	}
}

// finishStep applies the results of a step, unless the engine crashed during it.
func (e *Engine) finishStep(now time.Time, s step) {
	if s.incarnation != e.incarnation {
		return
	}
	for _, share := range s.prefill {
		share.sequence.remainingPromptTokens -= share.tokens
		e.counters.PromptTokens += share.tokens
		if share.sequence.remainingPromptTokens == 0 {
			e.prefixCache.add(now, share.sequence.blocks)
			e.emitTokens(now, share.sequence, 1)
		}
	}
	for _, seq := range s.decode {
		e.emitTokens(now, seq, e.options.TokensPerStep)
	}
	kept := e.running[:0]
	for _, seq := range e.running {
		if seq.state == stateRunning {
			kept = append(kept, seq)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.maintain(now)
}

// emitTokens adds output tokens to a running sequence and completes it at its full
// length.
func (e *Engine) emitTokens(now time.Time, seq *sequence, tokens int) {
	if seq.state != stateRunning {
		return
	}
	n := min(tokens, seq.outputLength-seq.producedTokens)
	seq.producedTokens += n
	e.counters.OutputTokens += n
	if seq.producedTokens >= seq.outputLength {
		seq.state = stateDone
		seq.endedAt = now
		e.counters.Finished++
	}
	seq.notifyReaders()
}
