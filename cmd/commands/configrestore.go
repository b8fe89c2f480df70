package commands

import (
	"gorseline/core"
	"gorseline/io/operator"
)

type configRestoreCommand struct {
	changeSettings
	Arguments struct {
		Revision core.Revision `positional-arg-name:"REVISION" description:"Revision to restore, from preset history"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[configRestoreCommand]("config restore", "Restore an old revision",
		"Proposes an old revision as a new one. The revisions in between stay in the history.")
}

// Execute proposes the old revision.
func (c *configRestoreCommand) Execute([]string) error {
	if c.Arguments.Revision == 0 {
		return invalidSetting("REVISION", 0, "1 or more")
	}
	return c.change(func(session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{Restore: c.Arguments.Revision}, nil
	})
}
