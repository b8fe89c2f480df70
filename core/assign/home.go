package assign

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/roster"
)

// sharedPrefix is the part of a prompt that other prompts have in common, with the engine that
// should have it cached.
//
// Many distinct prefixes, each used every few seconds in the whole fleet, don't stay cached if
// every engine computes each of them: the copies evict one another. Each prefix therefore has a
// home among the prefill engines of all data centres, chosen by rendezvous hashing. Instances
// agree on it without messages, also after all of them have restarted, and a change of engines
// moves few prefixes.
type sharedPrefix struct {
	tokens int
	// home is nil if the prompt shares nothing or no prefill engine is usable.
	home *roster.Entry
}

// isHome reports whether an engine is the home.
func (p sharedPrefix) isHome(e *roster.Entry) bool { return p.home != nil && p.home.ID == e.ID }

func (a *Assigner) sharedPrefix(now core.Instant, view *roster.View, req *Request) sharedPrefix {
	var p sharedPrefix
	chain := req.Chain.SharedPrefix()
	if len(chain) == 0 || a.opts.CopyWeight == 0 {
		return p
	}
	for _, link := range chain {
		p.tokens += link.Tokens
	}
	key := chain[len(chain)-1].Key
	var highest uint64
	for _, e := range view.Ready(req.Service) {
		if e.Role != core.RolePrefill || !a.isUsable(now, e, req.Exclude, req.Version) {
			continue
		}
		if weight := random.Mix(key ^ xxhash.Sum64String(string(e.ID))); p.home == nil || weight > highest {
			p.home, highest = e, weight
		}
	}
	return p
}

// copyPenalty returns the score of caching the prefix on an engine that isn't its home and has
// only the first held tokens: the copy evicts other prefixes there.
func (a *Assigner) copyPenalty(e *roster.Entry, kind load.WorkKind, held int, p sharedPrefix, m *serviceModel) time.Duration {
	if p.home == nil || p.home.ID == e.ID || kind != load.Prefill || held >= p.tokens {
		return 0
	}
	return time.Duration(a.opts.CopyWeight * float64(m.prefill.Time(prompt.NewWork(p.tokens, held))))
}

// remoteHome returns the home as a candidate if it is in another cell. The home is assumed to have
// the prefix cached. Without a recent summary of its load this instance knows only what its own cell
// has sent there. Prefixes are spread evenly, so the other cells are assumed to have sent as much each.
func (a *Assigner) remoteHome(now core.Instant, p sharedPrefix, req *Request, m *serviceModel) (candidate, bool) {
	if p.home == nil || a.isLoadKnown(p.home) {
		return candidate{}, false
	}
	state := a.opts.Loads.State(now, p.home.ID, nil)
	if !state.IsObserved {
		state.Backlog *= time.Duration(a.opts.Cells.Cells().Count())
		if w, known := a.remoteWaits[a.cell(p.home)]; known {
			state.Backlog = max(state.Backlog, w.current(now))
		}
	}
	state.CachedTokens = p.tokens
	return a.evaluate(p.home, &state, req, m, rules{})
}
