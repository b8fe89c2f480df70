package commands

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"gorseline/core"
	"gorseline/core/policy"
)

type policyShowCommand struct {
	operatorSettings
	Arguments struct {
		Name string `positional-arg-name:"POLICY" description:"Name of the policy"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[policyShowCommand]("policy show", "Show a policy",
		"Prints a policy as the JSON document that policy create accepts, with the defaults of its type filled in.")
}

// Execute prints the document.
func (c *policyShowCommand) Execute([]string) error {
	return c.call(func(_ context.Context, sess session) error {
		document, ok := sess.configuration.Policies[c.Arguments.Name]
		if !ok {
			return unknownNameError("Policies", c.Arguments.Name, slices.Sorted(maps.Keys(sess.configuration.Policies)))
		}
		var err error
		if document.Parameters, err = completeParameters(document); err != nil {
			return failure{err}
		}
		return c.printJSON(document)
	})
}

// completeParameters returns the parameters of a policy, with the defaults of its type for
// those that are missing.
func completeParameters(document core.PolicyDocument) (json.RawMessage, error) {
	defaults, err := policy.Defaults(document.Type)
	if err != nil {
		return nil, err
	}
	merged := map[string]json.RawMessage{}
	for _, layer := range []json.RawMessage{defaults, document.Parameters} {
		if len(layer) == 0 {
			continue
		}
		if err := json.Unmarshal(layer, &merged); err != nil {
			return nil, err
		}
	}
	return json.Marshal(merged)
}
