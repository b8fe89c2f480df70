package commands

import (
	"os"

	"gorseline/cmd/entry/node"
)

type entryCommand struct{ node.Options }

func init() {
	register[entryCommand]("entry", "Run one instance on the operators' platform",
		"Runs one instance that forwards requests until SIGTERM or SIGINT, which start a graceful shutdown. The same program, "+
			"without the other commands, is cmd/entry.")
}

// Execute runs the instance.
func (c *entryCommand) Execute([]string) error {
	if err := node.Run(c.Options, os.Stdout); err != nil {
		return failure{err}
	}
	return nil
}
