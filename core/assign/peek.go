package assign

import (
	"gorseline/core"
	"gorseline/core/roster"
)

// CanAssign reports whether Assign would choose a target now by the usual rules. It counts nothing.
// Engines that seem full don't count: callers use it to decide whether to give up another engine.
func (a *Assigner) CanAssign(now core.Instant, view *roster.View, req *Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	_, ok, _ := a.find(now, view, req, m, a.usualRules(now, view, req, m))
	return ok
}
