package commands

import (
	"github.com/jessevdk/go-flags"

	"gorseline/io/operator"
)

type configApplyCommand struct {
	changeSettings
	Arguments struct {
		File flags.Filename `positional-arg-name:"FILE" description:"JSON document of the configuration; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[configApplyCommand]("config apply", "Replace the whole configuration",
		"Validates a configuration and replaces the whole one in force with it. It also creates the first revision.")
}

// Execute validates and proposes the configuration.
func (c *configApplyCommand) Execute([]string) error {
	document, err := readConfiguration(&c.printing, c.Arguments.File)
	if err != nil {
		return err
	}
	return c.change(func(session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{Replace: &document}, nil
	})
}
