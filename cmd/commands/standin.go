package commands

import (
	"encoding/json"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"gorseline/cmd/workload"
	"gorseline/standin/deployment"
)

type standinCommand struct {
	printing
	Deployment    string         `long:"deployment" env:"STANDIN_DEPLOYMENT" description:"Sample whose targets are run" choice:"ledgerpeach" choice:"kreditschutz" default:"ledgerpeach"`
	FirstPort     int            `long:"first-port" env:"STANDIN_FIRST_PORT" description:"Loopback port of the table service; the object store, the instance list and the targets have the next ones. 0 takes free ports" default:"0"`
	Configuration flags.Filename `long:"configuration" env:"STANDIN_CONFIGURATION" description:"File to write the sample configuration to, with the targets' addresses, for config apply"`
	ListLag       time.Duration  `long:"list-lag" env:"STANDIN_LIST_LAG" description:"Delay until the instance list shows a change" default:"500ms"`
}

func init() {
	registerTerminal[standinCommand]("standin", "Run the stand-ins of a deployment",
		"Runs stand-ins of the table service, the object store, the instance list and all targets of a sample on loopback, "+
			"until SIGTERM or SIGINT, and prints their URLs, which serve needs to run instances against them.")
}

// standinReport is the JSON output: the URLs of the platform's services.
type standinReport struct {
	Table, Objects, Instances, Configuration string
	// Targets holds the addresses of the targets by ID.
	Targets map[string]string
}

const (
	// maxFirstPort leaves enough ports for all targets.
	maxFirstPort = 60_000
	// standinWork is the duration of a call of a plain service.
	standinWork = 10 * time.Millisecond
)

// Execute runs the stand-ins.
func (c *standinCommand) Execute([]string) error {
	if c.FirstPort != 0 && (c.FirstPort < 1024 || c.FirstPort > maxFirstPort) {
		return invalidSetting("--first-port", c.FirstPort, "0, or 1024 to 60000")
	}
	if c.ListLag < 0 || c.ListLag > time.Hour {
		return invalidSetting("--list-lag", c.ListLag, "0s to 1h")
	}
	ctx, stop := untilInterrupted()
	defer stop()
	sample, err := workload.LoadSample(c.Deployment)
	if err != nil {
		return failure{err}
	}
	standins, err := deployment.Start(sample.Configuration, deployment.Options{
		Engine: deployment.FastEngineOptions(), ServiceLatency: standinWork, ListLag: c.ListLag, FirstPort: c.FirstPort,
	})
	if err != nil {
		return failure{err}
	}
	defer standins.Stop()
	if err := c.report(standins); err != nil {
		return failure{err}
	}
	<-ctx.Done()
	return nil
}

// report prints the URLs, and writes the configuration if a file is set.
func (c *standinCommand) report(standins *deployment.Deployment) error {
	report := standinReport{standins.TableURL, standins.ObjectsURL, standins.InstancesURL, string(c.Configuration), map[string]string{}}
	for _, t := range standins.Configuration.Targets {
		report.Targets[string(t.ID)] = t.Address
	}
	if c.Configuration != "" {
		data, err := json.MarshalIndent(standins.Configuration, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(string(c.Configuration), append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	return c.print(report, func() {
		c.printf("Table=%s\nObjects=%s\nInstances=%s\n", report.Table, report.Objects, report.Instances)
		for _, name := range sortedKeys(report.Targets) {
			c.printf("%s=%s\n", name, report.Targets[name])
		}
		if c.Configuration != "" {
			c.printf("Configuration=%s\n", c.Configuration)
		}
	})
}
