package instance

import (
	"fmt"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
	"gorseline/standin/table"
)

// totalsWithShare returns the totals of 20 organisations with 10 requests each, with the
// given goodput share.
func totalsWithShare(share float64) dispatch.PolicyTotals {
	return dispatch.PolicyTotals{
		Done: 200, Goodput: 200 * share, Offered: 200, Organisations: 20,
		GoodputSquares: 20 * 100 * share * share, Products: 20 * 100 * share, OfferedSquares: 20 * 100,
	}
}

// Guards against an experiment that continues although it harms callers, one that is ended
// without harm, an end that the timeline doesn't explain, and a second instance that
// overwrites a newer change by ending an experiment that has already ended.
func TestHarmEndsExperiment(t *testing.T) {
	var attempts int
	store := configuration.NewStore(configuration.Options{Table: table.New(), NewAttemptID: func() core.AttemptID {
		attempts++
		return core.AttemptID(fmt.Sprint(attempts))
	}})
	preset := core.Preset{
		Name: "day", Policy: "full", Experiment: []core.PolicyShare{{Policy: "new", Share: 0.3}}, HarmLimit: 0.1,
	}
	c := core.Configuration{
		PresetInForce: "day", Presets: map[string]core.Preset{"day": preset},
		Policies: map[string]core.PolicyDocument{"full": {Name: "full", Type: "Full"}, "new": {Name: "new", Type: "Full"}},
	}
	first := configuration.Change{Operation: configuration.Replace{Configuration: c}, Operator: "ana"}
	if p := store.Propose(t.Context(), 0, first); p.Kind != configuration.ProposalAccepted {
		t.Fatal(p)
	}
	events := timeline.New("entry-1", timeline.NewClock(timeline.WallTime), 16)
	loop := &experimentLoop{proposer: recordingProposer{store, events}}
	loop.Recorder, loop.Log = events, &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	loop.Settings.Instance = "entry-1"
	evaluate := func(share float64) core.Preset {
		loop.evaluate(t.Context(), c.WithRevision(1), map[string]dispatch.PolicyTotals{"full": totalsWithShare(0.9), "new": totalsWithShare(share)}, 1)
		newest, err := store.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return newest.Presets["day"]
	}
	if got := evaluate(0.85); len(got.Experiment) != 1 {
		t.Error("a loss within the limit ended the experiment")
	}
	if got := evaluate(0.5); len(got.Experiment) != 0 || got.Policy != "full" {
		t.Errorf("a loss of 0.4 did not end the experiment: %+v", got)
	}
	evaluate(0.5) // a second evaluation of the old revision
	head, err := store.Head(t.Context())
	if err != nil || head.Revision != 2 || !strings.Contains(head.Note, "Policy=new") {
		t.Errorf("head %+v, %v", head, err)
	}
	var recorded strings.Builder
	for _, e := range events.Events(timeline.Filter{}) {
		fmt.Fprintln(&recorded, e.Kind, e.Reason, e.Detail)
	}
	for _, want := range []string{"ExperimentHarmful HarmLimit Policy=new Reference=full Loss=0.4", "ConfigurationAccepted", "ConfigurationNotAccepted Conflict"} {
		if !strings.Contains(recorded.String(), want) {
			t.Errorf("the timeline lacks %q:\n%s", want, recorded.String())
		}
	}
}
