package commands

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gorseline/cmd/load"
	"gorseline/cmd/workload"
	"gorseline/core"
)

type loadCommand struct {
	Targets    []string      `long:"target" env:"LOAD_TARGET" env-delim:"," description:"Callers' address of an instance on loopback; may be repeated" required:"yes"`
	Rate       float64       `long:"rate" env:"LOAD_RATE" description:"Requests per second, up to 2000" default:"20"`
	Duration   time.Duration `long:"duration" env:"LOAD_DURATION" description:"Time over which requests are sent, up to 10m" default:"10s"`
	Deployment string        `long:"deployment" env:"LOAD_DEPLOYMENT" description:"Sample that the requests come from" choice:"ledgerpeach" choice:"kreditschutz" default:"ledgerpeach"`
	Mix        mix           `long:"mix" env:"LOAD_MIX" description:"Relative frequencies of the kinds, as Kind=weight separated by commas; empty keeps those of the sample"`
	Deadline   time.Duration `long:"deadline" env:"LOAD_DEADLINE" description:"Deadline of each request; 0 keeps those of the kinds"`
	Seed       uint64        `long:"seed" env:"LOAD_SEED" description:"Seed of the order of the requests" default:"1"`
	Format     string        `long:"format" env:"LOAD_FORMAT" description:"Format of the report" choice:"table" choice:"json" default:"table"`
}

// mix holds the weights of kinds, parsed from one argument.
type mix map[core.KindName]float64

// UnmarshalFlag parses "Kind=weight" entries separated by commas.
func (m *mix) UnmarshalFlag(value string) error {
	*m = mix{}
	for part := range strings.SplitSeq(value, ",") {
		name, text, found := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(text, 64)
		if !found || err != nil || weight < 0 {
			return invalidSetting("--mix", part, "Kind=weight, with a weight of at least 0")
		}
		(*m)[core.KindName(strings.TrimSpace(name))] = weight
	}
	return nil
}

func init() {
	register[loadCommand]("load", "Send load to running instances and report outcomes and latencies",
		"Sends requests of a sample at a fixed rate to instances on loopback addresses and reports latencies, and "+
			"answers that were cut, doubled or lost. It exits with 0 only if there were none.")
}

// Execute runs the load.
func (c *loadCommand) Execute([]string) error {
	sample, err := workload.LoadSample(c.Deployment)
	if err != nil {
		return failure{err}
	}
	options := load.Options{
		Targets: c.Targets, Requests: sample.Requests, Weights: c.Mix,
		Rate: c.Rate, Duration: c.Duration, Deadline: c.Deadline, Seed: c.Seed,
	}
	if err := options.Validate(); err != nil {
		return err
	}
	ctx, stop := untilInterrupted()
	defer stop()
	report, err := load.Run(ctx, options)
	if err != nil {
		return failure{err}
	}
	if err := c.print(report); err != nil {
		return failure{err}
	}
	if err := report.Err(); err != nil {
		return failure{err}
	}
	return nil
}

func (c *loadCommand) print(r *load.Report) error {
	if c.Format == "json" {
		data, err := json.MarshalIndent(r, "", "  ")
		fmt.Fprintln(os.Stdout, string(data))
		return err
	}
	for _, row := range []struct {
		name  string
		value int
	}{
		{"sent", r.Sent},
		{"complete", r.Complete},
		{"refused, not run", r.NotRun},
		{"cut", r.Cut},
		{"unknown", r.Unknown},
		{"wrong text", r.Wrong},
		{"effects doubled", r.Doubled},
		{"effects lost", r.Lost},
		{"resumed", r.Resumed},
		{"skipped", r.Skipped},
		{"tokens", r.Tokens},
	} {
		fmt.Fprintf(os.Stdout, "%-18s %8d\n", row.name, row.value)
	}
	for _, row := range []struct {
		name    string
		latency load.Latency
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"service call", r.Service}} {
		fmt.Fprintf(os.Stdout, "%-18s %8d  p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms\n",
			row.name, row.latency.Count, row.latency.P50Ms, row.latency.P95Ms, row.latency.P99Ms, row.latency.MaxMs)
	}
	return nil
}
