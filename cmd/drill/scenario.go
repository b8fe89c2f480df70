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

// scenario is a failure that is brought about while callers send requests.
type scenario struct {
	name string
	// inject brings the failure about and ends it.
	inject func(ctx context.Context, r *run) error
	// prepare changes the sample and the engines; it may be nil.
	prepare func(sample *workload.Sample, engines *engine.Options)
	// duration replaces the drill's, and no rounds are added; 0 keeps them.
	duration time.Duration
	// changesRoles requires at least one role change.
	changesRoles bool
	// mayBeUnknown allows calls that may not be repeated to end as unknown: the
	// failure destroys the only witness of their outcome.
	mayBeUnknown bool
}

// leaseLapse is longer than a lease of 15 s with its margin.
const leaseLapse = 17 * time.Second

var scenarios = []scenario{
	{name: "Kill", mayBeUnknown: true, inject: func(ctx context.Context, r *run) error {
		if err := r.processes[1].signal(syscall.SIGKILL); err != nil {
			return err
		}
		return r.replace(ctx, 1)
	}},
	{name: "Pause", mayBeUnknown: true, inject: func(ctx context.Context, r *run) error {
		return r.pause(ctx, 1, leaseLapse)
	}},
	{name: "Leave", inject: func(ctx context.Context, r *run) error {
		if err := r.processes[1].signal(syscall.SIGTERM); err != nil {
			return err
		}
		return r.awaitExit(ctx, 1)
	}},
	{name: "TableOutage", inject: func(ctx context.Context, r *run) error {
		return r.tableFaults(ctx, table.Faults{Outage: true}, 5*time.Second)
	}},
	{name: "LostReplies", inject: func(ctx context.Context, r *run) error {
		return r.tableFaults(ctx, table.Faults{LoseReplies: 40}, 5*time.Second)
	}},
	{name: "EngineCrash", inject: func(ctx context.Context, r *run) error {
		e := r.anyEngine()
		e.Crash()
		pause.For(ctx, 4*time.Second)
		e.Restart()
		return nil
	}},
	{name: "EngineSilent", inject: func(ctx context.Context, r *run) error {
		e := r.anyEngine()
		e.HalfOpen(true)
		pause.For(ctx, 8*time.Second)
		e.HalfOpen(false)
		return nil
	}},
	{name: "ServiceReplyLost", mayBeUnknown: true, inject: func(_ context.Context, r *run) error {
		for _, s := range r.site.Services {
			s.LoseReplies(2)
		}
		return nil
	}},
	{name: "OperatorsRace", inject: raceOperators},
	{name: "MixShift", prepare: shiftMix, duration: 60 * time.Second, changesRoles: true, inject: noFailure},
	{
		name: "KillInRoleChange", prepare: shiftMix, duration: 60 * time.Second, changesRoles: true,
		mayBeUnknown: true, inject: killInRoleChange,
	},
	{name: "KillDuringOutage", mayBeUnknown: true, inject: func(ctx context.Context, r *run) error {
		var both sync.WaitGroup
		var killed, outage error
		both.Go(func() { outage = r.tableFaults(ctx, table.Faults{Outage: true}, 4*time.Second) })
		pause.For(ctx, time.Second)
		killed = r.processes[1].signal(syscall.SIGKILL)
		both.Wait()
		return errors.Wrap(firstError(killed, outage), "kill during an outage")
	}},
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

// names returns the accepted scenario names.
func names() []string {
	list := make([]string, len(scenarios))
	for i, s := range scenarios {
		list[i] = s.name
	}
	return list
}

// Select returns the scenarios with the given comma-separated names; "all" selects
// every one.
func Select(list string) ([]string, error) {
	if list == "all" {
		return names(), nil
	}
	selected := strings.Split(list, ",")
	for _, name := range selected {
		if _, ok := find(name); !ok {
			return nil, &core.InvalidValueError{Path: "--scenarios", Value: name, Accepted: append(names(), "all")}
		}
	}
	return selected, nil
}

func find(name string) (scenario, bool) {
	for _, s := range scenarios {
		if s.name == name {
			return s, true
		}
	}
	return scenario{}, false
}

// raceOperators lets two operators switch presets on two instances at the same time.
// Of two changes that saw the same revision exactly one may be accepted.
func raceOperators(ctx context.Context, r *run) error {
	for range 10 {
		status, err := r.operator(0).Status(ctx)
		if err != nil {
			return errors.Wrap(err, "read status")
		}
		presets := []string{"peak", "maintenance", "ordinary-day"}
		var answers [2]operator.ChangeAnswer
		var failed [2]error
		var both sync.WaitGroup
		chosen := 0
		for _, preset := range presets {
			if preset == status.PresetInForce || chosen == len(answers) {
				continue
			}
			i := chosen
			chosen++
			both.Go(func() {
				answers[i], failed[i] = r.operator(i).Change(ctx, operator.ChangeRequest{
					Seen: status.Revision, Operator: fmt.Sprintf("operator-%d", i), SwitchPreset: preset,
				})
			})
		}
		both.Wait()
		if err := firstError(failed[:]...); err != nil {
			return errors.Wrap(err, "switch preset")
		}
		if err := r.judgeRace(answers); err != nil {
			return err
		}
		if err := r.awaitInForce(ctx, status.Revision+1); err != nil {
			return err
		}
	}
	return nil
}
