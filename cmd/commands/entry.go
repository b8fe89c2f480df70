package commands

import (
	"os"

	"gorseline/cmd/entry/node"
)

type entryCommand struct{ node.Options }

func init() {
	register[entryCommand]("entry", "Run one instance on the operators' platform",
		"Runs one instance that forwards requests until SIGTERM or SIGINT, which start a graceful shutdown. cmd/entry is the "+
			"same program without the other commands.")
}

// Execute runs the instance.
func (c *entryCommand) Execute([]string) error {
	if err := node.Run(c.Options, os.Stdout); err != nil {
		return failure{err}
	}
	return nil
}
