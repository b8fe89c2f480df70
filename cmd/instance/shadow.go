package instance

import (
	"reflect"

	"gorseline/core"
	"gorseline/core/placement"
	"gorseline/core/timeline"
)

// eventShadowChange records a role change that another placement would have made.
const eventShadowChange core.EventKind = "RoleChangeShadowed"

// shadowPlacement plans role changes that are recorded and not carried out. It sees the
// same engines and traffic as the placement in force, so it does not see what its own
// changes would have led to; its planner forgets a change that does not come true.
type shadowPlacement struct {
	recorder core.Recorder
	name     string
	preset   core.Preset
	placer   core.Placer
}

// plan records what the shadow of the preset in force would change.
func (s *shadowPlacement) plan(now core.Instant, c core.Configuration, view *core.PlacementView) {
	s.follow(c)
	if s.placer == nil {
		return
	}
	for _, change := range s.placer.Plan(now, view) {
		var name timeline.Inputs
		s.recorder.Record(core.Event{
			Kind: eventShadowChange, Target: change.Target, Reason: change.Reason,
			Detail: name.Text("ShadowPolicy", s.name).String() + " " + planInputs(view, change),
		})
	}
}

// follow makes the placement anew when its name or its values change.
func (s *shadowPlacement) follow(c core.Configuration) {
	name := c.Preset().ShadowPolicy
	preset, isPreset := c.Presets[name]
	if name == s.name && reflect.DeepEqual(preset, s.preset) {
		return
	}
	s.name, s.preset, s.placer = name, preset, nil
	switch {
	case isPreset:
		s.placer = newPlacer(preset)
	case name == core.ShadowReactive:
		s.placer = placement.Reactive{}
	}
}
