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

func small(t *testing.T, workers int) []Row {
	t.Helper()
	d, err := DeploymentByName("ledgerpeach")
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Compare(Options{
		Deployment: d, Scenarios: []Scenario{*quick(t, "Swing", 30*time.Second)}, Seeds: 2, FirstSeed: 1, Workers: workers,
	})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// Equal seeds must give equal output byte for byte, whatever the number of workers; a
// map order or a race that leaks into a decision would show here. The golden file also
// shows every change of a decision in review.
func TestCompareIsReproducible(t *testing.T) {
	text := func(rows []Row) []byte {
		encoded, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		return append(encoded, '\n')
	}
	one, four := text(small(t, 1)), text(small(t, 4))
	if !bytes.Equal(one, four) {
		t.Fatal("output differs between one worker and four")
	}
	goldie.New(t).Assert(t, "compare", one)
}

// The table must hold a line for each row and each kind.
func TestTable(t *testing.T) {
	rows := small(t, 4)
	var out bytes.Buffer
	if err := WriteTable(&out, rows); err != nil {
		t.Fatal(err)
	}
	want := 3 + len(rows) + len(rows)*len(rows[0].Kinds)
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != want {
		t.Fatalf("%d lines, want %d:\n%s", got, want, &out)
	}
}

// Wrong names must be refused with the accepted ones, before anything runs.
func TestUnknownNames(t *testing.T) {
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

// The configured loads must be what the documentation says: at a load of 1 the least
// engine time of the arrivals equals the engines' time.
func TestLoadIsShareOfCapacity(t *testing.T) {
	for _, d := range Deployments() {
		for _, name := range []string{"Day", "Swing"} {
			s := quick(t, name, 8*time.Minute)
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
