package commands

import (
	"encoding/json"
	"os"
	"strings"

	"gorseline/standin/bench"
)

// compareWorkers is the number of traces that run in parallel.
const compareWorkers = 4

type compareCommand struct {
	Deployment string `long:"deployment" env:"DEPLOYMENT" default:"kreditschutz" description:"ledgerpeach or kreditschutz"`
	Seeds      int    `long:"seeds" env:"SEEDS" default:"10" description:"number of traces per scenario"`
	FirstSeed  uint64 `long:"first-seed" env:"FIRST_SEED" default:"1" description:"seed of the first trace"`
	Policies   string `long:"policies" env:"POLICIES" description:"comma-separated policies; all by default"`
	Scenarios  string `long:"scenarios" env:"SCENARIOS" description:"comma-separated scenarios; all by default"`
	Format     string `long:"format" env:"FORMAT" default:"table" choice:"table" choice:"json" description:"format of the output"`
}

func init() {
	register[compareCommand]("compare", "Compare policies in virtual time",
		"Runs the policies on the same traces of a deployment and prints their goodput relative to an offline bound.")
}

// Execute runs the comparison and prints its rows.
func (c *compareCommand) Execute([]string) error {
	deployment, err := bench.DeploymentByName(c.Deployment)
	if err != nil {
		return err
	}
	scenarios, err := bench.ScenariosByName(list(c.Scenarios))
	if err != nil {
		return err
	}
	rows, err := bench.Compare(bench.Options{
		Deployment: deployment, Scenarios: scenarios, Policies: list(c.Policies),
		Seeds: c.Seeds, FirstSeed: c.FirstSeed, Workers: compareWorkers,
	})
	if err != nil {
		return err
	}
	if c.Format == "table" {
		return bench.WriteTable(os.Stdout, rows)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(rows)
}

// list splits a comma-separated setting; an empty one gives nil.
func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
