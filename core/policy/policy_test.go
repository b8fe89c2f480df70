package policy_test

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/policy"
)

// fakeFleet offers all its targets as candidates for every request.
type fakeFleet struct{ states []core.TargetState }

func (f fakeFleet) Candidates(_ *core.Request, dst []*core.TargetState) []*core.TargetState {
	for i := range f.states {
		dst = append(dst, &f.states[i])
	}
	return dst
}

// Guards against a registered policy type whose defaults are invalid or that can't serve
// a request.
func TestEveryTypeServesWithDefaults(t *testing.T) {
	want := []string{"Full", "LeastLoaded", "PrefixAffine", "RoundRobin"}
	if got := policy.Types(); !slices.Equal(got, want) {
		t.Fatalf("types %v, want %v", got, want)
	}
	fleet := fakeFleet{states: []core.TargetState{
		{Target: core.Target{ID: "a", Models: []core.Model{"m"}, Role: core.RoleMixed}},
		{Target: core.Target{ID: "b", Models: []core.Model{"m"}, Role: core.RoleMixed}, Drained: true},
	}}
	for _, name := range policy.Types() {
		defaults, err := policy.Defaults(name)
		if err != nil {
			t.Fatal(err)
		}
		p, err := policy.New(core.PolicyDocument{Name: "p", Type: name, Parameters: defaults}, policy.Options{})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		req := &core.Request{Model: "m", PromptTokens: 100, OutputTokens: 10, Deadline: core.Instant(time.Minute)}
		decision := p.Route(0, req, fleet)
		if decision.Target != "a" || decision.Estimate.Total <= 0 {
			t.Errorf("%s: %+v", name, decision)
		}
		if admission := p.Admit(0, req, decision.Estimate); !admission.Admitted {
			t.Errorf("%s: %+v", name, admission)
		}
		p.Finish(0, req, true)
		if plan := p.Plan(0, &core.PlacementView{}); len(plan) > 0 || p.Name() != "p" {
			t.Errorf("%s: plan %v, name %q", name, plan, p.Name())
		}
	}
}

// Guards against a document with a misspelt or invalid field that is accepted with default
// values, and against an error that doesn't name the field's path.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	cases := []struct{ kind, parameters, path string }{
		{"Fastest", `{}`, "Policies.p.Type"},
		{"Full", `[]`, "Policies.p.Parameters"},
		{"Full", `{"Subset": 64} {}`, "Policies.p.Parameters"},
		{"Full", `{"subset": 8}`, "Policies.p.Parameters.subset"},
		{"Full", `{"Subset": "8"}`, "Policies.p.Parameters.Subset"},
		{"Full", `{"Subset": null}`, "Policies.p.Parameters.Subset"},
		{"Full", `{"Subset": 65}`, "Policies.p.Parameters.Subset"},
		{"Full", `{"Subset": 8, "Probe": 9}`, "Policies.p.Parameters.Probe"},
		{"Full", `{"TransferLatency": 5}`, "Policies.p.Parameters.TransferLatency"},
		{"Full", `{"KindLimits": {"Note": 0}}`, "Policies.p.Parameters.KindLimits.Note"},
		{"PrefixAffine", `{"LoadBound": 1}`, "Policies.p.Parameters.LoadBound"},
		{"RoundRobin", `{"LoadBound": 2}`, "Policies.p.Parameters.LoadBound"},
	}
	for _, c := range cases {
		err := policy.Validate(core.PolicyDocument{Name: "p", Type: c.kind, Parameters: json.RawMessage(c.parameters)})
		var invalid *core.InvalidValueError
		if !errors.As(err, &invalid) || invalid.Path != c.path || len(invalid.Accepted) == 0 {
			t.Errorf("%s %s: got %v, want an error at %s", c.kind, c.parameters, err, c.path)
		}
	}
	document := core.PolicyDocument{Name: "p", Type: "Full", Parameters: json.RawMessage(`{"TransferLatency": "2ms", "KindLimits": {"Note": 4}}`)}
	if err := policy.Validate(document); err != nil {
		t.Error(err)
	}
}
