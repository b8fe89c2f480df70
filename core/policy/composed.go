package policy

import "gorseline/core"

// composed is a policy that combines a router, an admitter and a placer.
type composed struct {
	core.Router
	core.Admitter
	core.Placer
	name string
}

var _ core.Policy = (*composed)(nil)

// compose builds a policy. With a nil placer, the policy never changes roles.
func compose(name string, router core.Router, admitter core.Admitter, placer core.Placer) core.Policy {
	if placer == nil {
		placer = fixedRoles{}
	}
	return &composed{Router: router, Admitter: admitter, Placer: placer, name: name}
}

// Name implements core.Policy.
func (c *composed) Name() string { return c.name }

// fixedRoles never changes roles.
type fixedRoles struct{}

var _ core.Placer = fixedRoles{}

// Plan implements core.Placer.
func (fixedRoles) Plan(core.Instant, *core.PlacementView) []core.RoleChange { return nil }
