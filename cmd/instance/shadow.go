package instance

import (
	"reflect"

	"gorseline/core"
	"gorseline/core/placement"
	"gorseline/core/timeline"
)

// eventShadowChange records a role change that the shadow placement would have made.
const eventShadowChange core.EventKind = "RoleChangeShadowed"

// shadowPlacement plans role changes that are recorded but not carried out. It plans for the
// same engines and traffic as the placement in force and can't observe the effect of its own
// changes. Its planner drops a planned change that isn't carried out.
type shadowPlacement struct {
	recorder core.Recorder
	name     string
	preset   core.Preset
	placer   core.Placer
}

// plan records the role changes that the shadow policy of the preset in force plans.
func (s *shadowPlacement) plan(now core.Instant, c core.Configuration, view *core.PlacementView) {
	s.updatePlacer(c)
	if s.placer == nil {
		return
	}
	for _, change := range s.placer.Plan(now, view) {
		var in timeline.Inputs
		s.recorder.Record(core.Event{
			Kind: eventShadowChange, Target: change.Target, Reason: change.Reason,
			Detail: in.Text("ShadowPolicy", s.name).String() + " " + planInputs(view, change),
		})
	}
}

// updatePlacer replaces the placer when the name or the values of the shadow policy change.
func (s *shadowPlacement) updatePlacer(c core.Configuration) {
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
