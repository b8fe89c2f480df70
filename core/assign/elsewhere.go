package assign

import (
	"math"
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/roster"
)

// Home returns the own data centre.
func (a *Assigner) Home() core.DataCentre { return a.opts.Home }

// cell returns the data centre whose instances share a target's load.
func (a *Assigner) cell(e *roster.Entry) core.DataCentre {
	if a.opts.Cells == nil {
		return a.opts.Home
	}
	return a.opts.Cells.Cells().Of(e.ID, e.DataCentre)
}

// knows reports whether the load of a target is known here.
func (a *Assigner) knows(e *roster.Entry) bool { return a.cell(e) == a.opts.Home }

// waiting is how long work waited lately in another cell. It decays, so that the cell is
// tried again.
type waiting struct {
	wait time.Duration
	at   core.Instant
}

// waitingMemory is the time constant of the decay. Loads shift within seconds.
const waitingMemory = time.Second

func (w *waiting) now(now core.Instant) time.Duration {
	decay := math.Exp(-now.Sub(w.at).Seconds() / waitingMemory.Seconds())
	return time.Duration(decay * float64(w.wait))
}

// elsewhere chooses an engine of another cell for a prompt that the own cell can't
// compute in time, as when callers have moved to this data centre. The load there is
// unknown but for what earlier prompts met.
func (a *Assigner) elsewhere(now core.Instant, view *roster.View, req *Request, m *model) (best candidate, ok bool) {
	least, seen := 0.0, 0
	reserved := a.reserved(m, req)
	for _, e := range view.Ready(req.Service) {
		if a.knows(e) || e.Role != core.RolePrefill || !a.usable(now, e, req.Exclude) {
			continue
		}
		state := a.opts.Board.State(now, e.ID, req.Chain.Shared())
		c, fits := a.candidate(e, &state, req, m, reserved)
		if !fits {
			continue
		}
		if w, known := a.away[a.cell(e)]; known {
			c.Backlog = max(c.Backlog, w.now(now))
			c.Expected = c.ComputeTime + c.Backlog + m.handover
		}
		seen++
		// Among cells with similar waits the choice is left to chance.
		score := c.Expected.Seconds() * (0.5 + a.opts.Random.Unit())
		if seen == 1 || score < least {
			best, least = c, score
		}
	}
	return best, seen > 0
}

// ObserveRemoteWait takes in how long a prompt took in another cell beyond its computing
// time. Prompts of the own cell are ignored.
func (a *Assigner) ObserveRemoteWait(now core.Instant, e *roster.Entry, waited time.Duration) {
	if a.knows(e) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.away[a.cell(e)]
	if !ok {
		w = &waiting{}
		a.away[a.cell(e)] = w
	}
	// The longest wait lately counts: a wait that is too short for the estimate is harmless.
	w.wait, w.at = max(w.now(now), max(0, waited)), now
}

// LoadRef names a send to a target on the board.
func (a *Assigner) LoadRef(e *roster.Entry, key load.Key) load.Ref {
	return load.Ref{Key: key, Target: e.ID, Cell: a.cell(e)}
}
