package assign

import (
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/roster"
)

// minFetchTokens is the least number of tokens worth a fetch. Computing them takes a few
// milliseconds.
const minFetchTokens = 512

// cacheHolder is an engine with the longest cached prefix of a prompt among those of its software
// version. Engines fetch from their own version only: KV caches of two versions may differ.
type cacheHolder struct {
	entry        *roster.Entry
	cachedTokens int
	// ties is the number of engines with a prefix of this length.
	ties int
}

// considerHolder replaces the holder of e's version by e if e has a longer prefix cached. Among
// engines with equal prefixes it chooses uniformly at random, so that the links of all of them
// are used.
func (a *Assigner) considerHolder(e *roster.Entry, cachedTokens int) {
	h := a.holderOf(e.Version)
	switch {
	case h == nil && cachedTokens > 0:
		a.holderBuffer = append(a.holderBuffer, cacheHolder{e, cachedTokens, 1})
	case h != nil && cachedTokens > h.cachedTokens:
		*h = cacheHolder{e, cachedTokens, 1}
	case h != nil && cachedTokens == h.cachedTokens:
		h.ties++
		if a.opts.Random.Float64()*float64(h.ties) < 1 {
			h.entry = e
		}
	}
}

// holderOf returns the holder of a version, or nil.
func (a *Assigner) holderOf(version core.SoftwareVersion) *cacheHolder {
	for i := range a.holderBuffer {
		if h := &a.holderBuffer[i]; h.entry.Version == version {
			return h
		}
	}
	return nil
}

// considerFetch makes a candidate fetch the rest of the longest cached prefix from the holder of
// its version if that is faster than computing it.
func (a *Assigner) considerFetch(c *candidate, req *Request, m *serviceModel) {
	h := a.holderOf(c.Target.Version)
	if h == nil || h.entry.ID == c.Target.ID || h.cachedTokens-c.CachedTokens < minFetchTokens {
		return
	}
	transfer := prompt.TransferTime(req.Engine, h.cachedTokens-c.CachedTokens, h.entry.DataCentre == c.Target.DataCentre)
	if transfer <= 0 {
		return // The link rate is unknown.
	}
	work := prompt.NewWork(req.Prompt.Tokens, h.cachedTokens)
	compute := m.prefill.Time(work)
	if c.Kind == load.Whole {
		compute = time.Duration(m.mixedRatio * float64(compute))
	}
	fetchTime := transfer + m.handoverTime
	if compute+fetchTime >= c.ComputeTime {
		return
	}
	c.Expected += compute + fetchTime - c.ComputeTime
	c.score += compute + fetchTime - c.ComputeTime + time.Duration(a.opts.WorkWeight*float64(compute-c.ComputeTime))
	c.FetchSource, c.FetchTime, c.CachedTokens, c.Work, c.ComputeTime = h.entry, fetchTime, h.cachedTokens, work, compute
}
