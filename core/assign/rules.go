package assign

import (
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/roster"
)

// rules are the bounds that engines must meet to be chosen for a request.
type rules struct {
	// reserved is the share of an engine's slots that the request must leave free.
	reserved float64
	// mustMix permits long prompts on generating engines however busy they are.
	mustMix bool
	// anySlot permits generating engines without a known free slot if none has one.
	anySlot bool
	// wait is the time until the first token that is acceptable in any case.
	wait time.Duration
}

func (a *Assigner) usualRules(now core.Instant, view *roster.View, req *Request, m *serviceModel) rules {
	return rules{reserved: a.reservedShare(m, req), mustMix: a.mustMix(now, view, req)}
}

// continuationRules returns the rules for a continuation that would be refused by the usual ones
// although other versions may have room. The slots of its version may only seem taken, by requests
// of an instance that has just died.
func (a *Assigner) continuationRules() rules {
	return rules{mustMix: true, anySlot: true, wait: a.opts.ContinuationWait}
}

// permitsSlot reports whether an engine may get a request in spite of the requests that run on it.
// An engine that is really full refuses to run it, which costs a send, but the work of a prefill
// engine would be lost.
func (r rules) permitsSlot(e *roster.Entry, state *load.State) bool {
	if r.anySlot {
		return e.Role != core.RolePrefill
	}
	return hasSlot(e, state, r.reserved)
}

// fullPenalty is added to the scores of engines of which none has a known free slot, so that the
// least loaded is chosen.
func fullPenalty(e *roster.Entry, state *load.State) time.Duration {
	return time.Duration(state.Running) * time.Second / time.Duration(max(1, e.Slots))
}

// find returns the best candidate by the rules. If none is within the limit, ok is false and the
// candidate with the earliest first token is returned, if any. isFull reports that there are
// generating engines but none has a free slot.
func (a *Assigner) find(
	now core.Instant, view *roster.View, req *Request, m *serviceModel, r rules,
) (best candidate, ok, isFull bool) {
	candidates, shortest, isFull := a.candidates(now, view, req, m, r)
	r.anySlot = r.anySlot && isFull
	limit := a.limit(req, shortest, r)
	hidden := a.hiddenRate(now, m)
	addHidden(candidates, hidden)
	best, ok = a.choose(candidates, limit, req)
	if isFull && !r.anySlot && isRestricted(view, req) {
		// The generating engines of other cells count too, so none could import the prompt.
		return candidate{}, false, true
	}
	if !ok {
		if remote, found := a.bestRemote(now, view, req, m, r, hidden); found && (len(candidates) == 0 || remote.Expected < best.Expected) {
			best, limit = remote, a.limit(req, remote.Expected-remote.Backlog, r)
			ok = best.Expected <= limit
		}
	}
	best.Candidates, best.Limit = len(candidates), limit
	return best, ok, isFull
}

// limit returns the greatest acceptable time until the first token. shortest is the time that
// the fastest engine would take if it were idle. Usually the limit is OnTimeShare of the
// objective. If shortest exceeds half of that, the limit is shortest plus that half, so that
// long prompts are not refused while engines are idle. The rules may permit a longer wait. In any
// case the limit is at most LateShare of the remaining time.
func (a *Assigner) limit(req *Request, shortest time.Duration, r rules) time.Duration {
	onTime := time.Duration(a.opts.OnTimeShare * float64(req.Objective))
	late := time.Duration(a.opts.LateShare * float64(req.Remaining))
	if shortest > onTime/2 {
		onTime = shortest + onTime/2
	}
	return min(max(onTime, r.wait), late)
}

// refuse sets the retry time of a refusal. Jitter over the upper half of the permitted range
// prevents synchronised retries and retries before the queue has drained. For a continuation that
// only some engines can serve the range is short however long their queues are.
func (a *Assigner) refuse(req *Request, d Decision, excess time.Duration, restricted bool) Decision {
	longest := time.Duration(a.opts.MaxRetryShare * float64(req.Remaining))
	if restricted {
		longest, excess = min(longest, a.opts.ContinuationRetry), 0
	}
	after := max(excess, longest/2)
	d.RetryAfter = min(longest, after+time.Duration(a.opts.Random.Float64()*float64(longest/2)))
	return d
}
