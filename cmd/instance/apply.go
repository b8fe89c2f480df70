package instance

import (
	"context"
	"reflect"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/timeline"
)

// eventApplied records that this instance has applied a configuration revision.
const eventApplied core.EventKind = "ConfigurationApplied"

// fleetSizeInterval is how often the table service's call budget and the routing store are
// updated with the number of live instances.
const fleetSizeInterval = 5 * time.Second

// configurationLoop applies each new revision to the components that depend on it.
type configurationLoop struct {
	applyInputs
	comparison policyComparison
}

type applyInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Control   *control
	Serving   *serving
	Platform  *platform
	Recorder  core.Recorder
	Clock     core.ClockProvider
	Log       log.Interface
}

func applyConfiguration(in applyInputs) {
	lifecycle.Register(in.Lifecycle, newLoop((&configurationLoop{applyInputs: in}).run))
}

func (l *configurationLoop) run(ctx context.Context) {
	revisions, unsubscribe := l.Control.applier.Subscribe()
	defer unsubscribe()
	if l.Control.applier.Revision() > 0 {
		l.apply(l.Control.applier.Configuration())
	}
	ticker := time.NewTicker(fleetSizeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-revisions:
			l.apply(l.Control.applier.Configuration())
		case <-ticker.C:
			instances := max(1, len(l.Control.liveInstances()))
			l.Platform.table.SetInstances(instances)
			l.Serving.fleet.SetInstances(instances)
		}
	}
}

// markDrained stops new work to the targets that operators have drained and resumes it
// to the others, unless they report that they are leaving.
func (l *configurationLoop) markDrained(c core.Configuration) {
	for _, target := range c.Targets {
		if c.Drained[target.ID] {
			l.Serving.drainTargets.MarkLeaving(l.Clock.Now(), target.ID)
		} else if state, known := l.Serving.fleet.State(target.ID); known && !state.Report.Leaving {
			l.Serving.drainTargets.UnmarkLeaving(target.ID)
		}
	}
}

func (l *configurationLoop) apply(c core.Configuration) {
	l.Serving.fleet.SetTargets(c.Targets)
	l.Serving.fleet.SetDrained(c.Drained)
	l.markDrained(c)
	l.Serving.retrier.Budget().SetRatio(c.Preset().RetryBudget)
	if err := l.Serving.policies.Apply(c); err != nil {
		// Changes are validated before they are accepted, so this happens only if an
		// instance with a newer version of the program has accepted the revision.
		l.Log.WithError(err).Error("configuration: building policies failed; the previous ones stay in force")
		return
	}
	if comparison := newPolicyComparison(c); !reflect.DeepEqual(comparison, l.comparison) {
		l.comparison = comparison
		l.Serving.dispatcher.ResetPolicyTotals(c.Revision)
	}
	var in timeline.Inputs
	in.Int("Revision", int64(c.Revision)).Text("Preset", c.PresetInForce).Text("Policy", c.Preset().Policy)
	l.Recorder.Record(core.Event{Kind: eventApplied, Detail: in.String()})
	l.Log.WithField("revision", c.Revision).WithField("preset", c.PresetInForce).Info("configuration: revision applied")
}
