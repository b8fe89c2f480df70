package bench

import (
	"math"
	"time"

	"gorseline/core"
)

// EngineModel is the speed and the memory of an engine.
type EngineModel struct {
	// PrefillRate is prompt tokens per second of a prompt that has the engine alone.
	PrefillRate float64
	// StepBase and StepPerSequence give the time of a decode step.
	StepBase, StepPerSequence time.Duration
	// ChunkTokens is the number of prompt tokens computed between two decode steps.
	ChunkTokens int
	// MixedOverhead is the factor on the time of such a chunk.
	MixedOverhead float64
	// Slots bounds the sequences of a batch; KVTokens bounds their KV memory.
	Slots, KVTokens int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// TransferRate is KV cache tokens per second between two engines.
	TransferRate float64
	// ChangeTime is how long an idle engine takes to change its role; RestartTime
	// is how long it is away after a crash.
	ChangeTime, RestartTime time.Duration
}

// tokenCost is the least engine time per generated token, at a full batch.
func (m *EngineModel) tokenCost() float64 {
	return m.StepBase.Seconds()/float64(m.Slots) + m.StepPerSequence.Seconds()
}

func (m *EngineModel) stepTime(sequences int) float64 {
	return m.StepBase.Seconds() + m.StepPerSequence.Seconds()*float64(sequences)
}

// tolerance absorbs the rounding of event times to nanoseconds, in tokens.
const tolerance = 1e-3

// engine is a fake model engine. Between two events its speed is constant, so that
// progress is advanced in one step and no event per token is needed.
type engine struct {
	core.Target
	index int
	model *EngineModel
	role  core.Role
	up    bool
	// downUntil is when a crashed engine may come back.
	downUntil core.Instant
	// change is set while the idle engine carries out a role change.
	change bool

	// counter is the number of tokens that each running sequence would have got
	// since the start; advanced is the moment that it is valid for.
	counter  float64
	advanced core.Instant
	prompts  jobHeap
	waiting  jobHeap
	running  jobHeap
	kvUsed   int
	cache    *prefixCache
	// version invalidates planned events when the composition changes.
	version uint64
}

func newEngine(index int, target core.Target, model *EngineModel) *engine {
	return &engine{
		Target: target, index: index, model: model, role: target.Role, up: true,
		prompts: jobHeap{less: byPriority}, waiting: jobHeap{less: byPriority}, running: jobHeap{less: byFinish},
		cache: newPrefixCache(model.CacheTokens),
	}
}

// rates returns prompt tokens per second and tokens per second of each sequence.
func (e *engine) rates() (prompt, token float64) {
	n := e.running.Len()
	if n == 0 {
		return e.model.PrefillRate, 0
	}
	step := e.model.stepTime(n)
	if e.prompts.Len() == 0 {
		return 0, 1 / step
	}
	step += float64(e.model.ChunkTokens) / e.model.PrefillRate * e.model.MixedOverhead
	return float64(e.model.ChunkTokens) / step, 1 / step
}

// advance moves the engine's work on to now.
func (e *engine) advance(now core.Instant) {
	elapsed := now.Sub(e.advanced).Seconds()
	e.advanced = now
	if elapsed <= 0 || !e.up {
		return
	}
	prompt, token := e.rates()
	e.counter += elapsed * token
	if head := e.prompts.head(); head != nil {
		head.remaining -= elapsed * prompt
	}
}

// next returns when the next prompt or answer will be complete.
func (e *engine) next() (core.Instant, bool) {
	prompt, token := e.rates()
	least := math.Inf(1)
	if head := e.prompts.head(); head != nil {
		least = head.remaining / prompt
	}
	if head := e.running.head(); head != nil {
		least = min(least, (head.finish-e.counter)/token)
	}
	if !e.up || math.IsInf(least, 1) {
		return 0, false
	}
	return e.advanced.Add(time.Duration(max(least, 0)*1e9) + 1), true
}

// startHead takes the cached prefix off the work of the prompt at the head.
func (e *engine) startHead() {
	head := e.prompts.head()
	if head == nil || head.started {
		return
	}
	head.started = true
	if prefix := e.cache.tokens(head.call.prefix); prefix > 0 {
		head.remaining = max(0, head.remaining-float64(prefix))
	}
}

// fits reports whether a sequence can join the batch.
func (e *engine) fits(j *job) bool {
	return e.running.Len() < e.model.Slots && e.kvUsed+j.kv <= e.model.KVTokens
}

// join moves waiting sequences into the batch and calls started for each.
func (e *engine) join(started func(*job)) {
	for e.waiting.Len() > 0 && e.fits(e.waiting.head()) {
		j := e.waiting.take()
		j.stage = stageRunning
		j.finish = e.counter + float64(j.call.output)
		e.kvUsed += j.kv
		e.running.push(j)
		started(j)
	}
}

// promptsDone removes the computed prompts and calls done for each.
func (e *engine) promptsDone(done func(*job)) {
	for {
		e.startHead()
		head := e.prompts.head()
		if head == nil || head.remaining > tolerance {
			return
		}
		e.prompts.take()
		done(head)
	}
}

// answersDone removes the complete answers and calls done for each.
func (e *engine) answersDone(done func(*job)) {
	for head := e.running.head(); head != nil && head.finish <= e.counter+tolerance; head = e.running.head() {
		e.running.take()
		e.kvUsed -= head.kv
		done(head)
	}
}

// drop removes a job that was cancelled.
func (e *engine) drop(j *job) {
	switch j.stage {
	case stagePrompt:
		e.prompts.remove(j)
	case stageWaiting:
		e.waiting.remove(j)
	case stageRunning:
		e.running.remove(j)
		e.kvUsed -= j.kv
	case stageTransit, stageOver:
	}
}

// empty stops the engine and returns the jobs that it loses.
func (e *engine) empty() []*job {
	var lost []*job
	for _, h := range []*jobHeap{&e.prompts, &e.waiting, &e.running} {
		lost = append(lost, h.jobs...)
		h.jobs = nil
	}
	e.kvUsed = 0
	e.cache.clear()
	return lost
}

// report is what the engine says about its load now.
func (e *engine) report(model core.Model) core.LoadReport {
	backlog, urgent := 0.0, 0.0
	for _, j := range e.prompts.jobs {
		backlog += max(0, j.remaining)
		if j.call.Kind.Urgent {
			urgent += max(0, j.remaining)
		}
	}
	return core.LoadReport{
		QueuedRequests: e.prompts.Len() + e.waiting.Len(), Running: e.running.Len(),
		QueuedPromptTokens: int(backlog), QueuedUrgentTokens: int(urgent),
		Slots: e.model.Slots, KVUsed: e.kvUsed, KVCapacity: e.model.KVTokens,
		Role: e.role, Model: model, Changing: e.change,
	}
}
