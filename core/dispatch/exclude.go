package dispatch

import (
	"slices"

	"gorseline/core"
	"gorseline/core/routing"
)

// excludingFleet is a fleet without the targets that a request has already tried.
type excludingFleet struct {
	routing.PrefixFleet
	exclude []core.TargetID
}

var _ routing.PrefixFleet = excludingFleet{}

// Candidates implements core.Fleet.
func (f excludingFleet) Candidates(req *core.Request, into []*core.TargetState) []*core.TargetState {
	offset := len(into)
	all := f.PrefixFleet.Candidates(req, into)
	remaining := slices.DeleteFunc(all[offset:], func(s *core.TargetState) bool { return slices.Contains(f.exclude, s.ID) })
	return all[:offset+len(remaining)]
}
