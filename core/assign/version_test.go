package assign_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/roster"
)

// withVersions returns a view of the same engines, whose versions are given in turn to those of
// each role.
func withVersions(view *roster.View, versions ...core.SoftwareVersion) *roster.View {
	counts := map[core.Role]int{}
	var list []core.Registration
	for _, e := range view.Ready("models") {
		r := e.Registration
		r.Version = versions[counts[r.Role]%len(versions)]
		counts[r.Role]++
		list = append(list, r)
	}
	result := roster.New(time.Second)
	result.Replace(0, 1, list)
	return result.View()
}

func requireVersion(req *assign.Request, version core.SoftwareVersion) *assign.Request {
	required := *req
	required.Version = &version
	return &required
}

// Guards against a continued stream that is generated, computed or fetched at another version than
// its own, under any load.
func TestContinuationUsesOneVersion(t *testing.T) {
	versions := []core.SoftwareVersion{"v1", "v1.1", ""}
	for _, rate := range []float64{200, 800} {
		f := newFleet()
		f.view = withVersions(f.view, versions...)
		assigned, fetched, number := 0, 0, 0
		check := func(version core.SoftwareVersion, e *roster.Entry) {
			if e.Version != version {
				t.Errorf("a stream of %q is continued at %s of %q", version, e.ID, e.Version)
			}
		}
		f.run(arrivals(1, rate, 5*time.Second), func(now core.Instant, req *assign.Request) assign.Decision {
			version := versions[number%len(versions)]
			number++
			req = requireVersion(req, version)
			d := f.assigner.Assign(now, f.view, req)
			if d.Target == nil {
				return d
			}
			assigned++
			check(version, d.Target)
			if d.FetchSource != nil {
				fetched++
				check(version, d.FetchSource)
			}
			if g, ok := f.assigner.AssignGenerator(now, f.view, req, d.Target); ok {
				check(version, g)
			}
			return d
		})
		if assigned < number/4 || fetched == 0 {
			t.Errorf("rate %v: %d of %d assigned, %d fetched", rate, assigned, number, fetched)
		}
	}
}

// Guards against a new stream that fetches KV cache from an engine of another version.
func TestCacheIsFetchedWithinOneVersion(t *testing.T) {
	f := newFleet()
	f.view = withVersions(f.view, "v1", "v1.1")
	fetched := 0
	f.run(arrivals(1, 300, 5*time.Second), func(now core.Instant, req *assign.Request) assign.Decision {
		d := f.assigner.Assign(now, f.view, req)
		if d.FetchSource != nil {
			fetched++
			if d.FetchSource.Version != d.Target.Version {
				t.Errorf("%s of %s fetches from %s of %s", d.Target.ID, d.Target.Version, d.FetchSource.ID, d.FetchSource.Version)
			}
		}
		return d
	})
	if fetched == 0 {
		t.Error("nothing is fetched")
	}
}

// Guards against decisions that change although all engines have one version.
func TestOneVersionChangesNoDecision(t *testing.T) {
	decide := func(version core.SoftwareVersion, isRequired bool) []string {
		var list []string
		f := newFleet()
		f.view = withVersions(f.view, version)
		f.run(arrivals(1, 400, 3*time.Second), func(now core.Instant, req *assign.Request) assign.Decision {
			if isRequired {
				req = requireVersion(req, version)
			}
			d := f.assigner.Assign(now, f.view, req)
			text := fmt.Sprint(d.Kind, d.Expected, d.CachedTokens, d.Reason, d.RetryAfter)
			if d.Target != nil {
				text += string(d.Target.ID)
				if g, ok := f.assigner.AssignGenerator(now, f.view, req, d.Target); ok {
					text += string(g.ID)
				}
			}
			if d.FetchSource != nil {
				text += string(d.FetchSource.ID)
			}
			list = append(list, text)
			return d
		})
		return list
	}
	want := decide("", false)
	if !slices.Equal(want, decide("v1", false)) || !slices.Equal(want, decide("v1", true)) {
		t.Error("decisions depend on the only version")
	}
}

