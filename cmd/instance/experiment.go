package instance

import (
	"context"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/configuration"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

// eventHarm records that a policy of an experiment loses more than the preset allows.
const eventHarm core.EventKind = "ExperimentHarmful"

// experimentInterval is the time between two looks at the accounts of policies.
const experimentInterval = 5 * time.Second

// policiesCompared is what the accounts of policies depend on. They start anew when it
// changes.
type policiesCompared struct {
	preset, policy string
	experiment     []core.PolicyShare
	documents      []core.PolicyDocument
}

func comparedBy(c core.Configuration) policiesCompared {
	preset := c.Preset()
	compared := policiesCompared{
		preset: c.PresetInForce, policy: preset.Policy, experiment: preset.Experiment,
		documents: []core.PolicyDocument{c.Policies[preset.Policy]},
	}
	for _, share := range preset.Experiment {
		compared.documents = append(compared.documents, c.Policies[share.Policy])
	}
	return compared
}

// experimentLoop ends an experiment that harms callers. Each instance judges by the
// requests that ended on it; the first one to see the harm ends the experiment for all.
type experimentLoop struct {
	experimentInputs
	proposer operator.Proposer
}

type experimentInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Control   *control
	Serving   *serving
	Recorder  core.Recorder
	Log       log.Interface
}

func watchExperiments(in experimentInputs) {
	loop := &experimentLoop{in, recordedProposer{in.Control.member, in.Recorder}}
	part.Register(in.Lifecycle, newLoop(loop.run))
}

func (l *experimentLoop) run(ctx context.Context) {
	pause.Every(ctx, experimentInterval, func() {
		accounts, since := l.Serving.dispatcher.PolicyTotals()
		l.judge(ctx, l.Control.applier.Configuration(), accounts, since)
	})
}

// judge ends the experiment of the preset in force if one of its policies does harm.
func (l *experimentLoop) judge(
	ctx context.Context, c core.Configuration, accounts map[string]dispatch.PolicyTotals, since core.Revision,
) {
	preset := c.Preset()
	harmful, inputs := harm(preset, accounts)
	if !harmful || since > c.Revision {
		return
	}
	l.Recorder.Record(core.Event{Kind: eventHarm, Reason: "HarmLimit", Detail: inputs})
	preset.Experiment = nil
	result := l.proposer.Propose(ctx, c.Revision, configuration.Change{
		Operation: configuration.PutPreset{Preset: preset}, Operator: "instance " + l.Settings.Instance,
		Note: "experiment ended by its harm limit: " + inputs, At: time.Now(),
	})
	// A conflict or an outage is met by the next look.
	l.Log.WithField("result", result.Kind).WithField("inputs", inputs).Warn("experiment: harm limit reached")
}

// harm reports whether a policy of the preset's experiment loses more than the harm
// limit, and the figures.
func harm(preset core.Preset, accounts map[string]dispatch.PolicyTotals) (bool, string) {
	if preset.HarmLimit == 0 {
		return false, ""
	}
	reference := accounts[preset.Policy]
	for _, share := range preset.Experiment {
		account := accounts[share.Policy]
		if share.Policy == preset.Policy || !account.Harms(reference, preset.HarmLimit) {
			continue
		}
		loss := account.LossAgainst(reference)
		var in timeline.Inputs
		return true, in.Text("Policy", share.Policy).Text("Reference", preset.Policy).Float("Loss", loss.Share).
			Float("Half", loss.Half).Float("HarmLimit", preset.HarmLimit).
			Int("Requests", int64(account.Requests())).Int("Organisations", int64(account.Organisations)).String()
	}
	return false, ""
}
