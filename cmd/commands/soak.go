package commands

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/standin/platform/soak"
)

type soakCommand struct {
	terminal  terminal
	Seed      uint64        `long:"seed" env:"SOAK_SEED" description:"First seed" default:"1"`
	Seeds     int           `long:"seeds" env:"SOAK_SEEDS" description:"Number of seeds" default:"1"`
	AtOnce    int           `long:"at-once" env:"SOAK_AT_ONCE" description:"Seeds that run in parallel" default:"2"`
	Length    time.Duration `long:"length" env:"SOAK_LENGTH" description:"Time over which faults are injected per seed" default:"10s"`
	Instances int           `long:"instances" env:"SOAK_INSTANCES" description:"Number of instances" default:"3"`
	Callers   int           `long:"callers" env:"SOAK_CALLERS" description:"Number of callers" default:"8"`
	Planned   bool          `long:"planned" env:"SOAK_PLANNED" description:"Only planned work and what sound targets do: instances stopped in series, changed configurations, silent targets, with long streams"`
	Versions  int           `long:"versions" env:"SOAK_VERSIONS" description:"Software versions of the engines, 1 to 3; from 2 on there are releases, killed instances and callers that take up broken streams" default:"1"`
	Parts     int           `long:"crashing-parts" env:"SOAK_CRASHING_PARTS" description:"Parts of prompts that crash engines, 0 to 5; from 1 on engines crash for other reasons too, instances are killed, frozen and stopped, and the store is away or comes back from a copy" default:"0"`
	Requests  int           `long:"crashing-requests" env:"SOAK_CRASHING_REQUESTS" description:"Requests that crash the targets that run them and come again and again, 0 to 8, beside the faults of --crashing-parts" default:"0"`
	Cuts      bool          `long:"cuts" env:"SOAK_CUTS" description:"Instances lose their links to all targets, beside killed, frozen and stopped instances; allowed with --crashing-parts and --crashing-requests"`
	Announce  bool          `long:"announcements" env:"SOAK_ANNOUNCEMENTS" description:"Targets state that they leave, without a change in the registry, and ask for pauses, beside killed, frozen and stopped instances"`
	Limits    bool          `long:"stated-limits" env:"SOAK_STATED_LIMITS" description:"Targets state limits of requests a second that rise, fall and end, beside killed, frozen and stopped instances"`
	Endings   bool          `long:"endings" env:"SOAK_ENDINGS" description:"Targets break answers in ways that must not look complete and send heads that are no answers, beside killed and stopped instances and changed configurations"`
	Orgs      int           `long:"organisations" env:"SOAK_ORGANISATIONS" description:"Organisations with API keys, 0 to 20; from 1 on keys are added and dropped beside killed, frozen and stopped instances, a store that is away, comes back from a copy or turns instances away, and cut links to it; allowed with --cuts" default:"0"`
	Entry     string        `long:"entry" env:"SOAK_ENTRY" description:"Program to run as instances, such as that of an earlier commit; the default is this one"`
	Previous  string        `long:"previous" env:"SOAK_PREVIOUS" description:"Program of an earlier build with which all instances start; they are replaced one after the other, beside the usual faults or those of --planned"`
	Dir       string        `long:"dir" env:"SOAK_DIR" description:"Directory for settings and logs" default:"/tmp/gorseline-soak"`
}

func init() {
	registerTerminal[soakCommand]("soak", "Inject random faults into real processes and check the guarantees",
		"Runs instances as separate processes against stand-ins of the operators' platform, with random faults of processes, "+
			"connections, store and targets, and exits with 0 only if no guarantee was violated.")
}

func (c *soakCommand) setTerminal(t terminal) { c.terminal = t }

