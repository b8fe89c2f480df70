package assign

import (
	"time"

	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/roster"
)

// minimumFetch is the least number of tokens worth a fetch: some milliseconds of computing.
const minimumFetch = 512

// holder is an engine that holds most of a prompt in its cache.
type holder struct {
	entry *roster.Entry
	held  int
	// equals is how many engines hold as much.
	equals int
}

// offer takes in what another engine holds. Among equal ones the choice is left to chance,
// so that the links of all of them are used.
func (a *Assigner) offer(h *holder, e *roster.Entry, held int) {
	switch {
	case held > h.held:
		*h = holder{e, held, 1}
	case held == h.held && h.entry != nil:
		h.equals++
		if a.opts.Random.Unit()*float64(h.equals) < 1 {
			h.entry = e
		}
	}
}

// withFetch lets a candidate fetch from the holder what it lacks of the prompt, if that is
// faster than computing it.
func (a *Assigner) withFetch(c *candidate, h *holder, req *Request, m *model) {
	if h.entry == nil || h.entry.ID == c.Target.ID || h.held-c.CachedTokens < minimumFetch {
		return
	}
	moved := prompt.TransferTime(req.Engine, h.held-c.CachedTokens, h.entry.DataCentre == c.Target.DataCentre)
	if moved <= 0 {
		return // the rate of the links is unknown
	}
	work := prompt.NewWork(req.Prompt.Tokens, h.held)
	compute := m.prefill.Time(work)
	if c.Kind == load.Whole {
		compute = time.Duration(m.wholeRatio * float64(compute))
	}
	transfer := moved + m.handover
	if compute+transfer >= c.ComputeTime {
		return
	}
	c.Expected += compute + transfer - c.ComputeTime
	c.score += compute + transfer - c.ComputeTime + time.Duration(a.opts.WorkWeight*float64(compute-c.ComputeTime))
	c.FetchSource, c.FetchTime, c.CachedTokens, c.Work, c.ComputeTime = h.entry, transfer, h.held, work, compute
}
