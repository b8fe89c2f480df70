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
		"Stops new work to a target within a few seconds. Requests in flight are completed; status shows when none is left.")
}

// Execute proposes the drain.
func (c *drainCommand) Execute([]string) error {
	return c.change(func(sess session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{Drain: c.Arguments.Target}, checkTarget(sess, c.Arguments.Target)
	})
}

// checkTarget returns an error if the configuration doesn't have the target.
func checkTarget(sess session, id core.TargetID) error {
	var known []string
	for _, t := range sess.configuration.Targets {
		known = append(known, string(t.ID))
	}
	if slices.Contains(known, string(id)) {
		return nil
	}
	slices.Sort(known)
	return unknownNameError("Drained", string(id), known)
}
