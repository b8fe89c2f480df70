package assign

import (
	"gorseline/core"
	"gorseline/core/roster"
)

// CanAssign reports whether Assign would choose a target now. It counts nothing.
func (a *Assigner) CanAssign(now core.Instant, view *roster.View, req *Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	candidates, shortest, _ := a.candidates(now, view, req, m)
	if _, ok := choose(candidates, a.limit(req, shortest)); ok {
		return true
	}
	remote, found := a.bestRemote(now, view, req, m)
	return found && remote.Expected <= a.limit(req, remote.Expected-remote.Backlog)
}
