package instance

import (
	"context"
	"reflect"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/timeline"
)

// eventApplied records that a revision took hold on this instance.
const eventApplied core.EventKind = "ConfigurationApplied"

// fleetSizeInterval is how often the shares of the table service's budget follow the
// size of the fleet.
const fleetSizeInterval = 5 * time.Second

// configurationLoop passes each new revision to the parts that depend on it.
type configurationLoop struct {
	applyInputs
	compared policiesCompared
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
	part.Register(in.Lifecycle, newLoop((&configurationLoop{applyInputs: in}).run))
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
			members := max(1, len(l.Control.members()))
			l.Platform.table.SetInstances(members)
			l.Serving.fleet.SetInstances(members)
		}
	}
}

// markDrained stops new work to the targets that operators drained.
func (l *configurationLoop) markDrained(c core.Configuration) {
	for _, target := range c.Targets {
		if c.Drained[target.ID] {
			l.Serving.leaving.MarkLeaving(l.Clock.Now(), target.ID)
		} else if state, known := l.Serving.fleet.State(target.ID); known && !state.Report.Leaving {
			l.Serving.leaving.UnmarkLeaving(target.ID)
		}
	}
}

func (l *configurationLoop) apply(c core.Configuration) {
	l.Serving.fleet.SetTargets(c.Targets)
	l.Serving.fleet.SetDrained(c.Drained)
	l.markDrained(c)
	l.Serving.retrier.Budget().SetRatio(c.Preset().RetryBudget)
	if err := l.Serving.policies.Apply(c); err != nil {
		// Validation before acceptance excludes this, except for a newer version of
		// the program among the instances.
		l.Log.WithError(err).Error("configuration: policies not built, earlier ones stay")
		return
	}
	if next := comparedBy(c); !reflect.DeepEqual(next, l.compared) {
		l.compared = next
		l.Serving.dispatcher.ResetPolicyTotals(c.Revision)
	}
	var in timeline.Inputs
	in.Int("Revision", int64(c.Revision)).Text("Preset", c.PresetInForce).Text("Policy", c.Preset().Policy)
	l.Recorder.Record(core.Event{Kind: eventApplied, Detail: in.String()})
	l.Log.WithField("revision", c.Revision).WithField("preset", c.PresetInForce).Info("configuration: revision applied")
}
