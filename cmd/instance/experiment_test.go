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

// accountOf returns the account of 20 organisations with 10 requests each.
func accountOf(share float64) dispatch.PolicyTotals {
	return dispatch.PolicyTotals{
		Done: 200, Goodput: 200 * share, Offered: 200, Organisations: 20,
		GoodputSquares: 20 * 100 * share * share, Products: 20 * 100 * share, OfferedSquares: 20 * 100,
	}
}

// Guards against an experiment that goes on although it harms callers, one that ends
// without harm, an end that the time line doesn't explain, and a second instance that
// undoes a newer change by ending an experiment that has ended already.
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
	loop := &experimentLoop{proposer: recordedProposer{store, events}}
	loop.Recorder, loop.Log = events, &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	loop.Settings.Instance = "entry-1"
	judge := func(share float64) core.Preset {
		loop.judge(t.Context(), c.WithRevision(1), map[string]dispatch.PolicyTotals{"full": accountOf(0.9), "new": accountOf(share)}, 1)
		newest, err := store.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return newest.Presets["day"]
	}
	if got := judge(0.85); len(got.Experiment) != 1 {
		t.Error("a loss within the limit ended the experiment")
	}
	if got := judge(0.5); len(got.Experiment) != 0 || got.Policy != "full" {
		t.Errorf("a loss of 0.4 did not end the experiment: %+v", got)
	}
	judge(0.5) // a second look at the old revision
	head, err := store.Head(t.Context())
	if err != nil || head.Revision != 2 || !strings.Contains(head.Note, "Policy=new") {
		t.Errorf("head %+v, %v", head, err)
	}
	var story strings.Builder
	for _, e := range events.Events(timeline.Filter{}) {
		fmt.Fprintln(&story, e.Kind, e.Reason, e.Detail)
	}
	for _, want := range []string{"ExperimentHarmful HarmLimit Policy=new Reference=full Loss=0.4", "ConfigurationAccepted", "ConfigurationNotAccepted Conflict"} {
		if !strings.Contains(story.String(), want) {
			t.Errorf("the time line lacks %q:\n%s", want, story.String())
		}
	}
}
