package commands

import (
	"gorseline/core"
	"gorseline/io/operator"
)

type undrainCommand struct {
	changeSettings
	Arguments struct {
		Target core.TargetID `positional-arg-name:"TARGET" description:"Name of the target"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[undrainCommand]("undrain", "Allow new work to a target again", "Allows new work to a drained target again.")
}

// Execute proposes the end of the drain.
func (c *undrainCommand) Execute([]string) error {
	return c.change(func(sess session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{Undrain: c.Arguments.Target}, checkTarget(sess, c.Arguments.Target)
	})
}
