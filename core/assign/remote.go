package assign

import (
	"math"
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/roster"
)

// Home returns the data centre of this instance.
func (a *Assigner) Home() core.DataCentre { return a.opts.Home }

// cell returns the data centre whose instances share a target's load.
func (a *Assigner) cell(e *roster.Entry) core.DataCentre {
	if a.opts.Cells == nil {
		return a.opts.Home
	}
	return a.opts.Cells.Cells().Of(e.ID, e.DataCentre)
}

// isLoadKnown reports whether this instance knows the load of a target.
func (a *Assigner) isLoadKnown(e *roster.Entry) bool { return a.cell(e) == a.opts.Home }

// remoteWait is the recent waiting time in another cell. It decays, so that the cell is
// tried again.
type remoteWait struct {
	duration   time.Duration
	observedAt core.Instant
}

// maxRemoteSample is the mean number of engines of other cells that are compared while loads are known
// with a delay. Some of them aren't prefill engines.
const maxRemoteSample = 6

// remoteWaitDecay is the time constant of the decay. Loads change within seconds.
const remoteWaitDecay = time.Second

func (w *remoteWait) current(now core.Instant) time.Duration {
	decay := math.Exp(-now.Sub(w.observedAt).Seconds() / remoteWaitDecay.Seconds())
	return time.Duration(decay * float64(w.duration))
}

// bestRemote chooses a prefill engine of another cell, or any engine if the rules permit long
// prompts on all, for a prompt that the local cell can't compute in time, for example after callers
// moved to this data centre. Without a recent summary of an engine's load, only this instance's own
// sends and the waiting times of earlier prompts are known.
func (a *Assigner) bestRemote(now core.Instant, view *roster.View, req *Request, m *serviceModel, r rules, hiddenRate float64) (best candidate, ok bool) {
	least, seen := 0.0, 0
	engines := max(1, len(view.Ready(req.Service))/a.cellCount())
	share := a.remoteShare(len(view.Ready(req.Service)), req)
	for _, e := range view.Ready(req.Service) {
		if a.isLoadKnown(e) || e.Role != core.RolePrefill && !r.mustMix || !a.isUsable(now, e, req.Exclude, req.Version) {
			continue
		}
		if share < 1 && a.opts.Random.Float64() >= share {
			continue
		}
		state := a.opts.Loads.State(now, e.ID, req.Chain.SharedPrefix())
		c, fits := a.evaluate(e, &state, req, m, r)
		if !fits {
			continue
		}
		if w, known := a.remoteWaits[a.cell(e)]; known && !state.IsObserved {
			c.Backlog = max(c.Backlog, w.current(now))
			c.Expected = c.ComputeTime + c.Backlog + m.handoverTime
		}
		// Each cell is offered the same, and most of it stays there.
		c.delay(time.Duration(hiddenRate * float64(c.loadAge) / float64(engines)))
		seen++
		// Jitter spreads prompts over cells with similar waiting times.
		score := c.Expected.Seconds() * (0.5 + a.opts.Random.Float64())
		if seen == 1 || score < least {
			best, least = c, score
		}
	}
	return best, seen > 0
}

// cellCount returns the number of cells.
func (a *Assigner) cellCount() int {
	if a.opts.Cells == nil {
		return 1
	}
	return a.opts.Cells.Cells().Count()
}

// remoteShare returns the share of a number of engines that bestRemote compares. While loads are known
// with a delay these are a few, as in choose.
func (a *Assigner) remoteShare(engines int, req *Request) float64 {
	if !a.samplesEngines() || req.Version != nil {
		return 1
	}
	return float64(maxRemoteSample) / float64(max(1, engines))
}

// ObserveRemoteWait records how much longer than its computing time a prompt took in another
// cell. Prompts of the local cell are ignored.
func (a *Assigner) ObserveRemoteWait(now core.Instant, e *roster.Entry, waited time.Duration) {
	if a.isLoadKnown(e) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.remoteWaits[a.cell(e)]
	if !ok {
		w = &remoteWait{}
		a.remoteWaits[a.cell(e)] = w
	}
	// A shorter wait doesn't lower the estimate, which decays by itself.
	w.duration, w.observedAt = max(w.current(now), max(0, waited)), now
}

// LoadRef returns the reference under which a send to the target is tracked.
func (a *Assigner) LoadRef(e *roster.Entry, key load.Key) load.Ref {
	return load.Ref{Key: key, Target: e.ID, Cell: a.cell(e)}
}
