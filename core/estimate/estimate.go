package estimate

import (
	"time"

	"gorseline/core"
)

// Rates of a target before its first observed answer. They describe an engine of medium
// speed, so that a new target is neither overloaded nor avoided.
const (
	DefaultPrefillRate     = 8000.0 // prompt tokens per second
	DefaultStepBase        = 12 * time.Millisecond
	DefaultStepPerSequence = 300 * time.Microsecond
)

// MaxDelay bounds the predicted wait for queued prompts and the predicted computing time. It
// is also the wait of a request that a target can't serve at all.
const MaxDelay = time.Hour

// Load is a target's load at a point in time, corrected for the age of its report.
type Load struct {
	// Sequences is the number of requests that are queued or running.
	Sequences int
	// Running is Sequences without requests whose prompts may still be queued at another
	// target. It differs from Sequences only for a decode engine.
	Running int
	// Wait is the time that the target needs for the outstanding prompt work.
	Wait time.Duration
	// UrgentWait is the part of Wait that belongs to urgent requests.
	UrgentWait time.Duration
	// KVUsed is the KV memory in use, in tokens.
	KVUsed int
	// perToken is the time per prompt token, in nanoseconds.
	perToken float64
}

// PrefillRate returns the prefill rate of a target, in prompt tokens per second.
func PrefillRate(state *core.TargetState) float64 {
	if state.PrefillRate > 0 {
		return state.PrefillRate
	}
	return DefaultPrefillRate
}

// StepTime returns the time between two tokens of a sequence while n sequences run.
func StepTime(state *core.TargetState, n int) time.Duration {
	base, per := state.StepBase, state.StepPerSequence
	if base <= 0 {
		base = DefaultStepBase
	}
	if per <= 0 {
		per = DefaultStepPerSequence
	}
	return base + per*time.Duration(n)
}

// ReportAge returns the age of the target's load report.
func ReportAge(now core.Instant, state *core.TargetState) time.Duration {
	return max(0, now.Sub(state.ReportedAt)+state.Report.Age)
}

// LoadAt returns the target's load now.
func LoadAt(now core.Instant, state *core.TargetState) Load {
	var load Load
	load.Set(now, state)
	return load
}

// Set sets l to the target's load now. It works in place because a decision evaluates many
// targets, and copying the values would take longer than computing them.
func (l *Load) Set(now core.Instant, state *core.TargetState) {
	report := &state.Report
	pending := float64(report.QueuedPromptTokens + state.SentPromptTokens + state.IdlePromptTokens)
	sequences := report.Running + report.QueuedRequests + state.SentRequests - state.FinishedRequests
	l.perToken = float64(time.Second) / PrefillRate(state)
	l.Running = max(sequences, 0)
	l.Sequences = max(l.Running, state.InFlight)
	if report.Role != core.RoleDecode {
		l.Running = l.Sequences
	}
	l.Wait = max(0, clampDelay(pending*l.perToken)-ReportAge(now, state))
	l.UrgentWait = min(l.Wait, clampDelay(UrgentTokensAt(now, state)*l.perToken))
	l.KVUsed = report.KVUsed + state.SentPromptTokens
}

// SteadyState returns the load that a request is expected to find once its prompt is computed
// at another target. It has Running sequences: as many answers start as end until then, since
// the prompts ahead wait about as long as this one.
func (l *Load) SteadyState() Load {
	steady := *l
	steady.Sequences = l.Running
	return steady
}

// UrgentTokensAt returns the outstanding prompt work of urgent requests at the given time, in
// tokens.
func UrgentTokensAt(now core.Instant, state *core.TargetState) float64 {
	if state.UrgentTokens <= 0 {
		return 0
	}
	return max(0, state.UrgentTokens-PrefillRate(state)*now.Sub(state.UrgentAt).Seconds())
}

// PrefillWait returns how long the request waits before its prompt is computed. An urgent
// request bypasses the others. It waits for the rest of the prompt in progress, half of it on
// average, and for the urgent requests ahead. Without the latter, all urgent requests
// would go to the engine whose queue already consists of many short urgent prompts.
func PrefillWait(req *core.Request, state *core.TargetState, load *Load) time.Duration {
	if !req.Kind.Urgent {
		return load.Wait
	}
	tokens := float64(state.Report.QueuedPromptTokens + state.SentPromptTokens)
	prompts := float64(max(1, state.Report.QueuedRequests+state.SentRequests))
	return min(load.Wait, load.UrgentWait+clampDelay(tokens/prompts/2*load.perToken))
}

// PrefillTime returns the time that the target takes to compute a number of prompt tokens.
func (l *Load) PrefillTime(tokens int) time.Duration { return clampDelay(float64(tokens) * l.perToken) }

// Prefill predicts the delay until the prompt's KV cache is computed on the target, and the
// queueing part of that delay.
func Prefill(req *core.Request, state *core.TargetState, load *Load, prefixTokens int) (queue, total time.Duration) {
	queue = PrefillWait(req, state, load)
	return queue, queue + load.PrefillTime(max(0, req.PromptTokens-prefixTokens))
}

