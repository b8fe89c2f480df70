package bench

import (
	"math"
	"time"

	"gorseline/core"
)

// EngineModel describes the speed and the memory of an engine.
type EngineModel struct {
	// PrefillRate is the number of prompt tokens per second on an otherwise idle engine.
	PrefillRate float64
	// A decode step takes StepBase plus StepPerSequence for each sequence of the batch.
	StepBase, StepPerSequence time.Duration
	// ChunkTokens is the number of prompt tokens computed between two decode steps.
	ChunkTokens int
	// MixedOverhead multiplies the time of a prompt chunk that is computed between decode
	// steps.
	MixedOverhead float64
	// Slots is the maximum number of sequences in a batch, KVTokens that of the tokens in
	// its KV memory.
	Slots, KVTokens int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// TransferRate is the number of KV cache tokens per second between two engines.
	TransferRate float64
	// RoleChangeTime is how long a role change of an idle engine takes, RestartTime how long
	// an engine is down when it crashes during a role change.
	RoleChangeTime, RestartTime time.Duration
}

// minTokenTime returns the engine time per generated token at a full batch, in seconds.
func (m *EngineModel) minTokenTime() float64 {
	return m.StepBase.Seconds()/float64(m.Slots) + m.StepPerSequence.Seconds()
}

// stepTime returns the time of a decode step in seconds.
func (m *EngineModel) stepTime(sequences int) float64 {
	return m.StepBase.Seconds() + m.StepPerSequence.Seconds()*float64(sequences)
}

// tokenTolerance exceeds the error of the progress, in tokens, that results from rounding
// event times to nanoseconds.
const tokenTolerance = 1e-3

// engine is a fake model engine. Its speed is constant between two of its events, so its
// progress is computed once per event and not once per token.
type engine struct {
	core.Target
	index int
	model *EngineModel
	role  core.Role
	up    bool
	// downUntil is the earliest time at which a crashed engine restarts.
	downUntil core.Instant
	// changingRole is set while the drained engine executes a role change.
	changingRole bool

	// tokenCounter is the number of tokens that a sequence would have generated if it had
	// been in the batch all the time up to advancedAt.
	tokenCounter float64
	advancedAt   core.Instant
	promptQueue  jobHeap
	decodeQueue  jobHeap
	batch        jobHeap
	kvUsed       int
	cache        *prefixCache
	// scheduleVersion identifies the latest scheduled completion. Events of earlier
	// versions are ignored.
	scheduleVersion uint64
}

func newEngine(index int, target core.Target, model *EngineModel) *engine {
	return &engine{
		Target: target, index: index, model: model, role: target.Role, up: true,
		promptQueue: jobHeap{less: byPriority}, decodeQueue: jobHeap{less: byPriority}, batch: jobHeap{less: byFinish},
		cache: newPrefixCache(model.CacheTokens),
	}
}

// rates returns the prompt tokens per second of the engine and the generated tokens per
// second of each sequence.
func (e *engine) rates() (prompt, token float64) {
	n := e.batch.Len()
	if n == 0 {
		return e.model.PrefillRate, 0
	}
	step := e.model.stepTime(n)
	if e.promptQueue.Len() == 0 {
		return 0, 1 / step
	}
	step += float64(e.model.ChunkTokens) / e.model.PrefillRate * e.model.MixedOverhead
	return float64(e.model.ChunkTokens) / step, 1 / step
}

// advance updates the progress of the engine's work to now.
func (e *engine) advance(now core.Instant) {
	elapsed := now.Sub(e.advancedAt).Seconds()
	e.advancedAt = now
	if elapsed <= 0 || !e.up {
		return
	}
	prompt, token := e.rates()
	e.tokenCounter += elapsed * token
	if head := e.promptQueue.peek(); head != nil {
		head.remainingPrompt -= elapsed * prompt
	}
}

