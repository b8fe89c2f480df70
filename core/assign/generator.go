package assign

import (
	"time"

	"gorseline/core"
	"gorseline/core/prompt"
	"gorseline/core/roster"
)

// AssignGenerator chooses the engine that imports the prompt's KV cache from source and
// generates the answer. It prefers engines of the local cell, whose loads are known, to other
// engines of the source's cell, or of any cell if a version is required. If all engines of a
// required version that others lack seem full, it chooses the least loaded.
func (a *Assigner) AssignGenerator(now core.Instant, view *roster.View, req *Request, source *roster.Entry) (*roster.Entry, bool) {
	var best *roster.Entry
	var least time.Duration
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	reserved := a.reservedShare(m, req)
	var full *roster.Entry
	var leastFull time.Duration
	mayBeFull := !req.OnlyFree && isRestricted(view, req)
	for _, e := range view.Ready(req.Service) {
		if !a.mayGenerate(e, req) && (!e.Role.AcceptsDecode() || a.cell(e) != a.cell(source)) {
			continue
		}
		if !a.isUsable(now, e, req.Exclude, req.Version) {
			continue
		}
		state := a.opts.Loads.State(now, e.ID, nil)
		if !hasSlot(e, &state, reserved) {
			if p := fullPenalty(e, &state); mayBeFull && (full == nil || p < leastFull) {
				full, leastFull = e, p
			}
			continue
		}
		isLocal := e.DataCentre == source.DataCentre
		score := prompt.TransferTime(req.Engine, req.Prompt.Tokens, isLocal)*time.Duration(1+state.Generating) +
			state.Backlog/4 + m.handoverTime*time.Duration(state.Generating)/8
		if e.DataCentre != a.opts.Home {
			score += a.opts.RemotePenalty
		}
		if !a.isLoadKnown(e) && !state.IsObserved {
			// The choice among engines of unknown load is random.
			score = time.Second + time.Duration(a.opts.Random.Float64()*float64(time.Second))
		}
		if req.Version == nil && e.Version != source.Version {
			score += a.opts.VersionPenalty
		}
		if best == nil || score < least {
			best, least = e, score
		}
	}
	if best == nil {
		best = full
	}
	return best, best != nil
}

// mayGenerate reports whether an engine may generate an answer wherever its prompt is computed.
// Those of unknown load may if a version is required, since all engines that have it may be in
// other cells.
func (a *Assigner) mayGenerate(e *roster.Entry, req *Request) bool {
	return e.Role.AcceptsDecode() && (req.Version != nil || a.isLoadKnown(e))
}
