package routing

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/estimate"
)

// maxChanges is the maximum number of load changes kept per target. With a report every 2 s
// it covers more than 100 requests per second from one instance to one target.
const maxChanges = 512

// node holds the state of one target. Readers load the current state without a lock;
// writers replace it while they hold the mutex.
type node struct {
	id    core.TargetID
	hash  uint64
	state atomic.Pointer[core.TargetState]

	mutex sync.Mutex
	// changes are the sends and finishes since the last report was made, oldest first.
	changes []loadChange
}

// loadChange is the send or finish of a request. A report that arrives later may have been
// made before it.
type loadChange struct {
	at       core.Instant
	tokens   int
	urgent   bool
	finished bool
	// instances is the number of instances that are assumed to have made the same change.
	instances int
}

func newNode(target core.Target, slot uint32) *node {
	n := &node{id: target.ID, hash: xxhash.Sum64String(string(target.ID))}
	n.state.Store(&core.TargetState{Target: target, Index: slot})
	return n
}

// update replaces the state with a changed copy and returns the states before and after.
func (n *node) update(change func(*core.TargetState)) (before, after *core.TargetState) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	before = n.state.Load()
	changed := *before
	change(&changed)
	n.state.Store(&changed)
	return before, &changed
}

// reportMadeAt returns the time at which the target made its last report.
func reportMadeAt(state *core.TargetState) core.Instant {
	return state.ReportedAt.Add(-state.Report.Age)
}

// report applies a load report unless a newer one is known. The load changes since the
// report was made are applied on top of it.
func (n *node) report(now core.Instant, report core.LoadReport) (before, after *core.TargetState) {
	return n.update(func(state *core.TargetState) {
		madeAt := now.Add(-report.Age)
		if state.ReportedAt != 0 && madeAt < reportMadeAt(state) {
			return
		}
		state.Report, state.ReportedAt = report, now
		state.SentRequests, state.SentPromptTokens = 0, 0
		state.IdlePromptTokens, state.FinishedRequests = 0, 0
		state.UrgentTokens, state.UrgentAt = float64(report.QueuedUrgentTokens), madeAt
		kept := n.changes[:0]
		for _, change := range n.changes {
			if change.at > madeAt {
				kept = append(kept, change)
				applyChange(state, change)
			}
		}
		n.changes = kept
	})
}

func (n *node) sent(now core.Instant, tokens, inFlight, instances int, urgent bool) {
	n.update(func(state *core.TargetState) {
		state.InFlight += inFlight
		n.addChange(state, loadChange{at: now, tokens: tokens, urgent: urgent, instances: instances})
	})
}

func (n *node) finished(now core.Instant, instances int) {
	n.update(func(state *core.TargetState) {
		state.InFlight = max(0, state.InFlight-1)
		n.addChange(state, loadChange{at: now, finished: true, instances: instances})
	})
}

func (n *node) addChange(state *core.TargetState, change loadChange) {
	if len(n.changes) == maxChanges {
		n.changes = append(n.changes[:0], n.changes[maxChanges/2:]...)
	}
	n.changes = append(n.changes, change)
	applyChange(state, change)
}

// applyChange adds a load change to the state. Before a send it accounts for the time that
// the target was idle, in the prompt tokens that it could have computed.
func applyChange(state *core.TargetState, change loadChange) {
	if change.finished {
		state.FinishedRequests += change.instances
		return
	}
	pending := state.Report.QueuedPromptTokens + state.SentPromptTokens + state.IdlePromptTokens
	done := estimate.PrefillRate(state) * estimate.ReportAge(change.at, state).Seconds()
	if idle := int(done) - pending; idle > 0 {
		state.IdlePromptTokens += idle
	}
	state.SentRequests += change.instances
	state.SentPromptTokens += change.tokens * change.instances
	if change.urgent {
		state.UrgentTokens = estimate.UrgentTokensAt(change.at, state) + float64(change.tokens*change.instances)
		state.UrgentAt = change.at
	}
}