// nextCompletion returns when the next prompt or answer is complete, or false if the engine
// is idle or down.
func (e *engine) nextCompletion() (core.Instant, bool) {
	prompt, token := e.rates()
	shortest := math.Inf(1)
	if head := e.promptQueue.peek(); head != nil {
		shortest = head.remainingPrompt / prompt
	}
	if head := e.batch.peek(); head != nil {
		shortest = min(shortest, (head.finishCounter-e.tokenCounter)/token)
	}
	if !e.up || math.IsInf(shortest, 1) {
		return 0, false
	}
	return e.advancedAt.Add(time.Duration(max(shortest, 0)*1e9) + 1), true
}

// startNextPrompt subtracts the cached prefix from the work of the first queued prompt.
func (e *engine) startNextPrompt() {
	head := e.promptQueue.peek()
	if head == nil || head.prefixApplied {
		return
	}
	head.prefixApplied = true
	if prefix := e.cache.lookup(head.call.prefixID); prefix > 0 {
		head.remainingPrompt = max(0, head.remainingPrompt-float64(prefix))
	}
}

// hasRoom reports whether the batch has a free slot and enough KV memory for a job.
func (e *engine) hasRoom(j *job) bool {
	return e.batch.Len() < e.model.Slots && e.kvUsed+j.kvTokens <= e.model.KVTokens
}

// fillBatch moves waiting jobs into the batch while there is room and calls started for each.
func (e *engine) fillBatch(started func(*job)) {
	for e.decodeQueue.Len() > 0 && e.hasRoom(e.decodeQueue.peek()) {
		j := e.decodeQueue.pop()
		j.stage = stageRunning
		j.finishCounter = e.tokenCounter + float64(j.call.actualOutput)
		e.kvUsed += j.kvTokens
		e.batch.push(j)
		started(j)
	}
}

// removeComputedPrompts removes the computed prompts and calls done for each.
func (e *engine) removeComputedPrompts(done func(*job)) {
	for {
		e.startNextPrompt()
		head := e.promptQueue.peek()
		if head == nil || head.remainingPrompt > tokenTolerance {
			return
		}
		e.promptQueue.pop()
		done(head)
	}
}

// removeCompleteAnswers removes the complete answers and calls done for each.
func (e *engine) removeCompleteAnswers(done func(*job)) {
	for head := e.batch.peek(); head != nil && head.finishCounter <= e.tokenCounter+tokenTolerance; head = e.batch.peek() {
		e.batch.pop()
		e.kvUsed -= head.kvTokens
		done(head)
	}
}

// remove removes a cancelled job.
func (e *engine) remove(j *job) {
	switch j.stage {
	case stagePrompt:
		e.promptQueue.remove(j)
	case stageWaiting:
		e.decodeQueue.remove(j)
	case stageRunning:
		e.batch.remove(j)
		e.kvUsed -= j.kvTokens
	case stageInTransit, stageEnded:
	}
}

// removeAll removes and returns all jobs and clears the prefix cache.
func (e *engine) removeAll() []*job {
	var removed []*job
	for _, h := range []*jobHeap{&e.promptQueue, &e.decodeQueue, &e.batch} {
		removed = append(removed, h.jobs...)
		h.jobs = nil
	}
	e.kvUsed = 0
	e.cache.clear()
	return removed
}

// report returns the engine's load report.
func (e *engine) report(model core.Model) core.LoadReport {
	backlog, urgent := 0.0, 0.0
	for _, j := range e.promptQueue.jobs {
		backlog += max(0, j.remainingPrompt)
		if j.call.Kind.Urgent {
			urgent += max(0, j.remainingPrompt)
		}
	}
	return core.LoadReport{
		QueuedRequests: e.promptQueue.Len() + e.decodeQueue.Len(), Running: e.batch.Len(),
		QueuedPromptTokens: int(backlog), QueuedUrgentTokens: int(urgent),
		Slots: e.model.Slots, KVUsed: e.kvUsed, KVCapacity: e.model.KVTokens,
		Role: e.role, Model: model, Changing: e.changingRole,
	}
}
