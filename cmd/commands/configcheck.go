package commands

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/policy"
)

type configCheckCommand struct {
	printing
	Arguments struct {
		File flags.Filename `positional-arg-name:"FILE" description:"JSON document of the configuration; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[configCheckCommand]("config check", "Check a configuration without a server",
		"Validates a configuration as an instance does before it accepts one, and lists all problems.")
}

// Execute validates the document and prints the numbers of its entries.
func (c *configCheckCommand) Execute([]string) error {
	document, err := readConfiguration(&c.printing, c.Arguments.File)
	if err != nil {
		return err
	}
	counts := struct{ Presets, Policies, Kinds, Targets, Organisations int }{
		len(document.Presets), len(document.Policies), len(document.Kinds), len(document.Targets), len(document.Organisations),
	}
	return c.print(counts, func() {
		c.printf("valid: %d presets, %d policies, %d kinds, %d targets, %d organisations\n",
			counts.Presets, counts.Policies, counts.Kinds, counts.Targets, counts.Organisations)
	})
}

// readConfiguration reads, decodes and validates a configuration.
func readConfiguration(p *printing, file flags.Filename) (core.Configuration, error) {
	document, err := readDocument[core.Configuration](p, file, "")
	if err != nil {
		return document, err
	}
	var problems configuration.Problems
	if errors.As(configuration.Validate(document, policy.Validate), &problems) {
		return document, invalidDocumentError(problems)
	}
	return document, nil
}
