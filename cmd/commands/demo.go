package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/demo"
	"gorseline/cmd/workload"
)

type demoCommand struct {
	Deployment string        `long:"deployment" env:"DEMO_DEPLOYMENT" description:"Sample to run" choice:"ledgerpeach" choice:"kreditschutz" default:"ledgerpeach"`
	Format     string        `long:"format" env:"DEMO_FORMAT" description:"Format of the totals" choice:"table" choice:"json" default:"table"`
	Rounds     int           `long:"rounds" env:"DEMO_ROUNDS" description:"How often the sample is sent" default:"4"`
	Duration   time.Duration `long:"duration" env:"DEMO_DURATION" description:"Time over which the requests are spread" default:"8s"`
	Keep       bool          `long:"keep" env:"DEMO_KEEP" description:"Print the addresses and keep running until interrupted"`
	Verbose    bool          `long:"verbose" env:"DEMO_VERBOSE" description:"Show the instances' log lines"`
}

func init() {
	register[demoCommand]("demo", "Run a demonstration on loopback and print the totals",
		"Runs stand-ins and two instances in one process, sends sample requests, switches the preset in the middle, "+
			"shuts an instance down gracefully while streams run, and exits with 0 only if nothing was cut, doubled or lost.")
}

// demoSeed fixes the order of the requests.
const demoSeed = 1

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	if c.Rounds < 1 || c.Rounds > 100 {
		return invalidSetting("--rounds", c.Rounds, "1 to 100")
	}
	if c.Duration < time.Second || c.Duration > 5*time.Minute {
		return invalidSetting("--duration", c.Duration, "1s to 5m")
	}
	ctx, stop := untilInterrupted()
	defer stop()
	run, err := demo.Start(ctx, demo.Options{
		Deployment: c.Deployment, Rounds: c.Rounds, Duration: c.Duration, Seed: demoSeed,
		Progress: os.Stderr, Logs: logsIf(c.Verbose),
	})
	if err != nil {
		return failure{err}
	}
	defer run.Stop()
	totals, err := run.Execute(ctx)
	if err != nil {
		return failure{err}
	}
	if err := c.print(totals); err != nil {
		return failure{err}
	}
	if !totals.Passed() {
		return failure{errors.New("something was cut, doubled, lost or left unknown")}
	}
	if c.Keep {
		c.serve(ctx, run)
	}
	return nil
}

func (c *demoCommand) print(t workload.Totals) error {
	if c.Format == "json" {
		data, err := json.Marshal(t)
		fmt.Fprintln(os.Stdout, string(data))
		return err
	}
	for _, row := range []struct {
		name  string
		value int
	}{
		{"sent", t.Sent},
		{"in time", t.InTime},
		{"late", t.Late},
		{"refused, not run", t.NotRun},
		{"cut", t.Cut},
		{"unknown", t.Unknown},
		{"effects once", t.EffectsOnce},
		{"effects doubled", t.EffectsDoubled},
		{"effects lost", t.EffectsLost},
		{"effects unreported", t.EffectsUnreported},
		{"role changes", t.RoleChanges},
		{"preset switches", t.PresetSwitches},
	} {
		fmt.Fprintf(os.Stdout, "%-20s %5d\n", row.name, row.value)
	}
	for _, p := range t.Problems {
		fmt.Fprintln(os.Stdout, "  ", p)
	}
	return nil
}

// serve prints the addresses of the instances and waits until it is interrupted.
func (c *demoCommand) serve(ctx context.Context, run *demo.Run) {
	for _, address := range run.CallersAddresses() {
		fmt.Fprintf(os.Stdout, "Callers=http://%s\n", address)
	}
	for _, address := range run.OperatorsAddresses() {
		fmt.Fprintf(os.Stdout, "Operators=http://%s\n", address)
	}
	<-ctx.Done()
}
