package configuration_test

import (
	"context"
	"errors"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gorseline/core"
	"gorseline/core/configuration"
)

func newStoreWithSample(t *testing.T) (*memoryTable, *configuration.Store) {
	t.Helper()
	table := newTable()
	store := newStore(table)
	p := store.Propose(t.Context(), 0, change(configuration.Replace{Configuration: sample()}))
	if p.Kind != configuration.ProposalAccepted || p.Revision != 1 {
		t.Fatalf("first revision: %+v", p)
	}
	return table, store
}

// Guards against accepting the changes of two operators that propose concurrently, and
// against a conflict that does not describe the accepted change.
func TestConcurrentProposalsAcceptExactlyOne(t *testing.T) {
	table, store := newStoreWithSample(t)
	const proposers = 8
	var wg sync.WaitGroup
	results := make([]configuration.Proposal, proposers)
	for i := range proposers {
		wg.Go(func() {
			own := newStore(table)
			results[i] = own.Propose(context.Background(), 1, change(configuration.SwitchPreset{Name: "Peak"}))
		})
	}
	wg.Wait()
	accepted := 0
	for _, p := range results {
		switch {
		case p.Kind == configuration.ProposalAccepted && p.Revision == 2:
			accepted++
		case p.Kind != configuration.ProposalConflict:
			t.Errorf("outcome %+v", p)
		case p.Head.Revision != 2 || p.Head.PresetInForce != "Peak" || p.Head.Operator != "ada" || p.Head.Change != "switch to preset Peak":
			t.Errorf("conflict does not describe the accepted change: %+v", p.Head)
		}
	}
	if accepted != 1 {
		t.Errorf("%d proposals accepted, expected 1", accepted)
	}
	if head, err := store.Head(t.Context()); err != nil || head.Revision != 2 {
		t.Errorf("head %+v, %v", head, err)
	}
}

// Guards against reporting a lost reply as a failure, and against applying the change twice
// when the attempt is repeated.
func TestLostRepliesAreResolvedByAttemptID(t *testing.T) {
	table, store := newStoreWithSample(t)
	table.loseReplies = 2
	p := store.Propose(t.Context(), 1, change(configuration.SwitchPreset{Name: "Peak"}))
	if p.Kind != configuration.ProposalAccepted || p.Revision != 2 {
		t.Fatalf("lost replies: %+v", p)
	}
	// The reply is lost and the store goes down: the outcome stays unknown.
	table.loseReplies = 1
	table.beforeTransact = func() {
		table.beforeTransact = func() { table.down = true }
	}
	p = store.Propose(t.Context(), 2, change(configuration.SwitchPreset{Name: "Ordinary"}))
	if p.Kind != configuration.ProposalUnknown {
		t.Fatalf("reply lost and store down: %+v", p)
	}
	table.down = false
	if p = store.ResolveOutcome(t.Context(), p.Attempt, p.Revision); p.Kind != configuration.ProposalAccepted || p.Revision != 3 {
		t.Fatalf("resolved: %+v", p)
	}
	if other := store.ResolveOutcome(t.Context(), "other", 3); other.Kind != configuration.ProposalConflict {
		t.Errorf("another attempt: %+v", other)
	}
	table.down = true
	if p = store.Propose(t.Context(), 3, change(configuration.SwitchPreset{Name: "Peak"})); p.Kind != configuration.ProposalUnavailable {
		t.Errorf("store down: %+v", p)
	}
}