// MemoryWait returns how long the request waits for KV memory. Memory is freed as answers
// end, so all of it is freed once within about the duration of one answer.
func MemoryWait(req *core.Request, state *core.TargetState, load *Load, prefixTokens int) time.Duration {
	capacity := state.Report.KVCapacity
	if capacity <= 0 {
		return 0
	}
	need := req.PromptTokens + req.OutputTokens
	if need > capacity {
		return MaxDelay
	}
	deficit := load.KVUsed + need - prefixTokens - capacity
	if deficit <= 0 || load.KVUsed <= 0 {
		return 0
	}
	answer := StepTime(state, load.Sequences) * time.Duration(max(1, req.OutputTokens))
	return time.Duration(float64(answer) * float64(deficit) / float64(load.KVUsed))
}

// urgentSlotDivisor determines the slots that only urgent requests are expected to find free:
// one in urgentSlotDivisor of an engine's slots.
const urgentSlotDivisor = 16

// SlotWait returns how long the request waits for a slot in the batch. Slots become free as
// answers end, all of them within about the duration of one answer.
func SlotWait(req *core.Request, state *core.TargetState, load *Load) time.Duration {
	slots := state.Report.Slots
	if slots <= 0 {
		return 0
	}
	free := slots
	if !req.Kind.Urgent {
		free -= slots / urgentSlotDivisor
	}
	excess := load.Sequences + 1 - free
	if excess <= 0 {
		return 0
	}
	answer := StepTime(state, slots) * time.Duration(max(1, req.OutputTokens))
	return time.Duration(float64(answer) * float64(excess) / float64(slots))
}

// mixedStepFactor is the factor on the time between tokens on an engine that also computes
// prompts: a chunk of a prompt takes about as long as the step of a large batch.
const mixedStepFactor = 2

// stepFactor returns the factor on the time between tokens due to outstanding prompts.
func stepFactor(state *core.TargetState) time.Duration {
	if state.Report.Role == core.RoleMixed && state.Report.QueuedPromptTokens+state.SentPromptTokens > 0 {
		return mixedStepFactor
	}
	return 1
}

// Engine stores in result the prediction for a request on an engine that has prefixTokens of
// the prompt cached.
func Engine(result *core.Estimate, req *core.Request, state *core.TargetState, load *Load, prefixTokens int) {
	queue, prefill := Prefill(req, state, load, prefixTokens)
	wait := max(MemoryWait(req, state, load, prefixTokens), SlotWait(req, state, load))
	Decode(result, req, state, load, prefill+wait)
	result.Queue = queue + wait
	result.PrefixTokens = prefixTokens
}

// Decode stores in result the prediction for the generation of an answer whose prompt is ready
// on the target after the given delay.
func Decode(result *core.Estimate, req *core.Request, state *core.TargetState, load *Load, ready time.Duration) {
	sequences := load.Sequences + 1
	if slots := state.Report.Slots; slots > 0 {
		sequences = min(sequences, slots)
	}
	step := StepTime(state, sequences) * stepFactor(state)
	result.FirstToken = ready + step
	result.BetweenTokens = step
	result.Total = ready + step*time.Duration(max(1, req.OutputTokens))
}

// Service stores in result the prediction for a call of a plain service with the given load.
// Every call ahead adds the learned time per call.
func Service(result *core.Estimate, state *core.TargetState, load *Load) {
	total := StepTime(state, load.Sequences+1)
	*result = core.Estimate{FirstToken: total, Queue: total - StepTime(state, 1), Total: total}
}

// Target returns the prediction for a request on a plain service or an engine.
func Target(now core.Instant, req *core.Request, state *core.TargetState, prefixTokens int) core.Estimate {
	var result core.Estimate
	load := LoadAt(now, state)
	if req.Service != "" {
		Service(&result, state, &load)
	} else {
		Engine(&result, req, state, &load, prefixTokens)
	}
	return result
}

// Feasible reports whether the estimate meets the request's deadline and its kind's limits on
// the first token and the time between tokens.
func Feasible(now core.Instant, req *core.Request, expected *core.Estimate) bool {
	if expected.Total > req.Remaining(now) {
		return false
	}
	kind := &req.Kind
	if kind.FirstToken > 0 && now.Sub(req.Arrived)+expected.FirstToken > kind.FirstToken {
		return false
	}
	return kind.BetweenTokens <= 0 || expected.BetweenTokens <= kind.BetweenTokens
}

// clampDelay converts nanoseconds to a duration of at most MaxDelay. It prevents an overflow
// after a division by a rate close to zero.
func clampDelay(nanoseconds float64) time.Duration {
	if nanoseconds >= float64(MaxDelay) {
		return MaxDelay
	}
	return time.Duration(nanoseconds)
}
