package load

import (
	"time"

	"gorseline/core"
)

// Summary is the outstanding work of all instances on one target, as a collector knows it.
type Summary struct {
	Target core.TargetID
	// Backlog, Prompts, Running and Generating are those of State.
	Backlog    time.Duration
	Prompts    int
	Running    int
	Generating int
	// SinceComputed is the time since the target last completed a prompt, valid if HasComputed.
	SinceComputed time.Duration
	HasComputed   bool
}

const (
	// SummaryValidity is how long a summary is used. It covers several lost datagrams and the
	// takeover by another collector.
	SummaryValidity = 300 * time.Millisecond
	// collectDelay is the age up to which work may be missing in a summary: the batch interval of
	// the sender, and the network.
	collectDelay = 4 * time.Millisecond
)

// state returns the state some time after the summary. Targets go on computing meanwhile.
func (s *Summary) state(elapsed time.Duration) State {
	return State{
		Backlog: max(0, s.Backlog-elapsed), Prompts: s.Prompts, Running: s.Running, Generating: s.Generating, IsObserved: true,
		Age: elapsed,
	}
}

// Observe records the summary of a target as of a time. Summaries older than the latest one are
// ignored.
func (tr *Tracker) Observe(asOf core.Instant, s Summary) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := tr.target(s.Target)
	if t.observed == nil {
		t.observed = &Summary{}
	} else if asOf <= t.observedAt {
		return
	}
	*t.observed, t.observedAt = s, asOf
}

// Summarise returns the recorded outstanding work of a target, without summaries of collectors.
func (tr *Tracker) Summarise(now core.Instant, id core.TargetID) Summary {
	s := Summary{Target: id}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t, ok := tr.targets[id]
	if !ok {
		return s
	}
	var state State
	t.addItems(&state, now, 0)
	s.Backlog, s.Prompts, s.Running, s.Generating = state.Backlog, state.Prompts, state.Running, state.Generating
	if t.lastComputed > 0 {
		s.SinceComputed, s.HasComputed = now.Sub(t.lastComputed), true
	}
	return s
}
