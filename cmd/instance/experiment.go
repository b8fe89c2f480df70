package instance

import (
	"context"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/configuration"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

// eventExperimentHarmful records that the goodput loss of a policy in an experiment exceeds
// the preset's harm limit.
const eventExperimentHarmful core.EventKind = "ExperimentHarmful"

// experimentInterval is how often the totals of the policies are compared.
const experimentInterval = 5 * time.Second

// policyComparison holds the parts of a configuration that the totals by policy depend on.
// The totals are reset when it changes.
type policyComparison struct {
	preset, policy string
	experiment     []core.PolicyShare
	documents      []core.PolicyDocument
}

func newPolicyComparison(c core.Configuration) policyComparison {
	preset := c.Preset()
	comparison := policyComparison{
		preset: c.PresetInForce, policy: preset.Policy, experiment: preset.Experiment,
		documents: []core.PolicyDocument{c.Policies[preset.Policy]},
	}
	for _, share := range preset.Experiment {
		comparison.documents = append(comparison.documents, c.Policies[share.Policy])
	}
	return comparison
}

// experimentLoop ends experiments that harm callers. Each instance evaluates the requests
// that finished on it; the first instance that detects harm ends the experiment for the
// whole fleet.
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
	loop := &experimentLoop{in, recordingProposer{in.Control.member, in.Recorder}}
	lifecycle.Register(in.Lifecycle, newLoop(loop.run))
}

func (l *experimentLoop) run(ctx context.Context) {
	pause.Every(ctx, experimentInterval, func() {
		totals, since := l.Serving.dispatcher.PolicyTotals()
		l.evaluate(ctx, l.Control.applier.Configuration(), totals, since)
	})
}

// evaluate ends the experiment of the preset in force if one of its policies is harmful. It
// ignores the totals if since, the first revision that they count, is newer than c.
func (l *experimentLoop) evaluate(
	ctx context.Context, c core.Configuration, totals map[string]dispatch.PolicyTotals, since core.Revision,
) {
	preset := c.Preset()
	harmful, inputs := findHarmfulPolicy(preset, totals)
	if !harmful || since > c.Revision {
		return
	}
	l.Recorder.Record(core.Event{Kind: eventExperimentHarmful, Reason: "HarmLimit", Detail: inputs})
	preset.Experiment = nil
	result := l.proposer.Propose(ctx, c.Revision, configuration.Change{
		Operation: configuration.PutPreset{Preset: preset}, Operator: "instance " + l.Settings.Instance,
		Note: "experiment ended by its harm limit: " + inputs, At: time.Now(),
	})
	// A conflict or an outage needs no handling here: the next evaluation proposes again if
	// the experiment is still harmful.
	l.Log.WithField("result", result.Kind).WithField("inputs", inputs).Warn("experiment: harm limit reached")
}

// findHarmfulPolicy reports whether the goodput loss of a policy in the preset's experiment
// exceeds the harm limit. If so, inputs gives the policy, its loss and the limit.
func findHarmfulPolicy(preset core.Preset, totals map[string]dispatch.PolicyTotals) (harmful bool, inputs string) {
	if preset.HarmLimit == 0 {
		return false, ""
	}
	reference := totals[preset.Policy]
	for _, share := range preset.Experiment {
		candidate := totals[share.Policy]
		if share.Policy == preset.Policy || !candidate.Harms(reference, preset.HarmLimit) {
			continue
		}
		loss := candidate.LossAgainst(reference)
		var in timeline.Inputs
		return true, in.Text("Policy", share.Policy).Text("Reference", preset.Policy).Float("Loss", loss.Share).
			Float("Half", loss.Half).Float("HarmLimit", preset.HarmLimit).
			Int("Requests", int64(candidate.Requests())).Int("Organisations", int64(candidate.Organisations)).String()
	}
	return false, ""
}