// validate returns an error if an option is out of range or excludes another one.
func (c *soakCommand) validate() error {
	if c.Seeds < 1 || c.Seeds > 1000 || c.AtOnce < 1 || c.AtOnce > 16 {
		return invalidSetting("--seeds, --at-once", fmt.Sprint(c.Seeds, ", ", c.AtOnce), "1 to 1000, 1 to 16")
	}
	if c.Instances < 2 || c.Instances > 50 || c.Callers < 1 || c.Callers > 200 {
		return invalidSetting("--instances, --callers", fmt.Sprint(c.Instances, ", ", c.Callers), "2 to 50, 1 to 200")
	}
	if c.Versions < 1 || c.Versions > 3 || c.Versions > 1 && c.Planned {
		return invalidSetting("--versions", strconv.Itoa(c.Versions), "1 to 3, and 1 with --planned")
	}
	if c.Parts < 0 || c.Parts > 5 || c.Parts > 0 && (c.Planned || c.Versions > 1) {
		return invalidSetting("--crashing-parts", strconv.Itoa(c.Parts), "0 to 5, and 0 with --planned or --versions")
	}
	if c.Requests < 0 || c.Requests > 8 || c.Requests > 0 && (c.Planned || c.Versions > 1) {
		return invalidSetting("--crashing-requests", strconv.Itoa(c.Requests), "0 to 8, and 0 with --planned or --versions")
	}
	if c.Cuts && (c.Planned || c.Versions > 1) {
		return invalidSetting("--cuts", "true", "false with --planned or --versions")
	}
	if c.Limits && (c.Planned || c.Versions > 1 || c.Parts+c.Requests > 0 || c.Cuts) {
		return invalidSetting("--stated-limits", "true", "false with --planned, --versions, --crashing-parts, --crashing-requests or --cuts")
	}
	if c.Announce && (c.Planned || c.Versions > 1 || c.Parts+c.Requests > 0 || c.Cuts || c.Limits) {
		return invalidSetting("--announcements", "true", "false with all other kinds of faults")
	}
	if c.Orgs < 0 || c.Orgs > 20 || c.Orgs > 0 && (c.Planned || c.Versions > 1 || c.Parts+c.Requests > 0 || c.Limits || c.Announce) {
		return invalidSetting("--organisations", strconv.Itoa(c.Orgs), "0 to 20, and 0 with other kinds of faults than --cuts")
	}
	if c.Endings && (c.Planned || c.Versions > 1 || c.Parts+c.Requests > 0 || c.Cuts || c.Limits || c.Announce || c.Orgs > 0) {
		return invalidSetting("--endings", "true", "false with all other kinds of faults")
	}
	if c.Previous != "" && (c.Endings || c.Orgs > 0 || c.Versions > 1 || c.Parts+c.Requests > 0 || c.Cuts || c.Limits || c.Announce) {
		return invalidSetting("--previous", c.Previous, "none with other kinds of faults than --planned")
	}
	return nil
}

// Execute runs the seeds.
func (c *soakCommand) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	command := []string{c.Entry}
	if c.Entry == "" {
		binary, err := os.Executable()
		if err != nil {
			return failure{errors.Wrap(err, "locate the executable")}
		}
		command = []string{binary, "entry"}
	}
	ctx, stop := untilInterrupted()
	defer stop()
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, c.AtOnce)
	failed := 0
	for i := range uint64(c.Seeds) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			report, err := c.runSeed(ctx, command, c.Seed+i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(report.Violations) > 0 {
				failed++
			}
			c.print(report, c.Seed+i, err)
		})
	}
	wait.Wait()
	if failed > 0 {
		return failure{errors.Errorf("%d of %d seeds failed or violated a guarantee", failed, c.Seeds)}
	}
	return nil
}

// runSeed runs the faults of one seed.
func (c *soakCommand) runSeed(ctx context.Context, command []string, seed uint64) (soak.Report, error) {
	var previous []string
	if c.Previous != "" {
		previous = []string{c.Previous}
	}
	return soak.Run(ctx, soak.Options{
		Command: command, Previous: previous, Seed: seed, FaultDuration: c.Length, Instances: c.Instances, Callers: c.Callers,
		Planned: c.Planned, Versions: c.Versions, CrashingParts: c.Parts, CrashingRequests: c.Requests, Cuts: c.Cuts, StatedLimits: c.Limits, Announcements: c.Announce, Endings: c.Endings, Organisations: c.Orgs, Retries: soak.RandomRetryLimit(seed),
		Dir: filepath.Join(c.Dir, strconv.FormatUint(seed, 10)),
	})
}

// print prints one line per seed, and the violations and faults of a seed with violations.
func (c *soakCommand) print(r soak.Report, seed uint64, err error) {
	fmt.Fprintf(c.terminal.out, "seed %d: %d requests, %d answered, %d refused, %d faults, %d violations\n",
		seed, r.Requests, r.Answered, r.Refused, len(r.Faults), len(r.Violations))
	fmt.Fprintf(c.terminal.out, "  retries: %s\n", strings.Join(r.RetryPeaks, "; "))
	if r.Streams != "" {
		fmt.Fprintf(c.terminal.out, "  streams: %s\n", r.Streams)
	}
	if r.Crashes != "" {
		fmt.Fprintf(c.terminal.out, "  crashes: %s\n", r.Crashes)
	}
	if r.LimitPeak != "" {
		fmt.Fprintf(c.terminal.out, "  limits: %s\n", r.LimitPeak)
	}
	if len(r.Endings) > 0 {
		fmt.Fprintf(c.terminal.out, "  endings: %v\n", r.Endings)
	}
	if len(r.Cuts) > 0 {
		fmt.Fprintf(c.terminal.out, "  cuts: %s\n", strings.Join(r.Cuts, "; "))
	}
	if r.Keys.Keys > 0 {
		fmt.Fprintf(c.terminal.out, "  keys: %v\n", r.Keys)
	}
	if len(r.Replaced) > 0 {
		fmt.Fprintf(c.terminal.out, "  replaced: %s\n", strings.Join(r.Replaced, "; "))
	}
	if err != nil {
		fmt.Fprintf(c.terminal.out, "  failed: %v\n", err)
	}
	for _, v := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Fprintf(c.terminal.out, "  %s\n", v)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintf(c.terminal.out, "  faults: %v\n", r.Faults)
	}
}
