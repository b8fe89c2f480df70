package estimate

import (
	"time"

	"gorseline/core"
)

// Rates used for a target before its first observed answer. They describe a middling
// engine, so that a new target is neither flooded nor avoided.
const (
	DefaultPrefillRate     = 8000.0 // prompt tokens per second
	DefaultStepBase        = 12 * time.Millisecond
	DefaultStepPerSequence = 300 * time.Microsecond
)

// MaxDelay is the delay of a request that a target can't serve at all.
const MaxDelay = time.Hour

// Load is a target's load at one moment, corrected for the age of its report.
type Load struct {
	// Sequences counts requests that are queued or running.
	Sequences int
	// Running is Sequences without the requests to a target that only generates whose
	// prompts may still be queued elsewhere.
	Running int
	// Wait is how long the target needs for the prompt work that is not yet computed.
	Wait time.Duration
	// UrgentWait is the part of Wait that belongs to urgent requests.
	UrgentWait time.Duration
	// KVUsed is the memory held by requests, in tokens.
	KVUsed int
	// perToken is the time per prompt token, in nanoseconds.
	perToken float64
}

// PrefillRate returns the prompt rate of a target in tokens per second.
func PrefillRate(state *core.TargetState) float64 {
	if state.PrefillRate > 0 {
		return state.PrefillRate
	}
	return DefaultPrefillRate
}

// StepTime returns the time between two tokens when n sequences run.
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

// ReportAge returns how old the target's load report is.
func ReportAge(now core.Instant, state *core.TargetState) time.Duration {
	return max(0, now.Sub(state.ReportedAt)+state.Report.Age)
}

// LoadAt returns the target's load now.
func LoadAt(now core.Instant, state *core.TargetState) Load {
	var load Load
	load.Set(now, state)
	return load
}

// Set makes l the target's load now. It fills l in place because a decision looks at many
// targets and copying the values would take longer than computing them.
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
	l.Wait = max(0, bounded(pending*l.perToken)-ReportAge(now, state))
	l.UrgentWait = min(l.Wait, bounded(UrgentTokensAt(now, state)*l.perToken))
	l.KVUsed = report.KVUsed + state.SentPromptTokens
}

// SteadyState returns the load as a request will find it that waits as long for its prompt as
// those ahead of it: as many answers will have ended by then as began.
func (l *Load) SteadyState() Load {
	settled := *l
	settled.Sequences = l.Running
	return settled
}

// UrgentTokensAt returns the prompt work of urgent requests, in tokens, that is left at the
// given time.
func UrgentTokensAt(now core.Instant, state *core.TargetState) float64 {
	if state.UrgentTokens <= 0 {
		return 0
	}
	return max(0, state.UrgentTokens-PrefillRate(state)*now.Sub(state.UrgentAt).Seconds())
}

// PrefillWait returns how long the request waits before its prompt is computed. An
// urgent request passes the others and waits for the prompt under way, of which half is
// left on average, and for the urgent ones ahead. Without the latter, all urgent requests
// would go to the engine whose queue already consists of many short urgent prompts.
func PrefillWait(req *core.Request, state *core.TargetState, load *Load) time.Duration {
	if !req.Kind.Urgent {
		return load.Wait
	}
	tokens := float64(state.Report.QueuedPromptTokens + state.SentPromptTokens)
	prompts := float64(max(1, state.Report.QueuedRequests+state.SentRequests))
	return min(load.Wait, load.UrgentWait+bounded(tokens/prompts/2*load.perToken))
}

// PrefillTime returns the time that the target takes for the given number of prompt tokens.
func (l *Load) PrefillTime(tokens int) time.Duration { return bounded(float64(tokens) * l.perToken) }

// Prefill predicts the delay until the prompt's KV cache is computed on the target.
func Prefill(req *core.Request, state *core.TargetState, load *Load, prefixTokens int) (queue, total time.Duration) {
	queue = PrefillWait(req, state, load)
	return queue, queue + load.PrefillTime(max(0, req.PromptTokens-prefixTokens))
}

// MemoryWait returns how long the request waits for KV memory. Held memory is released
// as answers end, so all of it turns over in about the duration of one answer.
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

// urgentSlots is the part of an engine's slots, one in urgentSlots, that only urgent
// requests are expected to find free.
const urgentSlots = 16

// SlotWait returns how long the request waits for a place in the batch. Places become
// free as answers end, all of them in about the duration of one answer.
func SlotWait(req *core.Request, state *core.TargetState, load *Load) time.Duration {
	slots := state.Report.Slots
	if slots <= 0 {
		return 0
	}
	free := slots
	if !req.Kind.Urgent {
		free -= slots / urgentSlots
	}
	excess := load.Sequences + 1 - free
	if excess <= 0 {
		return 0
	}
	answer := StepTime(state, slots) * time.Duration(max(1, req.OutputTokens))
	return time.Duration(float64(answer) * float64(excess) / float64(slots))
}

// mixedFactor is how much longer the time between tokens is on an engine that computes
// prompts as well: a chunk of a prompt takes about as long as the step of a large batch.
const mixedFactor = 2

// interference returns the factor on the time between tokens that prompts cause.
func interference(state *core.TargetState) time.Duration {
	if state.Report.Role == core.RoleMixed && state.Report.QueuedPromptTokens+state.SentPromptTokens > 0 {
		return mixedFactor
	}
	return 1
}

// Engine predicts into result the service of a request by one engine that holds
// prefixTokens of its prompt in cache.
func Engine(result *core.Estimate, req *core.Request, state *core.TargetState, load *Load, prefixTokens int) {
	queue, prefill := Prefill(req, state, load, prefixTokens)
	wait := max(MemoryWait(req, state, load, prefixTokens), SlotWait(req, state, load))
	Decode(result, req, state, load, prefill+wait)
	result.Queue = queue + wait
	result.PrefixTokens = prefixTokens
}

// Decode predicts into result the generation of an answer whose prompt is ready on the
// target after the given delay.
func Decode(result *core.Estimate, req *core.Request, state *core.TargetState, load *Load, ready time.Duration) {
	sequences := load.Sequences + 1
	if slots := state.Report.Slots; slots > 0 {
		sequences = min(sequences, slots)
	}
	step := StepTime(state, sequences) * interference(state)
	result.FirstToken = ready + step
	result.BetweenTokens = step
	result.Total = ready + step*time.Duration(max(1, req.OutputTokens))
}

// Service predicts into result a call of a plain service from its load: every call ahead
// adds the learned time per call.
func Service(result *core.Estimate, state *core.TargetState, load *Load) {
	total := StepTime(state, load.Sequences+1)
	*result = core.Estimate{FirstToken: total, Queue: total - StepTime(state, 1), Total: total}
}

// Target predicts the service of a request by a plain service or an engine.
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

// Feasible reports whether the estimate keeps the deadline and the kind's limits on the
// first token and the time between tokens.
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

// bounded converts nanoseconds to a duration of at most MaxDelay, which also covers division
// by a rate close to zero.
func bounded(nanoseconds float64) time.Duration {
	if nanoseconds >= float64(MaxDelay) {
		return MaxDelay
	}
	return time.Duration(nanoseconds)
}
