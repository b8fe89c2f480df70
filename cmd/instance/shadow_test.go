package instance

import (
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/timeline"
)

// Guards against a shadow placement whose plans aren't recorded, that continues after it was
// switched off, or that plans with the values of an earlier preset.
func TestShadowRecordsItsPlans(t *testing.T) {
	events := timeline.New("entry-1", timeline.NewClock(timeline.WallTime), 16)
	shadow := shadowPlacement{recorder: events}
	view := core.PlacementView{Model: "m", PromptRate: 50_000, OutputRate: 10}
	for _, id := range []core.TargetID{"a", "b", "c", "d"} {
		view.Engines = append(view.Engines, core.TargetState{
			Target: core.Target{ID: id, Models: []core.Model{"m"}}, Report: core.LoadReport{Role: core.RoleDecode, Model: "m"},
			ReportedAt: 1, PrefillRate: 10_000, StepBase: 20 * time.Millisecond, StepPerSequence: time.Millisecond,
		})
	}
	c := core.Configuration{PresetInForce: "day", Presets: map[string]core.Preset{"day": {Name: "day", ShadowPolicy: core.ShadowReactive}}}
	shadow.plan(1, c, &view)
	planned := events.Events(timeline.Filter{Kind: eventShadowChange})
	if len(planned) != 1 || !strings.Contains(planned[0].Detail, "ShadowPolicy=Reactive From=Decode To=Prefill") {
		t.Errorf("events %v", planned)
	}
	c.Presets = map[string]core.Preset{"day": {Name: "day"}}
	shadow.plan(2, c, &view)
	if len(events.Events(timeline.Filter{Kind: eventShadowChange})) != 1 {
		t.Error("the shadow placement still plans after it was switched off")
	}
	c.Presets = map[string]core.Preset{"day": {Name: "day", ShadowPolicy: "peak"}, "peak": {Name: "peak", RoleChangePrice: 7}}
	if shadow.updatePlacer(c); shadow.placer == nil || shadow.preset.RoleChangePrice != 7 {
		t.Errorf("the shadow placement doesn't use the preset: %+v", shadow)
	}
}
