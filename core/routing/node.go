package routing

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/estimate"
)

// maximumRecent bounds the sends and finishes remembered per target. At 2 s between
// reports it covers more than 100 requests per second from one instance to one target.
const maximumRecent = 512

// node holds the state of one target. Readers load the current state; writers replace it
// under the mutex.
type node struct {
	id    core.TargetID
	hash  uint64
	state atomic.Pointer[core.TargetState]

	mutex  sync.Mutex
	recent []recent
}

// recent is a send or finish that a later report may not yet include.
type recent struct {
	at       core.Instant
	tokens   int
	urgent   bool
	finished bool
	// instances that are assumed to have done the same.
	instances int
}

func newNode(target core.Target, slot uint32) *node {
	n := &node{id: target.ID, hash: xxhash.Sum64String(string(target.ID))}
	n.state.Store(&core.TargetState{Target: target, Index: slot})
	return n
}

// update replaces the state by a changed copy and returns the states before and after.
func (n *node) update(change func(*core.TargetState)) (before, after *core.TargetState) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	before = n.state.Load()
	changed := *before
	change(&changed)
	n.state.Store(&changed)
	return before, &changed
}

// reported returns when the target made the report.
func reported(state *core.TargetState) core.Instant {
	return state.ReportedAt.Add(-state.Report.Age)
}

// report takes over a load report unless a newer one is known. What was sent or finished
// since the report was made is counted again on top of it.
func (n *node) report(now core.Instant, report core.LoadReport) (before, after *core.TargetState) {
	return n.update(func(state *core.TargetState) {
		made := now.Add(-report.Age)
		if state.ReportedAt != 0 && made < reported(state) {
			return
		}
		state.Report, state.ReportedAt = report, now
		state.SentRequests, state.SentPromptTokens = 0, 0
		state.IdlePromptTokens, state.FinishedRequests = 0, 0
		state.UrgentTokens, state.UrgentAt = float64(report.QueuedUrgentTokens), made
		kept := n.recent[:0]
		for _, entry := range n.recent {
			if entry.at > made {
				kept = append(kept, entry)
				count(state, entry)
			}
		}
		n.recent = kept
	})
}

func (n *node) sent(now core.Instant, tokens, inFlight, instances int, urgent bool) {
	n.update(func(state *core.TargetState) {
		state.InFlight += inFlight
		n.remember(state, recent{at: now, tokens: tokens, urgent: urgent, instances: instances})
	})
}

func (n *node) finished(now core.Instant, instances int) {
	n.update(func(state *core.TargetState) {
		state.InFlight = max(0, state.InFlight-1)
		n.remember(state, recent{at: now, finished: true, instances: instances})
	})
}

func (n *node) remember(state *core.TargetState, entry recent) {
	if len(n.recent) == maximumRecent {
		n.recent = append(n.recent[:0], n.recent[maximumRecent/2:]...)
	}
	n.recent = append(n.recent, entry)
	count(state, entry)
}

// count adds a send or finish to the state. Before a send it notes the time in which the
// target had nothing left to compute.
func count(state *core.TargetState, entry recent) {
	if entry.finished {
		state.FinishedRequests += entry.instances
		return
	}
	pending := state.Report.QueuedPromptTokens + state.SentPromptTokens + state.IdlePromptTokens
	done := estimate.PrefillRate(state) * estimate.ReportAge(entry.at, state).Seconds()
	if idle := int(done) - pending; idle > 0 {
		state.IdlePromptTokens += idle
	}
	state.SentRequests += entry.instances
	state.SentPromptTokens += entry.tokens * entry.instances
	if entry.urgent {
		state.UrgentTokens = estimate.UrgentTokensAt(entry.at, state) + float64(entry.tokens*entry.instances)
		state.UrgentAt = entry.at
	}
}