// Guards against a restore that rewrites history or loses documents, and against
// a load that mixes two revisions.
func TestHistoryCompareAndRestore(t *testing.T) {
	_, store := newStoreWithSample(t)
	steps := []configuration.Operation{
		configuration.DrainTarget{Target: "e1"},
		configuration.PutPreset{Preset: core.Preset{Name: "Maintenance", Policy: "Full"}},
		configuration.SwitchPreset{Name: "Maintenance"},
		configuration.DrainTarget{Target: "e1", Undrain: true},
		configuration.PutPolicy{Policy: core.PolicyDocument{Name: "Simple", Type: "RoundRobin"}},
		configuration.Restore{Revision: 2},
	}
	for i, step := range steps {
		p := store.Propose(t.Context(), core.Revision(i+1), change(step))
		if p.Kind != configuration.ProposalAccepted || p.Revision != core.Revision(i+2) {
			t.Fatalf("%s: %+v", step, p)
		}
	}
	restored, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second, err := store.LoadRevision(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(second.WithRevision(7), restored, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("restored revision differs: %s", diff)
	}
	if !restored.Drained["e1"] || restored.PresetInForce != "Ordinary" {
		t.Errorf("restored %+v", restored)
	}
	history, err := store.History(t.Context(), 0, 3)
	if err != nil || len(history) != 3 || history[0].Change != "restore revision 2" || history[2].Revision != 5 {
		t.Errorf("history %+v, %v", history, err)
	}
	list, err := store.Compare(t.Context(), 4, 5)
	want := []configuration.Difference{{Path: "Drained.e1", Before: "true"}}
	if err != nil || !cmp.Equal(list, want) {
		t.Errorf("compare: %+v, %v", list, err)
	}
}

// Guards against an invalid configuration that is accepted, and against errors
// that do not name the path of the field.
func TestInvalidChangesNameThePath(t *testing.T) {
	_, store := newStoreWithSample(t)
	cases := []struct {
		operation configuration.Operation
		path      string
	}{
		{configuration.SwitchPreset{Name: "Night"}, "PresetInForce"},
		{configuration.PutPreset{Preset: core.Preset{Name: "Peak", Policy: "Full", UrgentShare: 1.5}}, "Presets.Peak.UrgentShare"},
		{configuration.PutPreset{Preset: core.Preset{Name: "Peak", Policy: "None"}}, "Presets.Peak.Policy"},
		{configuration.PutPolicy{Policy: core.PolicyDocument{Name: "Full"}}, "Policies.Full.Type"},
		{configuration.DrainTarget{Target: "e9"}, "Drained.e9"},
		{configuration.Restore{Revision: 9}, "Revision"},
	}
	for _, c := range cases {
		p := store.Propose(t.Context(), 1, change(c.operation))
		if p.Kind != configuration.ProposalInvalid || len(p.Problems) != 1 || p.Problems[0].Path != c.path {
			t.Errorf("%s: %+v", c.operation, p)
		}
	}
	check := func(core.PolicyDocument) error {
		return &core.InvalidValueError{Path: "Parameters.Horizon", Value: "-1", Accepted: []string{"above 0"}}
	}
	var problems configuration.Problems
	if !errors.As(configuration.Validate(sample(), check), &problems) || problems[0].Path != "Policies.Full.Parameters.Horizon" {
		t.Errorf("policy parameters: %v", problems)
	}
}

// Guards against a misspelt field that is silently ignored, and against an error that does
// not name the path of the field.
func TestDecodeIsStrictOverDefaults(t *testing.T) {
	document := `{"Presets":{"Peak":{"Name":"Peak","Policy":"Full","MinimumStay":"90s"}},"PresetInForce":"Peak"}`
	c, err := configuration.Decode[core.Configuration]([]byte(document), "")
	want := configuration.DefaultPreset()
	want.Name, want.Policy, want.MinimumStay = "Peak", "Full", 90e9
	if err != nil || !cmp.Equal(c.Presets["Peak"], want) {
		t.Fatalf("decoded %+v, %v", c, err)
	}
	cases := []struct{ document, path string }{
		{`{"Presets":{"Peak":{"UrgentShair":0.1}}}`, "Presets.Peak.UrgentShair"},
		{`{"Presets":{"Peak":{"UrgentShare":"much"}}}`, "Presets.Peak.UrgentShare"},
		{`{"Kinds":{"K":{"Deadline":"soon"}}}`, "Kinds.K.Deadline"},
		{`{"Targets":[{"ID":"e1"},{"Role":"Both"}]}`, "Targets[1].Role"},
		{`{"Presets":[]}`, "Presets"},
		{`{} {}`, "value"},
	}
	for _, test := range cases {
		_, err := configuration.Decode[core.Configuration]([]byte(test.document), "")
		var problems configuration.Problems
		if !errors.As(err, &problems) || len(problems) != 1 {
			t.Errorf("%s: %v", test.document, err)
			continue
		}
		if path := problems[0].Path; path != test.path && (path != "" || test.path != "value") {
			t.Errorf("%s: path %q", test.document, path)
		}
	}
}

// Guards against a kind, such as a grant, that is retried and runs twice because its
// document omits Repeatable.
func TestKindIsNotRepeatableByDefault(t *testing.T) {
	kind, err := configuration.Decode[core.Kind]([]byte(`{"Name": "Grant", "Deadline": "10s"}`), "Kinds.Grant")
	if err != nil {
		t.Fatal(err)
	}
	if kind.Repeatable {
		t.Error("a kind without the field Repeatable is repeatable")
	}
}

// Guards against a field of the configuration, such as DefaultKind, that other instances do
// not receive because full updates omit it.
func TestFullUpdateHoldsEveryField(t *testing.T) {
	want := sample()
	for name := range want.Kinds {
		want.DefaultKind = name
	}
	want.Revision = 3
	want.Organisations = map[core.Organisation]core.OrganisationDocument{"chess": {MaxConcurrent: 2}}
	fields := reflect.ValueOf(want)
	for i := range fields.NumField() {
		if name := fields.Type().Field(i).Name; fields.Field(i).IsZero() && name != "Drained" {
			t.Errorf("the sample leaves %s empty", name)
		}
	}
	want.Drained = map[core.TargetID]bool{want.Targets[0].ID: true}
	update, err := configuration.FullUpdate(want)
	if err != nil {
		t.Fatal(err)
	}
	applier := configuration.NewApplier()
	if got := applier.Apply(update); got != configuration.ApplyDone {
		t.Fatalf("apply: %v", got)
	}
	if diff := cmp.Diff(want, applier.Configuration(), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

// Guards against accepting a DefaultKind that is not defined among the kinds.
func TestDefaultKindMustExist(t *testing.T) {
	c := sample()
	c.DefaultKind = "Poem"
	if err := configuration.Validate(c, nil); err == nil || !strings.Contains(err.Error(), "DefaultKind") {
		t.Errorf("got %v", err)
	}
}
