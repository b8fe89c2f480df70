package bench

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gorseline/core"
)

// compareShortSwing runs all policies on two short traces of the scenario Swing.
func compareShortSwing(t *testing.T, workers int) []Row {
	t.Helper()
	d, err := DeploymentByName("ledgerpeach")
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Compare(Options{
		Deployment: d, Scenarios: []Scenario{*shortScenario(t, "Swing", 30*time.Second)}, Seeds: 2, FirstSeed: 1, Workers: workers,
	})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// Equal seeds must give byte-identical output for any number of workers. Decisions that
// depend on map order or on a data race would break this. The golden file makes every
// change of a decision visible in review.
func TestCompareIsReproducible(t *testing.T) {
	text := func(rows []Row) []byte {
		encoded, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		return append(encoded, '\n')
	}
	one, four := text(compareShortSwing(t, 1)), text(compareShortSwing(t, 4))
	if !bytes.Equal(one, four) {
		t.Fatal("output differs between one worker and four")
	}
	goldie.New(t).Assert(t, "compare", one)
}

// A row or a kind that WriteTable skips would be missing from the printed comparison.
func TestWriteTablePrintsAllRows(t *testing.T) {
	rows := compareShortSwing(t, 4)
	var out bytes.Buffer
	if err := WriteTable(&out, rows); err != nil {
		t.Fatal(err)
	}
	want := 3 + len(rows) + len(rows)*len(rows[0].Kinds)
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != want {
		t.Fatalf("%d lines, want %d:\n%s", got, want, &out)
	}
}

// A mistyped name or an invalid number of seeds must give an error that lists the accepted
// values, instead of an empty or partial comparison.
func TestInvalidOptionsAreRejected(t *testing.T) {
	_, deployment := DeploymentByName("nowhere")
	_, scenario := ScenariosByName([]string{"Night"})
	_, policies := Compare(Options{Seeds: 1, Policies: []string{"Best"}})
	_, seeds := Compare(Options{})
	for _, err := range []error{deployment, scenario, policies, seeds} {
		var invalid *core.InvalidValueError
		if !errors.As(err, &invalid) || len(invalid.Accepted) == 0 {
			t.Errorf("unexpected error %v", err)
		}
	}
}

// A load of 1 is defined as arrivals whose minimum engine time equals the time of the
// engines. Rates or lengths that are scaled wrongly would give traces of another load than
// the scenario states.
func TestLoadIsShareOfCapacity(t *testing.T) {
	for _, d := range Deployments() {
		for _, name := range []string{"Day", "Swing"} {
			s := shortScenario(t, name, 8*time.Minute)
			b := newBoundProblem(&d, s, newTrace(&d, s, 5))
			needed := 0.0
			for _, r := range b.requests {
				needed += r.cost
			}
			load := needed / s.Duration.Seconds() / float64(len(d.Engines))
			if load < 0.6 || load > 0.75 {
				t.Errorf("%s %s: load %.3f", d.Name, name, load)
			}
		}
	}
}