// Guards against new streams whose prompt is computed by one version and imported by another while
// the same version has room, and against a refusal or an overload for the sake of one version.
func TestGeneratorOfThePromptsVersionIsPreferred(t *testing.T) {
	view := withVersions(newView(2, 2), "v1", "v1.1")
	source, _ := view.Find("p1")
	for _, test := range []struct {
		streams int
		want    core.TargetID
	}{{0, "g1"}, {1, "g1"}, {slots - 1, "g0"}, {slots, "g0"}} {
		loads := load.NewTracker()
		for serial := range uint32(test.streams) {
			loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: serial}, Target: "g1"}, Kind: load.Generate})
		}
		if g, ok := newAssigner(loads).AssignGenerator(0, view, testRequest(6000), source); !ok || g.ID != test.want {
			t.Errorf("%d streams on g1: generator %+v", test.streams, g)
		}
	}
}

// Guards against refusing to continue a stream while engines of its version have room, in another
// cell or without a prefill engine among them.
func TestContinuationFindsTheLastEnginesOfItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		versions map[core.TargetID]core.SoftwareVersion
	}{
		"all in another cell":      {map[core.TargetID]core.SoftwareVersion{"far-p": "v1", "far-g": "v1"}},
		"generator elsewhere":      {map[core.TargetID]core.SoftwareVersion{"near-p": "v1", "far-g": "v1"}},
		"prefill engine elsewhere": {map[core.TargetID]core.SoftwareVersion{"far-p": "v1", "near-g": "v1"}},
		"one generator elsewhere":  {map[core.TargetID]core.SoftwareVersion{"far-g": "v1"}},
		"one busy generator":       {map[core.TargetID]core.SoftwareVersion{"near-g": "v1"}},
	} {
		loads := load.NewTracker()
		a, view := newTwoCells(loads)
		for serial := range uint32(8) {
			loads.Sent(0, load.Item{Ref: load.Ref{Key: load.Key{Serial: serial}, Target: "near-g"}, Kind: load.Generate})
		}
		var list []core.Registration
		for e := range view.All {
			r := e.Registration
			r.Version = test.versions[r.ID]
			list = append(list, r)
		}
		r := roster.New(time.Second)
		r.Replace(0, 1, list)
		req := requireVersion(unsharedRequest(), "v1")
		d := a.Assign(0, r.View(), req)
		if d.Target == nil || d.Target.Version != "v1" {
			t.Errorf("%s: %+v", name, d)
			continue
		}
		if d.Kind == load.Prefill {
			if g, ok := a.AssignGenerator(0, r.View(), req, d.Target); !ok || g.Version != "v1" {
				t.Errorf("%s: generator %+v", name, g)
			}
		}
	}
}

// Guards against a refusal that doesn't say that the required version is missing.
func TestMissingVersionIsTheReason(t *testing.T) {
	a, view := newAssigner(load.NewTracker()), withVersions(newView(2, 2), "v1")
	for version, want := range map[core.SoftwareVersion]core.Reason{"v0": assign.ReasonNoEngineOfVersion, "": assign.ReasonNoEngineOfVersion, "v1": core.ReasonNoTarget} {
		req := requireVersion(testRequest(100), version)
		req.Exclude = []core.TargetID{"p0", "p1", "g0", "g1"}
		if d := a.Assign(0, view, req); d.Target != nil || d.Reason != want || d.RetryAfter <= 0 || d.RetryAfter > maxWait/3 {
			t.Errorf("%q: %+v", version, d)
		}
		call := &assign.CallRequest{Service: "models", Remaining: maxWait, Exclude: req.Exclude, Version: &version}
		if d := a.AssignCall(0, view, call); d.Target != nil || d.Reason != want || d.RetryAfter <= 0 {
			t.Errorf("%q: %+v", version, d)
		}
	}
}

// Guards against a rolling release that costs much capacity because caches aren't shared between
// versions.
func TestTwoVersionsKeepMostOfTheCapacity(t *testing.T) {
	for _, rate := range []float64{200, 300, 400} {
		for seed := range uint64(3) {
			list := arrivals(seed, rate, 10*time.Second)
			one := newFleet().run(list, nil)
			mixed := newFleet()
			mixed.view = withVersions(mixed.view, "v1", "v1.1")
			two := mixed.run(list, nil)
			t.Logf("rate %v seed %d: %d of %d on time with one version, %d with two", rate, seed, one.onTime, len(list), two.onTime)
			if float64(two.onTime) < 0.9*float64(one.onTime) {
				t.Errorf("rate %v seed %d: %d on time with one version, %d with two", rate, seed, one.onTime, two.onTime)
			}
		}
	}
}
