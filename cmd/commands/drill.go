package commands

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/drill"
)

type drillCommand struct {
	Deployment string        `long:"deployment" env:"DRILL_DEPLOYMENT" description:"Sample to run" choice:"ledgerpeach" choice:"kreditschutz" default:"kreditschutz"`
	Scenarios  string        `long:"scenarios" env:"DRILL_SCENARIOS" description:"Comma-separated failure scenarios, or all" default:"all"`
	Instances  int           `long:"instances" env:"DRILL_INSTANCES" description:"Number of instances" default:"3"`
	Seed       uint64        `long:"seed" env:"DRILL_SEED" description:"Seed of the order of requests" default:"1"`
	Rounds     int           `long:"rounds" env:"DRILL_ROUNDS" description:"How often the sample is sent" default:"12"`
	Duration   time.Duration `long:"duration" env:"DRILL_DURATION" description:"Time over which the requests are spread" default:"12s"`
	Format     string        `long:"format" env:"DRILL_FORMAT" description:"Format of the reports" choice:"table" choice:"json" default:"table"`
	Verbose    bool          `long:"verbose" env:"DRILL_VERBOSE" description:"Show the instances' log lines"`
}

func init() {
	register[drillCommand]("drill", "Inject failures into real processes",
		"Runs instances as separate processes against stand-ins on loopback, kills, pauses and stops them and "+
			"makes services fail while callers send requests, and exits with 0 only if no invariant was violated.")
}

// Execute runs the scenarios one after the other.
func (c *drillCommand) Execute([]string) error {
	selected, err := drill.Select(c.Scenarios)
	if err != nil {
		return err
	}
	if c.Instances < 2 || c.Instances > 20 {
		return invalidSetting("--instances", c.Instances, "2 to 20")
	}
	if c.Rounds < 1 || c.Rounds > 1000 {
		return invalidSetting("--rounds", c.Rounds, "1 to 1000")
	}
	if c.Duration < time.Second || c.Duration > time.Minute {
		return invalidSetting("--duration", c.Duration, "1s to 1m")
	}
	ctx, stop := untilInterrupted()
	defer stop()
	violations := 0
	for _, name := range selected {
		report, err := drill.Run(ctx, name, drill.Options{
			Deployment: c.Deployment, Instances: c.Instances, Seed: c.Seed, Rounds: c.Rounds, Duration: c.Duration, Logs: logsIf(c.Verbose),
		})
		if err != nil {
			return failure{errors.Wrap(err, name)}
		}
		violations += len(report.Violations)
		if err := c.print(report); err != nil {
			return failure{err}
		}
	}
	if violations > 0 {
		return failure{errors.Errorf("%d violations", violations)}
	}
	return nil
}

func (c *drillCommand) print(r drill.Report) error {
	if c.Format == "json" {
		data, err := json.Marshal(r)
		fmt.Fprintln(os.Stdout, string(data))
		return err
	}
	fmt.Fprintf(os.Stdout, "%-17s sent %4d  in time %4d  late %3d  not run %3d  unknown %2d  cut %2d  once %3d  doubled %d  lost %d  unreported %d  role changes %d\n",
		r.Scenario, r.Sent, r.InTime, r.Late, r.NotRun, r.Unknown, r.Cut, r.EffectsOnce, r.EffectsDoubled, r.EffectsLost, r.EffectsUnreported, r.RoleChanges)
	for _, v := range r.Violations {
		fmt.Fprintln(os.Stdout, "   violation:", v)
	}
	if c.Verbose {
		fmt.Fprintln(os.Stdout, "   not retried:", r.NotRetried)
		for _, p := range r.Problems {
			fmt.Fprintln(os.Stdout, "  ", p)
		}
	}
	return nil
}
