package instance

import (
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/timeline"
)

// Guards against a shadow that is not recorded, that goes on when it was switched off,
// or that plans with the values of an earlier preset.
func TestShadowRecordsItsPlans(t *testing.T) {
	line := timeline.New("entry-1", timeline.NewClock(timeline.WallTime), 16)
	shadow := shadowPlacement{recorder: line}
	view := core.PlacementView{Model: "m", PromptRate: 50_000, OutputRate: 10}
	for _, id := range []core.TargetID{"a", "b", "c", "d"} {
		view.Engines = append(view.Engines, core.TargetState{
			Target: core.Target{ID: id, Models: []core.Model{"m"}}, Report: core.LoadReport{Role: core.RoleDecode, Model: "m"},
			ReportedAt: 1, PrefillRate: 10_000, StepBase: 20 * time.Millisecond, StepPerSequence: time.Millisecond,
		})
	}
	c := core.Configuration{PresetInForce: "day", Presets: map[string]core.Preset{"day": {Name: "day", ShadowPolicy: core.ShadowReactive}}}
	shadow.plan(1, c, &view)
	events := line.Events(timeline.Filter{Kind: eventShadowChange})
	if len(events) != 1 || !strings.Contains(events[0].Detail, "ShadowPolicy=Reactive From=Decode To=Prefill") {
		t.Errorf("events %v", events)
	}
	c.Presets = map[string]core.Preset{"day": {Name: "day"}}
	shadow.plan(2, c, &view)
	if len(line.Events(timeline.Filter{Kind: eventShadowChange})) != 1 {
		t.Error("a shadow that is off goes on")
	}
	c.Presets = map[string]core.Preset{"day": {Name: "day", ShadowPolicy: "peak"}, "peak": {Name: "peak", RoleChangePrice: 7}}
	if shadow.follow(c); shadow.placer == nil || shadow.preset.RoleChangePrice != 7 {
		t.Errorf("the preset's placement is not used: %+v", shadow)
	}
}
