package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"gorseline/cmd/check"
)

type checkCommand struct {
	Histories       int    `long:"histories" env:"HISTORIES" default:"10000" description:"number of histories"`
	Seed            uint64 `long:"seed" env:"SEED" default:"1" description:"seed that determines all histories"`
	Workers         int    `long:"workers" env:"WORKERS" default:"0" description:"number of histories that run in parallel; 0 means half of the processors"`
	UnfencedTargets bool   `long:"turns" env:"TURNS" description:"run histories in which targets don't check fencing tokens, and check that orders of two instances to a target are a minimum interval apart"`
	Eras            bool   `long:"eras" env:"ERAS" description:"run histories of leases and orders in which the table comes back from older copies"`
	Usage           bool   `long:"usage" env:"USAGE" description:"run histories of usage reports to a platform that doesn't check fencing tokens; in half of them the table comes back from older copies"`
	Format          string `long:"format" env:"FORMAT" choice:"text" choice:"json" default:"text" description:"format of the report"`
}

func init() {
	register[checkCommand]("check", "Check authority, claims and revisions under faults",
		"Runs randomized histories of leases, orders, non-repeatable calls and configuration changes in virtual time, "+
			"injects faults, and reports violations of the invariants.")
}

// Execute runs the histories and prints the report. Violations are returned as a failure.
func (c *checkCommand) Execute([]string) error {
	ctx, stop := untilInterrupted()
	defer stop()
	report := check.Run(ctx, check.Options{Histories: c.Histories, Seed: c.Seed, Workers: c.Workers, UnfencedTargets: c.UnfencedTargets, Eras: c.Eras, Usage: c.Usage})
	if err := c.print(os.Stdout, report); err != nil {
		return failure{err}
	}
	switch {
	case report.Violations > 0:
		return failure{fmt.Errorf("check: %d violations in %d histories", report.Violations, report.Histories)}
	case report.Histories < c.Histories:
		return failure{fmt.Errorf("check: interrupted after %d of %d histories", report.Histories, c.Histories)}
	}
	return nil
}

func (c *checkCommand) print(out io.Writer, report check.Report) error {
	if c.Format == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	fmt.Fprintf(out, "%d histories, %d violations\n", report.Histories, report.Violations)
	printCounts(out, "faults", report.Faults)
	printCounts(out, "activity", report.Activity)
	for _, v := range report.Examples {
		fmt.Fprintf(out, "history %d: %s\n", v.History, v.Text)
	}
	return nil
}

func printCounts(out io.Writer, title string, counts map[string]int) {
	fmt.Fprintln(out, title)
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(out, "  %-28s %d\n", name, counts[name])
	}
}
