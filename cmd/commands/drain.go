package commands

import (
	"slices"

	"gorseline/core"
	"gorseline/io/operator"
)

type drainCommand struct {
	changeSettings
	Arguments struct {
		Target core.TargetID `positional-arg-name:"TARGET" description:"Name of the target"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[drainCommand]("drain", "Stop new work to a target",
		"Stops new work to a target within a few seconds. Work under way is finished; status shows when none is left.")
}

// Execute proposes the drain.
func (c *drainCommand) Execute([]string) error {
	return c.change(func(to session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{Drain: c.Arguments.Target}, checkTarget(to, c.Arguments.Target)
	})
}

func checkTarget(to session, id core.TargetID) error {
	var known []string
	for _, t := range to.configuration.Targets {
		known = append(known, string(t.ID))
	}
	if slices.Contains(known, string(id)) {
		return nil
	}
	slices.Sort(known)
	return unknownName("Drained", string(id), known)
}
