package commands

import (
	"github.com/jessevdk/go-flags"

	"gorseline/core"
	"gorseline/core/policy"
	"gorseline/io/operator"
)

type policyCreateCommand struct {
	changeSettings
	Arguments struct {
		File flags.Filename `positional-arg-name:"FILE" description:"JSON document of the policy; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[policyCreateCommand]("policy create", "Create or replace a policy",
		"Creates a policy, or replaces the one of the same name, from a JSON document with Name, Type and Parameters.")
}

// Execute validates and proposes the policy.
func (c *policyCreateCommand) Execute([]string) error {
	document, err := readDocument[core.PolicyDocument](&c.printing, c.Arguments.File, "Policy")
	if err != nil {
		return err
	}
	if err := policy.Validate(document); err != nil {
		return exitError{err, exitInvalid}
	}
	return c.change(func(session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{PutPolicy: &document}, nil
	})
}
