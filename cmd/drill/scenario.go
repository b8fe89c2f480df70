package drill

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/io/operator"
	"gorseline/standin/engine"
	"gorseline/standin/table"
)

// scenario is a failure that is injected while callers send requests.
type scenario struct {
	name string
	// inject injects the failure and ends it.
	inject func(ctx context.Context, r *run) error
	// prepare changes the sample and the engines; it may be nil.
	prepare func(sample *workload.Sample, engines *engine.Options)
	// duration replaces that of the drill, and the sample is then sent once in its own order;
	// 0 keeps the duration and the rounds of the drill.
	duration time.Duration
	// requiresRoleChange makes it a violation if no role change takes effect.
	requiresRoleChange bool
	// allowUnknown accepts an unknown outcome of calls that may not be repeated: the failure
	// destroys the only record of their outcome.
	allowUnknown bool
}

// pauseBeyondLease is longer than a lease of 15 s and its clock margin.
const pauseBeyondLease = 17 * time.Second

var scenarios = []scenario{
	{name: "Kill", allowUnknown: true, inject: func(ctx context.Context, r *run) error {
		if err := r.processes[1].signal(syscall.SIGKILL); err != nil {
			return err
		}
		return r.replace(ctx, 1)
	}},
	{name: "Pause", allowUnknown: true, inject: func(ctx context.Context, r *run) error {
		return r.pauseProcess(ctx, 1, pauseBeyondLease)
	}},
	{name: "Leave", inject: func(ctx context.Context, r *run) error {
		if err := r.processes[1].signal(syscall.SIGTERM); err != nil {
			return err
		}
		return r.awaitExit(ctx, 1)
	}},
	{name: "TableOutage", inject: func(ctx context.Context, r *run) error {
		return r.injectTableFaults(ctx, table.Faults{Outage: true}, 5*time.Second)
	}},
	{name: "LostReplies", inject: func(ctx context.Context, r *run) error {
		return r.injectTableFaults(ctx, table.Faults{LoseReplies: 40}, 5*time.Second)
	}},
	{name: "EngineCrash", inject: func(ctx context.Context, r *run) error {
		e := r.busiestEngine()
		e.Crash()
		pause.For(ctx, 4*time.Second)
		e.Restart()
		return nil
	}},
	{name: "EngineSilent", inject: func(ctx context.Context, r *run) error {
		e := r.busiestEngine()
		e.SetHalfOpen(true)
		pause.For(ctx, 8*time.Second)
		e.SetHalfOpen(false)
		return nil
	}},
	{name: "ServiceReplyLost", allowUnknown: true, inject: func(_ context.Context, r *run) error {
		for _, s := range r.deployment.Services {
			s.LoseReplies(2)
		}
		return nil
	}},
	{name: "OperatorsRace", inject: raceOperators},
	{name: "MixShift", prepare: shiftMix, duration: 60 * time.Second, requiresRoleChange: true, inject: noFailure},
	{
		name: "KillInRoleChange", prepare: shiftMix, duration: 60 * time.Second, requiresRoleChange: true,
		allowUnknown: true, inject: killDuringRoleChange,
	},
	{name: "KillDuringOutage", allowUnknown: true, inject: func(ctx context.Context, r *run) error {
		var both sync.WaitGroup
		var killed, outage error
		both.Go(func() { outage = r.injectTableFaults(ctx, table.Faults{Outage: true}, 4*time.Second) })
		pause.For(ctx, time.Second)
		killed = r.processes[1].signal(syscall.SIGKILL)
		both.Wait()
		return errors.Wrap(firstError(killed, outage), "kill during an outage")
	}},
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// scenarioNames returns the names of all scenarios.
func scenarioNames() []string {
	list := make([]string, len(scenarios))
	for i, s := range scenarios {
		list[i] = s.name
	}
	return list
}

// Select splits a comma-separated list of scenario names; "all" selects every scenario. The
// error is a core.InvalidValueError if a name is unknown.
func Select(list string) ([]string, error) {
	if list == "all" {
		return scenarioNames(), nil
	}
	selected := strings.Split(list, ",")
	for _, name := range selected {
		if _, ok := findScenario(name); !ok {
			return nil, &core.InvalidValueError{Path: "--scenarios", Value: name, Accepted: append(scenarioNames(), "all")}
		}
	}
	return selected, nil
}

func findScenario(name string) (scenario, bool) {
	for _, s := range scenarios {
		if s.name == name {
			return s, true
		}
	}
	return scenario{}, false
}

// raceOperators lets two operators switch presets on two instances at the same time. Of two
// changes based on the same revision exactly one must be accepted.
func raceOperators(ctx context.Context, r *run) error {
	for range 10 {
		status, err := r.operator(0).Status(ctx)
		if err != nil {
			return errors.Wrap(err, "read status")
		}
		presets := []string{"peak", "maintenance", "ordinary-day"}
		var answers [2]operator.ChangeAnswer
		var errs [2]error
		var both sync.WaitGroup
		chosen := 0
		for _, preset := range presets {
			if preset == status.PresetInForce || chosen == len(answers) {
				continue
			}
			i := chosen
			chosen++
			both.Go(func() {
				answers[i], errs[i] = r.operator(i).Change(ctx, operator.ChangeRequest{
					Seen: status.Revision, Operator: fmt.Sprintf("operator-%d", i), SwitchPreset: preset,
				})
			})
		}
		both.Wait()
		if err := firstError(errs[:]...); err != nil {
			return errors.Wrap(err, "switch preset")
		}
		if err := r.checkConcurrentChanges(answers); err != nil {
			return err
		}
		if err := r.awaitInForce(ctx, status.Revision+1); err != nil {
			return err
		}
	}
	return nil
}
